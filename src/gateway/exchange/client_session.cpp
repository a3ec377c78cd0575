// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/client_session.hpp"

#include "coursehead/kernel/log.hpp"
#include "gateway/exchange/access.hpp"
#include "gateway/exchange/client_writer.hpp"
#include "gateway/exchange/http_text.hpp"
#include "gateway/exchange/status.hpp"
#include "net/read_buffer.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace coursehead::gateway {

namespace {

//! A client connection is dropped when sent bytes stay unacknowledged for this long.
constexpr Millis clientUnackedTimeout{ 10000 };
//! Bytes that the kernel takes ahead of what the client's window allows. More would count as taken
//! by a client that reads nothing, a smaller number wakes the gateway more often for a long answer.
constexpr std::size_t maxUnsentBytes = 32U << 10U;
//! Idle timeout of a client connection while no configuration is known.
constexpr Millis startIdleTimeout{ 15000 };

//! Sets `disconnected` when the client closes its connection, and closes the upstream connection of
//! the send in progress.
void watchClient( const std::shared_ptr<ClientConnection>& client ) {
    client->socket.async_wait( net::Socket::wait_read, [client]( net::ErrorCode ec ) {
        if( client->done || ec == net::asio::error::operation_aborted ) {
            return;
        }
        if( !checkDisconnected( *client ) ) {
            return; // bytes of a pipelined request, which is served after this one
        }
        if( const auto upstream = client->upstream.lock() ) {
            upstream->socket.close( ec );
        }
        if( const auto writer = client->writer.lock() ) {
            writer->notifyDisconnected();
        }
    } );
}

unsigned statusOf( net::ErrorCode ec ) {
    if( ec == http::error::header_limit ) {
        return statusHeaderTooLarge;
    }
    return ec == http::error::body_limit ? statusContentTooLarge : statusBadRequest;
}

net::Task<> refuse( net::Socket& socket, unsigned status, Millis retryAfter ) {
    http::fields fields;
    if( retryAfter.count() > 0 ) {
        fields.set( http::field::retry_after, platform::retryAfterText( retryAfter ) );
    }
    if( status == statusUnauthorized ) {
        fields.set( http::field::www_authenticate, keyChallenge );
    }
    const std::string bytes = answerHeadText( status, "", fields, "Content-Length: 0\r\n", false );
    const auto buf = net::asio::buffer( bytes );
    co_await net::asio::async_write( socket, buf, net::tupled );
    net::ErrorCode ec;
    socket.shutdown( net::Socket::shutdown_send, ec );
    // Closing a socket with unread bytes sends a reset, which may overtake the answer: the bytes
    // are read and discarded first.
    constexpr Millis drainTime{ 300 };
    net::SocketDeadline deadline( socket, MonoClock::now() + drainTime );
    std::string discarded( 4096, '\0' );
    for( ;; ) {
        const auto space = net::asio::buffer( discarded );
        const auto [error, n] = co_await socket.async_read_some( space, net::tupled );
        if( error ) {
            co_return;
        }
    }
}

//! Result of reading a request.
struct ReadResult {
    bool closed = true;            //!< the connection has ended without a further request
    unsigned refusal = 0;          //!< status of the refusal; 0: not refused
    std::string refusalCause = {}; //!< of a malformed request
    Millis retryAfter{ 0 };        //!< of the refusal; 0: not stated
    bool keepAlive = true;
    std::size_t bytes = 0; //!< read from the client, of a whole request or not
    ClientRequest request;
};

ClientLimits limitsOf( const SharedState& shared ) {
    if( shared.table ) {
        return shared.table->configuration().limits;
    }
    ClientLimits out;
    out.idleTime = startIdleTimeout;
    return out;
}

net::Task<bool> waitForRequest( net::Socket& socket, const boost::beast::flat_buffer& buf,
                                Millis idle ) {
    if( buf.size() > 0 ) {
        co_return true;
    }
    net::SocketDeadline deadline( socket, MonoClock::now() + idle );
    const auto [ec] = co_await socket.async_wait( net::Socket::wait_read, net::tupled );
    co_return !ec && !deadline.expired();
}

//! The route of a request; null if there is none, or no configuration is known.
const Route* routeOf( const SharedState& shared, const http::request_header<>& head ) {
    if( !shared.table ) {
        return nullptr;
    }
    const auto host = head[http::field::host];
    const auto target = head.target();
    return shared.table->find( std::string_view( host.data(), host.size() ),
                               std::string_view( target.data(), target.size() ) );
}

//! True when the head alone shows that the request is denied for its key: the body is not read
//! then.
bool deniedByHead( const SharedState& shared, const http::request_header<>& head,
                   const std::optional<KeyDigest>& key ) {
    const auto* route = routeOf( shared, head );
    return route != nullptr &&
           checkAccess( *shared.table, *route, key, shared.configurationUpToDate ).verdict ==
               AccessVerdict::denied;
}

//! Refuses a request whose body finds no room.
void refuseForRoom( ReadResult& result, const RequestParser& parser, std::uint64_t bytes,
                    const SharedState& shared ) {
    const auto& room = shared.bodies->room();
    result.refusal = statusUnavailable;
    result.retryAfter = room.retryAfter( bytes );
    result.request.head = platform::readRequestHead( parser.get() );
    log::info( "body_without_room",
               { { "id", result.request.head.requestId },
                 { "body_bytes", static_cast<std::int64_t>( bytes ) },
                 { "held_bytes", static_cast<std::int64_t>( room.heldBytes() ) },
                 { "limit", static_cast<std::int64_t>( room.limits().totalBytes ) },
                 { "retry_after_ms", result.retryAfter.count() } } );
}

net::Task<ReadResult> readRequest( net::Socket& socket, boost::beast::flat_buffer& buf,
                                   const ClientLimits& limits, const SharedState& shared ) {
    ReadResult out;
    const auto arrived = MonoClock::now();
    RequestParser parser;
    parser.header_limit( limits.headerBytes );
    parser.body_limit( limits.bodyBytes );
    net::ErrorCode failure;
    {
        net::SocketDeadline deadline( socket, arrived + limits.headerTime,
                                      net::DeadlineAction::cancel );
        auto [ec, n] = co_await http::async_read_header( socket, buf, parser, net::tupled );
        failure = ec;
        out.bytes += n;
        if( deadline.expired() ) {
            out.refusal = statusRequestTimeout;
            co_return out;
        }
    }
    std::optional<KeyDigest> key;
    if( !failure ) {
        key = platform::readClientKey( parser.get() );
        if( !parser.is_done() && deniedByHead( shared, parser.get(), key ) ) {
            out.refusal = statusUnauthorized;
            out.request.head = platform::readRequestHead( parser.get() );
            co_return out;
        }
    }
    const auto held = std::make_shared<HeldBody>( shared.bodies );
    const auto length = failure ? 0 : parser.content_length().value_or( 0 );
    if( length > 0 ) {
        const auto* route = routeOf( shared, parser.get() );
        // A body that waits longer would be answered late.
        const auto until = MonoClock::now() + ( route != nullptr ? route->goal : Millis{ 0 } );
        const bool hasRoom = co_await held->reservation.reserve( shared.context, length, until );
        if( !hasRoom ) {
            refuseForRoom( out, parser, length, shared );
            co_return out;
        }
    }
    const bool expects = !failure && parser.get().find( http::field::expect ) != parser.get().end();
    if( expects && !parser.is_done() ) {
        static constexpr std::string_view continueHead = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto bytes = net::asio::buffer( continueHead );
        co_await net::asio::async_write( socket, bytes, net::tupled );
    }
    if( !failure && !parser.is_done() ) {
        net::SocketDeadline deadline( socket, arrived + limits.headerTime + limits.idleTime );
        const auto read = co_await readBody( socket, buf, parser, held->reservation );
        failure = read.ec;
        out.bytes += read.bytes;
        if( !read.hasRoom ) {
            refuseForRoom( out, parser, parser.get().body().size(), shared );
            co_return out;
        }
    }
    if( failure ) {
        const bool malformed =
            failure.category() == http::make_error_code( http::error::bad_method ).category() &&
            failure != http::error::end_of_stream && failure != http::error::partial_message;
        out.refusal = malformed ? statusOf( failure ) : 0;
        out.refusalCause = failure.message();
        out.closed = !malformed;
        if( parser.is_header_done() ) {
            out.request.head = platform::readRequestHead( parser.get() );
        }
        co_return out;
    }
    out.closed = false;
    out.keepAlive = parser.get().keep_alive();
    auto& message = parser.get();
    out.request.method = std::string( message.method_string() );
    out.request.target = std::string( message.target() );
    held->bytes = std::move( message.body() );
    out.request.body = std::shared_ptr<const std::string>( held, &held->bytes );
    out.request.fields = std::move( message.base() );
    const auto removed = platform::removeSystemHeaders( out.request.fields );
    out.request.head = platform::readRequestHead( out.request.fields );
    out.request.head.key = key;
    out.request.arrived = arrived;
    if( removed > 0 ) {
        log::info( "headers_removed", { { "id", out.request.head.requestId },
                                        { "count", static_cast<std::int64_t>( removed ) } } );
    }
    co_return out;
}

} // namespace

