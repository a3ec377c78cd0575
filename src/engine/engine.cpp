// SPDX-License-Identifier: BSL-1.0
#include "coursehead/engine/engine.hpp"

#include <nlohmann/json.hpp>

namespace coursehead::engine {

using Json = nlohmann::json;
using ledger::ItemKind;

namespace {

constexpr Millis connectTimeout{ 500 };
constexpr Millis statusTimeout{ 1000 };
constexpr int statusOk = 200;
constexpr int firstServerError = 500;
constexpr std::string_view doneMarker = "[DONE]";
//! Limit on a line of an event stream; without one, bytes that hold no line end would be kept.
constexpr std::size_t maxLineBytes = 1U << 20U;
//! Limit on the text of an engine's refusal.
constexpr std::size_t maxErrorBytes = 64U << 10U;

std::string itemKindText( ItemKind kind ) {
    return kind == ItemKind::model ? "model" : "adapter";
}

bool readItem( const Json& from, ledger::ReportedItem& out ) {
    out.item.kind = from.value( "kind", "" ) == "adapter" ? ItemKind::adapter : ItemKind::model;
    out.item.name = from.at( "name" ).get<std::string>();
    out.item.version = from.value( "version", "" );
    out.item.model = from.value( "model", "" );
    out.bytes = from.at( "bytes" ).get<std::uint64_t>();
    out.accelerators = from.at( "accelerators" ).get<std::vector<std::uint32_t>>();
    return true;
}

http::Request post( std::string path, const Json& body ) {
    http::Request out;
    out.method = "POST";
    out.path = std::move( path );
    out.body = body.dump( -1, ' ', false, Json::error_handler_t::replace );
    return out;
}

OrderOutcome send( const Endpoint& endpoint, const Json& order ) {
    http::Client client( endpoint.url, { connectTimeout, endpoint.orderTimeout } );
    const auto outcome = client.call( post( "/orders", order ) );
    if( outcome.failure == http::Failure::notSent ) {
        return OrderOutcome::refused;
    }
    if( outcome.failure == http::Failure::broken || outcome.response.status >= firstServerError ) {
        return OrderOutcome::unknown;
    }
    return outcome.response.status == statusOk ? OrderOutcome::done : OrderOutcome::refused;
}

Json tokenJson( const Token& token ) {
    return Json{ { "epoch", token.epoch }, { "number", token.number } };
}

//! Reads the events of one generation and drops those of any other request.
class AnswerReader {
public:
    AnswerReader( const Generation& generation, const TextHandler& handler )
        : m_generation( generation ), m_handler( handler ) {}

    bool handleEvent( std::string_view data ) {
        if( data == doneMarker ) {
            m_done = true;
            return true;
        }
        const auto event = Json::parse( data, nullptr, false );
        const auto id = event.is_object() ? event.value( "id", Json() ) : Json();
        if( id != m_generation.requestId ) {
            // The event may have replaced one of this request, so the rest of the answer may be
            // incomplete.
            ++m_result.crossed;
            m_result.detail = "an event of another request";
            return false;
        }
        try {
            return handleOwnEvent( event );
        } catch( const Json::exception& ex ) {
            m_result.detail = ex.what();
            return false;
        }
    }

    bool complete() const { return m_done && !m_result.finishReason.empty(); }
    bool stopped() const { return m_stopped; }
    GenerationResult& result() { return m_result; }

private:
    bool handleOwnEvent( const Json& event ) {
        if( event.contains( "usage" ) && event["usage"].is_object() ) {
            m_result.promptTokens = event["usage"].value( "prompt_tokens", 0U );
            m_result.completionTokens = event["usage"].value( "completion_tokens", 0U );
        }
        if( !event.contains( "choices" ) || event["choices"].empty() ) {
            return true;
        }
        const auto& choice = event["choices"][0];
        const auto text = textOf( choice );
        if( !text.empty() && !m_handler( text ) ) {
            m_stopped = true;
            return false;
        }
        if( choice.contains( "finish_reason" ) && choice["finish_reason"].is_string() ) {
            m_result.finishReason = choice["finish_reason"].get<std::string>();
        }
        return true;
    }

    static std::string textOf( const Json& choice ) {
        if( choice.contains( "delta" ) ) {
            return choice["delta"].value( "content", "" );
        }
        return choice.value( "text", "" );
    }

