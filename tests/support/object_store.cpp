// SPDX-License-Identifier: BSL-1.0
#include "support/object_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace coursehead::support {

using Json = nlohmann::json;

namespace {

constexpr std::size_t maxStoredEvents = 2000;
constexpr unsigned statusCreated = 201;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusGone = 410;
constexpr unsigned statusBusy = 503;

//! The byte that two hexadecimal digits stand for; nullopt if `digits` does not begin with such.
std::optional<char> byteOf( std::string_view digits ) {
    unsigned value = 0;
    constexpr int base = 16;
    const auto* end = digits.data() + std::min<std::size_t>( digits.size(), 2 );
    const auto [ptr, ec] = std::from_chars( digits.data(), end, value, base );
    const bool valid = digits.size() >= 2 && ec == std::errc() && ptr == end;
    return valid ? std::optional( static_cast<char>( value ) ) : std::nullopt;
}

std::string decodePart( std::string_view text, bool inQuery ) {
    std::string out;
    for( std::size_t n = 0; n < text.size(); ++n ) {
        const auto byte = text[n] == '%' ? byteOf( text.substr( n + 1 ) ) : std::nullopt;
        out += byte ? *byte : inQuery && text[n] == '+' ? ' ' : text[n];
        n += byte ? 2 : 0;
    }
    return out;
}

std::string queryValue( std::string_view query, std::string_view name ) {
    while( !query.empty() ) {
        const auto pair = query.substr( 0, query.find( '&' ) );
        query.remove_prefix( std::min( query.size(), pair.size() + 1 ) );
        const auto equals = pair.find( '=' );
        if( pair.substr( 0, equals ) == name && equals != std::string_view::npos ) {
            return decodePart( pair.substr( equals + 1 ), true );
        }
    }
    return {};
}

//! True if every key of a query is one of the protocol's.
bool hasKnownKeys( std::string_view query ) {
    constexpr std::array<std::string_view, 5> known{ "after", "watch", "waitMs", "isStale",
                                                     "revision" };
    while( !query.empty() ) {
        const auto pair = query.substr( 0, query.find( '&' ) );
        query.remove_prefix( std::min( query.size(), pair.size() + 1 ) );
        if( std::find( known.begin(), known.end(), pair.substr( 0, pair.find( '=' ) ) ) ==
            known.end() ) {
            return false;
        }
    }
    return true;
}

std::string joined( const std::vector<std::string>& texts ) {
    std::string out;
    for( const auto& it : texts ) {
        out += out.empty() ? "" : ",";
        out += it;
    }
    return out;
}

} // namespace

//! A request's method and the parts of its target.
struct ObjectStore::Call {
    std::string method;
    std::string kind;
    std::string name;
    bool status = false;
    std::string query;

    explicit Call( const Request& request ) : method( request.method_string() ) {
        std::string target( request.target() );
        target.resize( std::min( target.size(), target.find( '#' ) ) );
        const auto mark = target.find( '?' );
        query = mark == std::string::npos ? "" : target.substr( mark + 1 );
        std::string rest = target.substr( 0, mark );
        const std::string prefix = "/objects/";
        rest = rest.starts_with( prefix ) ? rest.substr( prefix.size() ) : "";
        const auto slash = rest.find( '/' );
        kind = rest.substr( 0, slash );
        name = slash == std::string::npos ? "" : rest.substr( slash + 1 );
        const std::string suffix = "/status";
        if( name.ends_with( suffix ) ) {
            name.resize( name.size() - suffix.size() );
            status = true;
        }
        name = decodePart( name, false );
    }
};

ObjectStore::ObjectStore( net::asio::io_context& context, int port )
    : m_context( context ), m_acceptor( net::listen( context, "127.0.0.1", port ) ),
      m_port( m_acceptor.local_endpoint().port() ), m_changeSignal( context ) {
    m_changeSignal.expires_at( MonoTime::max() );
    auto task = accept();
    net::asio::co_spawn( context, std::move( task ), net::asio::detached );
}

void ObjectStore::recordEvent( const std::string& kind, std::string text, bool removed ) {
    m_events.push_back( { m_revision, kind, std::move( text ), removed } );
    if( m_events.size() > maxStoredEvents ) {
        m_oldestWatchable = m_events.front().revision;
        m_events.pop_front();
    }
    m_changeSignal.cancel();
}

void ObjectStore::writeObject( const std::string& kind, const std::string& name, Json object ) {
    ++m_revision;
    auto& metadata = object["metadata"];
    metadata["name"] = name;
    metadata["revision"] = m_revision;
    if( !metadata.contains( "created" ) ) {
        metadata["created"] = m_revision;
    }
    m_objects[kind][name] = std::move( object );
    recordEvent( kind, textOf( kind, name ), false );
}

