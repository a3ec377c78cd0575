// SPDX-License-Identifier: BSL-1.0
#include "standin.hpp"

#include <chrono>
#include <condition_variable>
#include <thread>
#include <vector>

// Stand-in for the platform's object API. Faults: outage (bool), slow_ms, lose_write_answers
// (count), list_lag_ms (delay of the vms list), hold_watches (bool: watches deliver no events),
// expire_watches (count), stale_reads (count, of the object `head`).

namespace standin {

using coursehead::http::Request;
using coursehead::http::Response;
using coursehead::http::Sink;
using SteadyTime = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view base = "/apis/coursehead/v1/";

struct Event {
    std::uint64_t version = 0;
    SteadyTime at;
    std::string type;
    std::string kind;
    std::string name;
    Json object;
};

struct Path {
    std::string kind;
    std::string name;
};

class Store : public std::enable_shared_from_this<Store> {
public:
    explicit Store( std::shared_ptr<Faults> faults ) : m_faults( std::move( faults ) ) {}

    Response handle( const Request& request ) {
        if( request.path == "/stats" ) {
            const std::lock_guard lock( m_mutex );
            return reply(
                200, { { "reads", m_reads }, { "writes", m_writes }, { "watches", m_watches } } );
        }
        if( !request.path.starts_with( base ) ) {
            return reply( 404, Json::object() );
        }
        if( m_faults->isOn( "outage" ) ) {
            return reply( 503, { { "error", "outage" } } );
        }
        std::this_thread::sleep_for( milliseconds( m_faults->number( "slow_ms" ) ) );
        const auto path = split( request.path );
        if( request.parameter( "watch" ) == "true" ) {
            return watch( request, path.kind );
        }
        if( request.method == "GET" ) {
            return path.name.empty() ? list( request, path.kind ) : get( path );
        }
        auto answer = write( request, path );
        if( answer.status < 300 && m_faults->consume( "lose_write_answers" ) ) {
            return cutResponse();
        }
        return answer;
    }

private:
    static Path split( const std::string& path ) {
        const auto rest = path.substr( base.size() );
        const auto slash = rest.find( '/' );
        return { rest.substr( 0, slash ),
                 slash == std::string::npos ? "" : rest.substr( slash + 1 ) };
    }

    static std::string selectedName( const Request& request ) {
        const auto selector = request.parameter( "fieldSelector" );
        const auto at = selector.find( '=' );
        return at == std::string_view::npos ? "" : std::string( selector.substr( at + 1 ) );
    }

    //! The list and watch of all VMs lag; those of a single VM do not.
    milliseconds lagOf( const std::string& kind, const std::string& name ) const {
        const bool lags = kind == "vms" && name.empty();
        return milliseconds( lags ? m_faults->number( "list_lag_ms" ) : 0 );
    }

    bool isVisible( const Event& event, milliseconds lag ) const {
        if( m_faults->isOn( "hold_watches" ) ) {
            return false;
        }
        return event.at + lag <= std::chrono::steady_clock::now();
    }

    Response get( const Path& path ) {
        const std::lock_guard lock( m_mutex );
        ++m_reads;
        const auto it = m_objects.find( path.kind + "/" + path.name );
        if( path.name == "head" && m_faults->consume( "stale_reads" ) && !m_staleHead.is_null() ) {
            return reply( 200, m_staleHead );
        }
        return it == m_objects.end() ? reply( 404, Json::object() ) : reply( 200, it->second );
    }

    Response list( const Request& request, const std::string& kind ) {
        const std::lock_guard lock( m_mutex );
        ++m_reads;
        const auto name = selectedName( request );
        const auto lag = lagOf( kind, name );
        std::map<std::string, Json> items;
        std::uint64_t version = 0;
        for( const auto& it : m_events ) {
            if( it.at + lag > std::chrono::steady_clock::now() ) {
                break;
            }
            version = it.version;
            if( it.kind != kind || ( !name.empty() && it.name != name ) ) {
                continue;
            }
            if( it.type == "DELETED" ) {
                items.erase( it.name );
            } else {
                items[it.name] = it.object;
            }
        }
        Json out{ { "metadata", { { "resourceVersion", std::to_string( version ) } } },
                  { "items", Json::array() } };
        for( auto& it : items ) {
            out["items"].push_back( std::move( it.second ) );
        }
        return reply( 200, out );
    }