net::Task<> serveClient( net::Socket socket, SharedState& shared ) {
    net::configureSocket( socket, clientUnackedTimeout );
    net::limitUnsent( socket, maxUnsentBytes );
    net::ErrorCode nonBlockingError;
    socket.non_blocking( true, nonBlockingError );
    if( nonBlockingError ) {
        log::warn( "client_dropped", { { "detail", nonBlockingError.message() } } );
        co_return;
    }
    net::ReadBuffer buf;
    for( ;; ) {
        const auto limits = limitsOf( shared );
        buf.setHeadLimit( limits.headerBytes );
        shared.idleClients.insert( &socket );
        const bool hasRequest = co_await waitForRequest( socket, buf, limits.idleTime );
        shared.idleClients.erase( &socket );
        if( !hasRequest ) {
            co_return;
        }
        auto got = co_await readRequest( socket, buf, limits, shared );
        shared.linkUse.noteReceived( got.bytes );
        if( got.refusal != 0 ) {
            log::info( "request_refused", { { "id", got.request.head.requestId },
                                            { "status", static_cast<std::int64_t>( got.refusal ) },
                                            { "why", got.refusalCause } } );
            shared.metrics.count( "own_answers", std::to_string( got.refusal ) );
            co_await refuse( socket, got.refusal, got.retryAfter );
            co_return;
        }
        if( got.closed ) {
            co_return;
        }
        const auto client = std::make_shared<ClientConnection>( socket );
        watchClient( client );
        bool keepAlive = got.keepAlive && !shared.draining;
        {
            auto request = std::move( got.request );
            Exchange exchange( shared, std::move( request ), client, keepAlive );
            const auto result = co_await exchange.run();
            keepAlive = keepAlive && result.keepAlive && !client->disconnected && !client->broken &&
                        !shared.draining;
        }
        client->done = true;
        net::ErrorCode ec;
        if( socket.is_open() ) {
            socket.cancel( ec );
        }
        if( !keepAlive ) {
            if( socket.is_open() ) {
                socket.shutdown( net::Socket::shutdown_send, ec );
            }
            co_return;
        }
    }
}

} // namespace coursehead::gateway