std::string ObjectStore::textOf( const std::string& kind, const std::string& name ) const {
    const auto texts = m_texts.find( kind );
    if( texts != m_texts.end() && texts->second.contains( name ) ) {
        return texts->second.at( name );
    }
    return m_objects.at( kind ).at( name ).dump();
}

void ObjectStore::putText( const std::string& kind, const std::string& name, std::string text ) {
    m_texts[kind][name] = std::move( text );
    writeObject( kind, name, Json::object() );
}

void ObjectStore::put( const std::string& kind, const std::string& name, Json specification ) {
    const auto it = m_objects[kind].find( name );
    Json object = it == m_objects[kind].end() ? Json::object() : it->second;
    if( object.value( "specification", Json() ) == specification ) {
        return;
    }
    m_texts[kind].erase( name );
    object["specification"] = std::move( specification );
    writeObject( kind, name, std::move( object ) );
}

void ObjectStore::remove( const std::string& kind, const std::string& name ) {
    const auto it = m_objects[kind].find( name );
    if( it == m_objects[kind].end() ) {
        return;
    }
    ++m_revision;
    auto text = textOf( kind, name );
    m_objects[kind].erase( it );
    m_texts[kind].erase( name );
    recordEvent( kind, std::move( text ), true );
}

void ObjectStore::saveCopy() {
    m_copy = { m_objects, m_revision };
}

void ObjectStore::restoreCopy() {
    m_objects = m_copy.objects;
    m_revision = m_copy.revision;
    std::erase_if( m_events, [this]( const auto& it ) { return it.revision > m_revision; } );
    m_oldestWatchable = std::min( m_oldestWatchable, m_revision );
    ++m_era;
    m_changeSignal.cancel();
}

void ObjectStore::setMode( StoreMode mode ) {
    m_mode = mode;
    m_changeSignal.cancel();
}

void ObjectStore::cut( int nextCalls ) {
    ++m_cutCount;
    m_callsToCut = nextCalls;
    m_changeSignal.cancel();
}

net::Task<> ObjectStore::accept() {
    for( ;; ) {
        auto [ec, socket] = co_await m_acceptor.async_accept( net::tupled );
        if( ec ) {
            co_return;
        }
        auto task = serve( net::Socket( std::move( socket ) ) );
        net::asio::co_spawn( m_context, std::move( task ), net::asio::detached );
    }
}

net::Task<> ObjectStore::serve( net::Socket socket ) {
    boost::beast::flat_buffer buf;
    for( ;; ) {
        Request request;
        const auto [ec, n] = co_await http::async_read( socket, buf, request, net::tupled );
        if( ec ) {
            co_return;
        }
        ++m_calls;
        m_staleListCalls +=
            request.target().find( "isStale=1" ) != boost::beast::string_view::npos ? 1 : 0;
        if( m_delay.count() > 0 ) {
            co_await net::pause( m_context, m_delay );
        }
        const bool keepAlive = request.keep_alive();
        if( m_callsToCut > 0 ) {
            --m_callsToCut;
            co_return;
        }
        const auto cuts = m_cutCount;
        auto moved = std::move( request );
        auto got = co_await answer( std::move( moved ) );
        if( m_mode == StoreMode::reset || m_cutCount != cuts ) {
            co_return;
        }
        if( m_mode == StoreMode::silent ) {
            // Keeps the connection open without an answer until the caller closes it.
            co_await http::async_read( socket, buf, request, net::tupled );
            co_return;
        }
        if( m_mode == StoreMode::busy ) {
            got = { statusBusy };
        }
        http::response<http::string_body> response;
        response.result( got.status );
        response.set( http::field::content_type, "application/json" );
        response.set( "Store-Era", std::to_string( m_era ) );
        response.keep_alive( keepAlive );
        response.body() = std::move( got.body );
        response.prepare_payload();
        const auto [failed, sent] = co_await http::async_write( socket, response, net::tupled );
        if( failed || !keepAlive ) {
            co_return;
        }
    }
}

net::Task<ObjectStore::Answer> ObjectStore::answer( Request request ) {
    const Call call( request );
    if( !hasKnownKeys( call.query ) ) {
        co_return Answer{ statusBadRequest, R"({"error":"unknown key in the query"})" };
    }
    if( call.method != "GET" ) {
        co_return write( call, request.body() );
    }
    if( !call.name.empty() ) {
        const auto& objects = m_objects[call.kind];
        const auto it = objects.find( call.name );
        co_return it == objects.end() ? Answer{ statusNotFound }
                                      : Answer{ 200, textOf( call.kind, call.name ) };
    }
    const auto from = queryValue( call.query, "watch" );
    if( from.empty() ) {
        co_return list( call.kind, queryValue( call.query, "after" ) );
    }
    const auto wait = queryValue( call.query, "waitMs" );
    std::string kind = call.kind;
    const auto revision = static_cast<std::uint64_t>( std::stoull( from ) );
    const Millis limit( wait.empty() ? 0 : std::stoll( wait ) );
    co_return co_await watch( std::move( kind ), revision, limit );
}

