// SPDX-License-Identifier: BSL-1.0
#include "answer.hpp"
#include "coursehead/http/client.hpp"
#include "standin.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <set>
#include <thread>

// Stand-in for a model engine. Faults: lose_fences, lose_orders, lose_order_answers, late_orders +
// late_ms, duplicate_orders + late_ms, cross_events, cut_streams + cut_after, freeze_streams +
// cut_after, slow_ms (between tokens).

namespace standin {

using coursehead::http::Request;
using coursehead::http::Response;
using coursehead::http::Sink;
using std::chrono::milliseconds;

namespace {

struct Item {
    std::string kind;
    std::string name;
    std::string version;
    std::string model;
    std::uint64_t bytes = 0;
    std::vector<std::uint32_t> accelerators;
    bool ready = false;
};

//! A fencing token, ordered by epoch, then by number.
using Token = std::pair<std::uint64_t, std::uint64_t>;

class Engine : public std::enable_shared_from_this<Engine> {
public:
    Engine( const Options& options, std::shared_ptr<Faults> faults )
        : m_faults( std::move( faults ) ),
          m_checksTokens( option( options, "checks", "true" ) == "true" ),
          m_weights( option( options, "weights", "" ) ), m_salt( option( options, "salt", "" ) ),
          m_loadMs( numberOption( options, "load-ms", 50 ) ),
          m_tokenMs( numberOption( options, "token-ms", 5 ) ),
          m_batch( numberOption( options, "batch", 64 ) ),
          m_capacity( static_cast<std::size_t>( numberOption( options, "accelerators", 1 ) ),
                      static_cast<std::uint64_t>( numberOption( options, "memory", 1 << 30 ) ) ) {}

    Response handle( const Request& request ) {
        if( request.path == "/status" ) {
            return status();
        }
        if( request.path == "/orders" ) {
            return receiveOrder( Json::parse( request.body, nullptr, false ) );
        }
        if( request.path == "/v1/cancel" ) {
            const auto body = Json::parse( request.body, nullptr, false );
            const std::lock_guard lock( m_mutex );
            m_cancelled.insert( body.value( "request_id", "" ) );
            return reply( 200, Json::object() );
        }
        if( request.path == "/v1/chat/completions" || request.path == "/v1/completions" ) {
            return generate( request );
        }
        return reply( 404, Json::object() );
    }

private:
    std::uint64_t usedBytes( std::uint32_t accelerator ) const {
        std::uint64_t out = 0;
        for( const auto& it : m_items ) {
            if( std::find( it.accelerators.begin(), it.accelerators.end(), accelerator ) !=
                it.accelerators.end() ) {
                out += it.bytes;
            }
        }
        return out;
    }

    Response status() {
        const std::lock_guard lock( m_mutex );
        Json items = Json::array();
        for( const auto& it : m_items ) {
            items.push_back( { { "kind", it.kind },
                               { "name", it.name },
                               { "version", it.version },
                               { "model", it.model },
                               { "bytes", it.bytes },
                               { "accelerators", it.accelerators } } );
        }
        return reply( 200,
                      { { "token", { { "epoch", m_token.first }, { "number", m_token.second } } },
                        { "capacity", m_capacity },
                        { "items", items },
                        { "breaches", m_breaches },
                        { "loads", m_loads },
                        { "unloads", m_unloads },
                        { "running", m_running.load() },
                        { "cancelled", m_cancelled.size() },
                        { "generations", m_generations.load() } } );
    }

    Response receiveOrder( Json order ) {
        if( order.value( "action", "" ) == "fence" ) {
            return m_faults->consume( "lose_fences" ) ? cutResponse() : apply( order );
        }
        if( m_faults->consume( "lose_orders" ) ) {
            return cutResponse();
        }
        const auto applyLate = [this, order] {
            std::thread( [self = shared_from_this(), order] {
                std::this_thread::sleep_for( milliseconds( self->m_faults->number( "late_ms" ) ) );
                self->apply( order );
            } ).detach();
        };
        if( m_faults->consume( "late_orders" ) ) {
            applyLate();
            return cutResponse();
        }
        const bool duplicate = m_faults->consume( "duplicate_orders" );
        auto answer = apply( order );
        if( duplicate ) {
            applyLate();
        }
        return m_faults->consume( "lose_order_answers" ) ? cutResponse() : answer;
    }

