// SPDX-License-Identifier: BSL-1.0
#include "coursehead/http/client.hpp"
#include "coursehead/kernel/log.hpp"
#include "coursehead/platform/store.hpp"
#include "platform/json_text.hpp"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

namespace coursehead::platform {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr std::string_view basePath = "/apis/coursehead/v1/";
constexpr http::Timeouts callTimeouts{ Millis{ 500 }, Millis{ 2000 } };
//! Time added to a watch's duration for the read timeout of its connection.
constexpr Millis watchSlack{ 2000 };
//! Limit on an event of a watch; an object is well below a megabyte.
constexpr std::size_t maxEventBytes = 16U << 20U;

//! Length of an unreadable object's text in the log.
constexpr std::size_t maxLoggedLength = 200;

leaf::error_id fail( StoreStats& stats, StoreFailure failure, std::string detail ) {
    ++stats.failures;
    return leaf::new_error( StoreError{ failure, std::move( detail ) } );
}

std::string pathOf( std::string_view kind, std::string_view name ) {
    std::string out( basePath );
    out += kind;
    if( !name.empty() ) {
        out += "/";
        out += name;
    }
    return out;
}

bool readVersion( const Json& metadata, std::uint64_t& out ) {
    const auto it = metadata.is_object() ? metadata.find( "resourceVersion" ) : metadata.end();
    const auto version = it != metadata.end() && it->is_string()
                             ? parseUnsigned( it->get_ref<const std::string&>() )
                             : std::nullopt;
    out = version.value_or( 0 );
    return version.has_value();
}

//! False for an object that can't be read. Other systems write objects too.
bool readObject( std::string_view text, std::string_view kind, Object& out ) {
    const auto from = parseJson( text );
    const auto metadata = from.is_object() ? from.value( "metadata", Json() ) : Json();
    const auto name = metadata.is_object() ? metadata.value( "name", Json() ) : Json();
    if( !name.is_string() || !readVersion( metadata, out.version ) ) {
        log::warn( "object_unreadable",
                   { { "kind", kind }, { "text", text.substr( 0, maxLoggedLength ) } } );
        return false;
    }
    out.kind = kind;
    out.name = name.get<std::string>();
    out.spec = from.contains( "spec" ) ? from.at( "spec" ).dump() : "{}";
    return true;
}

std::string writeObject( const Object& from ) {
    Json out;
    out["metadata"]["name"] = from.name;
    if( from.version != 0 ) {
        out["metadata"]["resourceVersion"] = std::to_string( from.version );
    }
    out["spec"] = Json::parse( from.spec, nullptr, false );
    return out.dump();
}

StoreFailure failureOf( int status ) {
    constexpr int notFound = 404;
    constexpr int conflict = 409;
    constexpr int gone = 410;
    constexpr int firstServerError = 500;
    switch( status ) {
    case notFound:
        return StoreFailure::notFound;
    case conflict:
        return StoreFailure::conflict;
    case gone:
        return StoreFailure::expired;
    default:
        // A write may have taken effect before a 5xx response.
        return status >= firstServerError ? StoreFailure::unknown : StoreFailure::refused;
    }
}

//! Makes a call; the body of the response.
leaf::result<std::string> exchange( const std::string& url, StoreStats& stats,
                                    const http::Request& request ) {
    http::Client client( url, callTimeouts );
    auto outcome = client.call( request );
    if( outcome.failure == http::Failure::notSent ) {
        return fail( stats, StoreFailure::notSent, outcome.detail );
    }
    if( outcome.failure == http::Failure::broken ) {
        return fail( stats, StoreFailure::unknown, outcome.detail );
    }
    constexpr int firstErrorStatus = 300;
    if( outcome.response.status >= firstErrorStatus ) {
        return fail( stats, failureOf( outcome.response.status ),
                     "status " + std::to_string( outcome.response.status ) );
    }
    return std::move( outcome.response.body );
}

leaf::result<Object> exchangeObject( const std::string& url, StoreStats& stats,
                                     const http::Request& request, std::string_view kind ) {
    BOOST_LEAF_AUTO( text, exchange( url, stats, request ) );
    Object out;
    if( !readObject( text, kind, out ) ) {
        return fail( stats, StoreFailure::unknown, "the response is not a valid object" );
    }
    return out;
}

http::Request makeRequest( std::string method, std::string path, std::string body = {} ) {
    http::Request out;
    out.method = std::move( method );
    out.path = std::move( path );
    out.body = std::move( body );
    return out;
}

leaf::result<Listing> listObjects( const std::string& url, StoreStats& stats, const Topic& topic ) {
    auto request = makeRequest( "GET", pathOf( topic.kind, "" ) );
    if( !topic.name.empty() ) {
        request.query["fieldSelector"] = "metadata.name=" + topic.name;
    }
    BOOST_LEAF_AUTO( text, exchange( url, stats, request ) );
    Listing out;
    const auto members = splitObject( text );
    const auto items = members ? splitArray( valueOf( *members, "items" ) ) : std::nullopt;
    if( !items || !readVersion( parseJson( valueOf( *members, "metadata" ) ), out.version ) ) {
        return fail( stats, StoreFailure::unknown, "the response is not a list" );
    }
    for( const auto& it : *items ) {
        Object object;
        if( readObject( it, topic.kind, object ) ) {
            out.objects.push_back( std::move( object ) );
        }
    }
    return out;
}

EventType eventType( const std::string& typeName ) {
    if( typeName == "ADDED" ) {
        return EventType::added;
    }
    if( typeName == "DELETED" ) {
        return EventType::removed;
    }
    return typeName == "BOOKMARK" ? EventType::bookmark : EventType::modified;
}

//! Splits a watch's stream into lines and passes each to the handler as an event. feed() returns
//! false to end the watch.
class EventStreamParser {
public:
    EventStreamParser( std::string_view kind, const EventHandler& handler )
        : m_kind( kind ), m_handler( handler ) {}