net::Task<ObjectStore::Answer> ObjectStore::watch( std::string kind, std::uint64_t from,
                                                   Millis wait ) {
    const auto until = MonoClock::now() + wait;
    for( ;; ) {
        if( from < m_oldestWatchable || from > m_revision ) {
            co_return Answer{ statusGone };
        }
        const auto found = events( kind, from );
        const bool over = MonoClock::now() >= until || m_mode != StoreMode::up;
        if( !found.empty() || over ) {
            co_return Answer{ 200, R"({"events":[)" + joined( found ) + R"(],"timestamp":)" +
                                       std::to_string( m_revision ) + "}" };
        }
        // Shared ownership: the handler on m_changeSignal may run after this watch has ended.
        const auto timer = std::make_shared<net::Timer>( m_context );
        timer->expires_at( until );
        m_changeSignal.async_wait( [timer]( net::ErrorCode ) { timer->cancel(); } );
        co_await timer->async_wait( net::tupled );
    }
}

std::vector<std::string> ObjectStore::events( const std::string& kind, std::uint64_t from ) const {
    std::vector<std::string> out;
    for( const auto& it : m_events ) {
        if( it.revision > from && it.kind == kind ) {
            out.push_back( R"({"object":)" + it.text + R"(,"isGone":)" +
                           ( it.removed ? "true}" : "false}" ) );
        }
    }
    return out;
}

ObjectStore::Answer ObjectStore::list( const std::string& kind, const std::string& after ) const {
    std::vector<std::string> items;
    bool more = false;
    const auto objects = m_objects.find( kind );
    if( objects != m_objects.end() ) {
        const auto from = m_repeatsFirstPage ? std::string() : after;
        for( auto it = objects->second.upper_bound( from ); it != objects->second.end(); ++it ) {
            if( items.size() == m_pageSize ) {
                more = true;
                break;
            }
            items.push_back( textOf( kind, it->first ) );
        }
    }
    return { 200, R"({"items":[)" + joined( items ) + R"(],"morePages":)" +
                      ( more ? "true" : "false" ) + R"(,"timestamp":)" +
                      std::to_string( m_revision ) + "}" };
}

ObjectStore::Answer ObjectStore::write( const Call& call, const std::string& body ) {
    const auto given = Json::parse( body.empty() ? "{}" : body, nullptr, false );
    if( !given.is_object() ) {
        return { statusBadRequest, R"({"error":"the body is not a JSON object"})" };
    }
    const auto name = call.method == "POST"
                          ? given.value( "metadata", Json::object() ).value( "name", "" )
                          : call.name;
    auto& objects = m_objects[call.kind];
    const auto it = objects.find( name );
    if( call.method == "POST" ) {
        if( it != objects.end() ) {
            return { statusConflict, it->second.dump() };
        }
        writeObject( call.kind, name,
                     { { "specification", given.value( "specification", Json() ) },
                       { "status", given.value( "status", Json() ) } } );
        return { statusCreated, objects[name].dump() };
    }
    if( it == objects.end() ) {
        return { statusNotFound };
    }
    return update( call, given, it->second );
}

ObjectStore::Answer ObjectStore::update( const Call& call, const Json& given, Json object ) {
    const auto expectedRevision =
        given.value( "metadata", Json::object() ).value( "revision", Json() );
    const auto queryRevision = queryValue( call.query, "revision" );
    const auto currentRevision = object["metadata"]["revision"].get<std::uint64_t>();
    const bool differs =
        ( expectedRevision.is_number() &&
          expectedRevision.get<std::uint64_t>() != currentRevision ) ||
        ( !queryRevision.empty() && queryRevision != std::to_string( currentRevision ) );
    if( differs ) {
        return { statusConflict, object.dump() };
    }
    if( call.method == "DELETE" ) {
        remove( call.kind, call.name );
        return { 200, object.dump() };
    }
    const char* part = call.status ? "status" : "specification";
    if( object.value( part, Json() ) != given.value( part, Json() ) ) {
        object[part] = given.value( part, Json() );
        writeObject( call.kind, call.name, object );
    }
    return { 200, m_objects[call.kind][call.name].dump() };
}

} // namespace coursehead::support