    Response write( const Request& request, const Path& path ) {
        auto body = Json::parse( request.body, nullptr, false );
        const std::lock_guard lock( m_mutex );
        ++m_writes;
        if( request.method == "DELETE" ) {
            return remove( path );
        }
        if( !body.is_object() || !body.contains( "metadata" ) ) {
            return reply( 400, { { "error", "expected an object with metadata" } } );
        }
        const auto name = body["metadata"].value( "name", path.name );
        const auto found = m_objects.find( path.kind + "/" + name );
        const bool create = request.method == "POST";
        if( create && found != m_objects.end() ) {
            return reply( 409, { { "error", "exists" } } );
        }
        if( !create && found == m_objects.end() ) {
            return reply( 404, Json::object() );
        }
        const auto expectedVersion = body["metadata"].value( "resourceVersion", "" );
        if( !create && !expectedVersion.empty() &&
            found->second["metadata"]["resourceVersion"] != expectedVersion ) {
            return reply( 409, { { "error", "conflict" } } );
        }
        return put( path.kind, name, std::move( body ), create );
    }

    Response put( const std::string& kind, const std::string& name, Json body, bool create ) {
        body["metadata"]["resourceVersion"] = std::to_string( ++m_version );
        auto& slot = m_objects[kind + "/" + name];
        if( name == "head" ) {
            m_staleHead = slot;
        }
        slot = body;
        m_events.push_back( { m_version, std::chrono::steady_clock::now(),
                              create ? "ADDED" : "MODIFIED", kind, name, body } );
        m_changed.notify_all();
        return reply( create ? 201 : 200, body );
    }

    Response remove( const Path& path ) {
        const auto found = m_objects.find( path.kind + "/" + path.name );
        if( found == m_objects.end() ) {
            return reply( 404, Json::object() );
        }
        Json last = found->second;
        last["metadata"]["resourceVersion"] = std::to_string( ++m_version );
        m_objects.erase( found );
        m_events.push_back( { m_version, std::chrono::steady_clock::now(), "DELETED", path.kind,
                              path.name, last } );
        m_changed.notify_all();
        return reply( 200, last );
    }

    Response watch( const Request& request, const std::string& kind ) {
        {
            const std::lock_guard lock( m_mutex );
            ++m_watches;
        }
        if( m_faults->consume( "expire_watches" ) ) {
            return reply( 410, Json::object() );
        }
        const auto name = selectedName( request );
        const auto from = std::stoull( std::string( request.parameter( "resourceVersion", "0" ) ) );
        const auto seconds =
            std::stoll( std::string( request.parameter( "timeoutSeconds", "60" ) ) );
        Response out;
        out.producer = [self = shared_from_this(), kind, name, from, seconds]( const Sink& sink ) {
            return self->follow( kind, name, from, std::chrono::seconds( seconds ), sink );
        };
        return out;
    }

    bool follow( const std::string& kind, const std::string& name, std::uint64_t version,
                 std::chrono::seconds wait, const Sink& sink ) {
        const auto limit = std::chrono::steady_clock::now() + wait;
        std::size_t at = 0;
        while( std::chrono::steady_clock::now() < limit ) {
            std::string lines;
            const auto lag = lagOf( kind, name );
            {
                std::unique_lock lock( m_mutex );
                m_changed.wait_for( lock, milliseconds( 50 ), [&] {
                    return at < m_events.size() && isVisible( m_events[at], lag );
                } );
                for( ; at < m_events.size() && isVisible( m_events[at], lag ); ++at ) {
                    const auto& it = m_events[at];
                    if( it.version > version && it.kind == kind &&
                        ( name.empty() || it.name == name ) ) {
                        lines += Json{ { "type", it.type }, { "object", it.object } }.dump() + "\n";
                    }
                }
            }
            if( m_faults->isOn( "outage" ) ) {
                return false;
            }
            // An empty line carries no event; sending it detects a watcher that has disconnected.
            if( !sink( lines.empty() ? "\n" : lines ) ) {
                return false;
            }
        }
        return true;
    }

    std::shared_ptr<Faults> m_faults;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Json> m_objects;
    std::vector<Event> m_events;
    Json m_staleHead;
    std::uint64_t m_version = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
};

} // namespace

Handler makeStore( const Options& ) {
    auto faults = std::make_shared<Faults>();
    auto store = std::make_shared<Store>( faults );
    return withFaults( faults, [store]( const Request& it ) { return store->handle( it ); } );
}

} // namespace standin