    const Generation& m_generation;
    const TextHandler& m_handler;
    GenerationResult m_result;
    bool m_done = false;
    bool m_stopped = false;
};

bool makeBody( const Generation& generation, Json& body ) {
    body = Json::parse( generation.body, nullptr, false );
    if( !body.is_object() ) {
        return false;
    }
    body["stream"] = true;
    body["stream_options"] = { { "include_usage", true } };
    body["model"] = generation.model;
    body["request_id"] = generation.requestId;
    body["priority"] = generation.priority;
    body["version"] = generation.version;
    if( !generation.adapter.empty() ) {
        body["adapter"] = generation.adapter;
    }
    if( !generation.prefix.empty() ) {
        body["continue_after"] = generation.prefix;
    }
    return true;
}

GenerationEnd generationEnd( const http::Outcome& outcome, const AnswerReader& reader,
                             int status ) {
    if( reader.complete() ) {
        return GenerationEnd::complete;
    }
    if( reader.stopped() ) {
        return GenerationEnd::cancelled;
    }
    if( outcome.failure == http::Failure::notSent ) {
        return GenerationEnd::notSent;
    }
    return status != 0 && status != statusOk ? GenerationEnd::rejected : GenerationEnd::cut;
}

} // namespace

bool EventReader::feed( std::string_view bytes,
                        const std::function<bool( std::string_view data )>& handler ) {
    constexpr std::string_view prefix = "data:";
    m_partial.append( bytes );
    std::size_t at = 0;
    bool continueReading = true;
    for( ;; ) {
        const auto end = m_partial.find( '\n', at );
        if( end == std::string::npos || !continueReading ) {
            break;
        }
        auto line = std::string_view( m_partial ).substr( at, end - at );
        at = end + 1;
        if( line.ends_with( '\r' ) ) {
            line.remove_suffix( 1 );
        }
        if( line.starts_with( prefix ) ) {
            line.remove_prefix( prefix.size() );
            if( line.starts_with( ' ' ) ) {
                line.remove_prefix( 1 );
            }
            continueReading = handler( line );
        }
    }
    m_partial.erase( 0, at );
    return continueReading && m_partial.size() <= maxLineBytes;
}

Status readStatus( const Endpoint& endpoint ) {
    Status out;
    http::Client client( endpoint.url, { connectTimeout, statusTimeout } );
    http::Request request;
    request.path = "/status";
    const auto outcome = client.call( request );
    if( outcome.failure != http::Failure::none || outcome.response.status != statusOk ) {
        return out;
    }
    const auto body = Json::parse( outcome.response.body, nullptr, false );
    try {
        out.applied.epoch = body.at( "token" ).at( "epoch" ).get<std::uint64_t>();
        out.applied.number = body.at( "token" ).at( "number" ).get<std::uint64_t>();
        out.capacity = body.at( "capacity" ).get<std::vector<std::uint64_t>>();
        for( const auto& it : body.at( "items" ) ) {
            ledger::ReportedItem item;
            readItem( it, item );
            out.items.push_back( std::move( item ) );
        }
        out.ok = true;
    } catch( const Json::exception& ) {
        out.ok = false;
    }
    return out;
}

OrderOutcome sendOrder( const Endpoint& endpoint, const Token& token, const ledger::Order& order ) {
    const auto& item = order.footprint.item;
    const Json body{
        { "token", tokenJson( token ) },
        { "action", order.action == ledger::OrderAction::load ? "load" : "unload" },
        { "kind", itemKindText( item.kind ) },
        { "name", item.name },
        { "version", item.version },
        { "model", item.model },
        { "bytes", order.footprint.bytes },
        { "accelerators", order.accelerators },
    };
    return send( endpoint, body );
}

OrderOutcome sendFence( const Endpoint& endpoint, const Token& token ) {
    return send( endpoint, Json{ { "token", tokenJson( token ) }, { "action", "fence" } } );
}

GenerationResult generate( const Endpoint& endpoint, const Generation& generation,
                           const TextHandler& handler ) {
    Json body;
    if( !makeBody( generation, body ) ) {
        GenerationResult out;
        out.end = GenerationEnd::rejected;
        out.detail = "the body is not a JSON object";
        return out;
    }
    auto request = post( generation.path, body );
    request.headers["X-Request-Id"] = generation.requestId;
    http::Client client( endpoint.url, { connectTimeout, endpoint.silenceTimeout } );
    AnswerReader reader( generation, handler );
    EventReader events;
    int status = 0;
    std::string errorText;
    const auto outcome = client.stream( request, [&]( int code, std::string_view bytes ) {
        status = code;
        if( code != statusOk ) {
            errorText.append( bytes );
            return errorText.size() <= maxErrorBytes;
        }
        return events.feed( bytes, [&reader]( auto data ) { return reader.handleEvent( data ); } );
    } );
    if( status == 0 && outcome.failure == http::Failure::none ) {
        status = outcome.response.status;
    }
    auto& result = reader.result();
    result.status = status;
    if( result.detail.empty() ) {
        result.detail = errorText.empty() ? outcome.detail : errorText;
    }
    result.end = generationEnd( outcome, reader, status );
    return std::move( result );
}

void cancel( const Endpoint& endpoint, std::string_view requestId ) {
    http::Client client( endpoint.url, { connectTimeout, statusTimeout } );
    client.call( post( "/v1/cancel", Json{ { "request_id", requestId } } ) );
}

} // namespace coursehead::engine