    bool feed( std::string_view bytes ) {
        std::size_t from = m_partial.size();
        m_partial.append( bytes );
        for( ;; ) {
            const auto end = m_partial.find( '\n', from );
            from = 0;
            if( end == std::string::npos ) {
                m_tooLong = m_partial.size() > maxEventBytes;
                return !m_tooLong;
            }
            const bool more = parseLine( std::string_view( m_partial ).substr( 0, end ) );
            m_partial.erase( 0, end + 1 );
            if( !more ) {
                return false;
            }
        }
    }
    bool expired() const noexcept { return m_expired; }
    //! True if a line without an end was given up.
    bool tooLong() const noexcept { return m_tooLong; }

private:
    bool parseLine( std::string_view text ) {
        const auto members = splitObject( text );
        const auto type = members ? parseText( valueOf( *members, "type" ) ) : std::nullopt;
        if( !type ) {
            return true;
        }
        if( *type == "ERROR" ) {
            m_expired = true;
            return false;
        }
        WatchEvent event;
        event.type = eventType( *type );
        return !readObject( valueOf( *members, "object" ), m_kind, event.object ) ||
               m_handler( event );
    }

    std::string m_kind;
    const EventHandler& m_handler;
    std::string m_partial;
    bool m_expired = false;
    bool m_tooLong = false;
};

leaf::result<void> watchObjects( const std::string& url, StoreStats& stats, const Topic& topic,
                                 std::uint64_t version, Millis wait, const EventHandler& handler,
                                 CallControl& control ) {
    auto request = makeRequest( "GET", pathOf( topic.kind, "" ) );
    request.query["watch"] = "true";
    request.query["resourceVersion"] = std::to_string( version );
    request.query["timeoutSeconds"] =
        std::to_string( std::chrono::ceil<std::chrono::seconds>( wait ).count() );
    if( !topic.name.empty() ) {
        request.query["fieldSelector"] = "metadata.name=" + topic.name;
    }
    http::Client client( url, { callTimeouts.connect, wait + watchSlack } );
    EventStreamParser eventParser( topic.kind, handler );
    bool ended = false;
    int status = 0;
    control.bind( [&client] { client.abort(); } );
    const auto outcome = client.stream( request, [&]( int code, std::string_view bytes ) {
        status = code;
        ended = code != 200 || !eventParser.feed( bytes );
        return !ended;
    } );
    control.unbind();
    if( status >= 300 ) {
        return fail( stats, failureOf( status ), "status " + std::to_string( status ) );
    }
    if( eventParser.expired() ) {
        return fail( stats, StoreFailure::expired, "the start version of the watch is too old" );
    }
    if( eventParser.tooLong() ) {
        return fail( stats, StoreFailure::unknown, "an event of the watch is too long" );
    }
    if( outcome.failure != http::Failure::none && !ended ) {
        return fail( stats, StoreFailure::unknown, outcome.detail );
    }
    return {};
}

} // namespace

void CallControl::cancel() {
    const std::lock_guard lock( m_mutex );
    m_cancelled = true;
    if( m_abort ) {
        m_abort();
    }
}

void CallControl::bind( std::function<void()> abort ) {
    const std::lock_guard lock( m_mutex );
    m_abort = std::move( abort );
    if( m_cancelled ) {
        m_abort();
    }
}

void CallControl::unbind() {
    const std::lock_guard lock( m_mutex );
    m_abort = nullptr;
}

ObjectStore httpStore( const std::string& url, StoreStats& stats ) {
    ObjectStore out;
    out.get = [url, &stats]( std::string_view kind, std::string_view name ) {
        ++stats.reads;
        return exchangeObject( url, stats, makeRequest( "GET", pathOf( kind, name ) ), kind );
    };
    out.list = [url, &stats]( const Topic& topic ) {
        ++stats.reads;
        return listObjects( url, stats, topic );
    };
    out.create = [url, &stats]( const Object& object ) {
        ++stats.writes;
        const auto request =
            makeRequest( "POST", pathOf( object.kind, "" ), writeObject( object ) );
        return exchangeObject( url, stats, request, object.kind );
    };
    out.update = [url, &stats]( const Object& object ) {
        ++stats.writes;
        const auto request =
            makeRequest( "PUT", pathOf( object.kind, object.name ), writeObject( object ) );
        return exchangeObject( url, stats, request, object.kind );
    };
    out.watch = [url, &stats]( const Topic& topic, std::uint64_t version, Millis wait,
                               const EventHandler& handler, CallControl& control ) {
        ++stats.watches;
        return watchObjects( url, stats, topic, version, wait, handler, control );
    };
    return out;
}

} // namespace coursehead::platform