    Response apply( const Json& order ) {
        {
            const std::lock_guard lock( m_mutex );
            const Token token{ order["token"].value( "epoch", 0ULL ),
                               order["token"].value( "number", 0ULL ) };
            if( m_checksTokens && token <= m_token ) {
                return reply( 409, { { "error", "older token" } } );
            }
            m_token = std::max( m_token, token );
        }
        const auto action = order.value( "action", "" );
        if( action == "load" ) {
            return load( order );
        }
        return action == "unload" ? unload( order ) : reply( 200, Json::object() );
    }

    std::vector<Item>::iterator find( const Json& order ) {
        return std::find_if( m_items.begin(), m_items.end(), [&]( const Item& it ) {
            return it.kind == order.value( "kind", "" ) && it.name == order.value( "name", "" ) &&
                   it.version == order.value( "version", "" );
        } );
    }

    Response load( const Json& order ) {
        {
            const std::lock_guard lock( m_mutex );
            if( find( order ) != m_items.end() ) {
                return reply( 200, Json::object() );
            }
            Item item{ order.value( "kind", "" ),
                       order.value( "name", "" ),
                       order.value( "version", "" ),
                       order.value( "model", "" ),
                       order.value( "bytes", 0ULL ),
                       order["accelerators"].get<std::vector<std::uint32_t>>() };
            for( const auto it : item.accelerators ) {
                if( it >= m_capacity.size() || usedBytes( it ) + item.bytes > m_capacity[it] ) {
                    ++m_breaches;
                    return reply( 507, { { "error", "out of memory" } } );
                }
            }
            m_items.push_back( std::move( item ) );
            ++m_loads;
        }
        fetchWeights( order.value( "name", "" ) );
        std::this_thread::sleep_for( milliseconds( m_loadMs ) );
        const std::lock_guard lock( m_mutex );
        const auto it = find( order );
        if( it != m_items.end() ) {
            it->ready = true;
        }
        return reply( 200, Json::object() );
    }

    void fetchWeights( const std::string& name ) const {
        if( m_weights.empty() ) {
            return;
        }
        coursehead::http::Client client( m_weights,
                                         { milliseconds( 1000 ), milliseconds( 60000 ) } );
        Request request;
        request.path = "/weights/" + name;
        client.call( request );
    }

    Response unload( const Json& order ) {
        const std::lock_guard lock( m_mutex );
        const auto it = find( order );
        if( it != m_items.end() ) {
            m_items.erase( it );
            ++m_unloads;
        }
        return reply( 200, Json::object() );
    }

    bool isModelReady( const std::string& model, const std::string& version ) {
        const std::lock_guard lock( m_mutex );
        return std::any_of( m_items.begin(), m_items.end(), [&]( const Item& it ) {
            return it.ready && it.name == model && ( version.empty() || it.version == version );
        } );
    }

    bool isCancelled( const std::string& id ) {
        const std::lock_guard lock( m_mutex );
        return m_cancelled.contains( id );
    }

    Response generate( const Request& request ) {
        const auto body = Json::parse( request.body, nullptr, false );
        const auto model = body.value( "model", "" );
        if( !isModelReady( model, body.value( "version", "" ) ) ) {
            return reply( 404, { { "error", "the model is not loaded" } } );
        }
        if( m_running.fetch_add( 1 ) >= m_batch ) {
            m_running.fetch_sub( 1 );
            return reply( 503, { { "error", "the batch is full" } } );
        }
        ++m_generations;
        const bool chat = request.path.find( "chat" ) != std::string::npos;
        const auto prompt = chat ? body["messages"].dump() : body.value( "prompt", "" );
        const auto count = static_cast<std::uint32_t>( body.value( "max_tokens", 16 ) );
        Response out;
        out.contentType = "text/event-stream";
        auto tokens = answerTokens( model + m_salt, prompt, count );
        const auto continuedText = body.value( "continue_after", "" );
        if( !continuedText.empty() ) {
            tokens = continueTokens( std::move( tokens ), continuedText );
        }
        out.producer = [self = shared_from_this(), tokens = std::move( tokens ),
                        id = body.value( "request_id", "" ),
                        skip = body.value( "continue_after", "" ).size(),
                        chat]( const Sink& sink ) {
            const bool complete = self->produce( tokens, id, skip, chat, sink );
            self->m_running.fetch_sub( 1 );
            return complete;
        };
        return out;
    }

    static std::string event( const std::string& id, const Json& choice ) {
        return "data: " + Json{ { "id", id }, { "choices", { choice } } }.dump() + "\n\n";
    }

    bool produce( const std::vector<std::string>& tokens, const std::string& id, std::size_t skip,
                  bool chat, const Sink& sink ) {
        const bool cutsStream = m_faults->consume( "cut_streams" );
        const bool freezesStream = !cutsStream && m_faults->consume( "freeze_streams" );
        const auto tokensBeforeFault = m_faults->number( "cut_after" );
        std::size_t offset = 0;
        std::int64_t sent = 0;
        for( const auto& token : tokens ) {
            offset += token.size();
            if( offset <= skip ) {
                continue;
            }
            if( ( cutsStream || freezesStream ) && sent >= tokensBeforeFault ) {
                if( freezesStream ) {
                    std::this_thread::sleep_for( milliseconds( m_faults->number( "freeze_ms" ) ) );
                }
                return false;
            }
            std::this_thread::sleep_for(
                milliseconds( m_tokenMs + m_faults->number( "slow_ms" ) ) );
            const auto text = offset - token.size() < skip
                                  ? token.substr( skip - ( offset - token.size() ) )
                                  : token;
            const Json choice = chat ? Json{ { "index", 0 }, { "delta", { { "content", text } } } }
                                     : Json{ { "index", 0 }, { "text", text } };
            const auto eventId = m_faults->consume( "cross_events" ) ? "somebody-else" : id;
            if( isCancelled( id ) || !sink( event( eventId, choice ) ) ) {
                return false;
            }
            ++sent;
        }
        Json last{
            { "id", id },
            { "choices", { { { "index", 0 }, { "text", "" }, { "finish_reason", "stop" } } } },
            { "usage", { { "prompt_tokens", 3 }, { "completion_tokens", tokens.size() } } } };
        return sink( "data: " + last.dump() + "\n\ndata: [DONE]\n\n" );
    }

    std::shared_ptr<Faults> m_faults;
    bool m_checksTokens;
    std::string m_weights;
    std::string m_salt; //!< makes the answers differ between engines, as sampling would
    std::int64_t m_loadMs;
    std::int64_t m_tokenMs;
    std::int64_t m_batch;
    std::mutex m_mutex;
    std::vector<std::uint64_t> m_capacity;
    std::vector<Item> m_items;
    std::set<std::string> m_cancelled;
    Token m_token{ 0, 0 };
    std::uint64_t m_breaches = 0;
    std::uint64_t m_loads = 0;
    std::uint64_t m_unloads = 0;
    std::atomic<std::int64_t> m_running{ 0 };
    std::atomic<std::uint64_t> m_generations{ 0 };
};

} // namespace

Handler makeEngine( const Options& options ) {
    auto faults = std::make_shared<Faults>();
    auto engine = std::make_shared<Engine>( options, faults );
    return withFaults( faults, [engine]( const Request& it ) { return engine->handle( it ); } );
}

} // namespace standin
