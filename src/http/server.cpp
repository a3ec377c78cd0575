// SPDX-License-Identifier: BSL-1.0
#include "coursehead/http/server.hpp"

#include "coursehead/kernel/elastic_pool.hpp"

#include <httplib.h>

#include <strings.h>

#include <thread>

namespace coursehead::http {

bool HeaderLess::operator()( std::string_view a, std::string_view b ) const noexcept {
    const int order = strncasecmp( a.data(), b.data(), std::min( a.size(), b.size() ) );
    return order != 0 ? order < 0 : a.size() < b.size();
}

std::string_view Request::header( std::string_view name, std::string_view fallback ) const {
    const auto it = headers.find( name );
    return it == headers.end() ? fallback : std::string_view( it->second );
}

std::string_view Request::parameter( std::string_view name, std::string_view fallback ) const {
    const auto it = query.find( name );
    return it == query.end() ? fallback : std::string_view( it->second );
}

namespace {

/**
 * Gives each connection its own thread while it is busy. cpp-httplib's own pool has a fixed size,
 * which either wastes stacks or makes connections wait. Known limitation: connections beyond the
 * pool's limit wait in its queue, because the library does not pass the socket on which they could
 * be refused.
 */
class ElasticQueue : public httplib::TaskQueue {
public:
    explicit ElasticQueue( std::size_t limit ) : m_pool( limit ) {}
    void enqueue( std::function<void()> task ) override { m_pool.run( std::move( task ) ); }
    void shutdown() override { m_pool.shutdown(); }

private:
    ElasticPool m_pool;
};

constexpr int listenBacklog = 1024;

Request convert( const httplib::Request& from ) {
    Request out;
    out.method = from.method;
    out.path = from.path;
    out.query.insert( from.params.begin(), from.params.end() );
    out.headers.insert( from.headers.begin(), from.headers.end() );
    out.body = from.body;
    return out;
}

void streamBody( httplib::Response& to, const std::string& type, Producer producer ) {
    auto provider = [producer = std::move( producer )]( std::size_t, httplib::DataSink& sink ) {
        const Sink write = [&sink]( std::string_view bytes ) {
            return sink.is_writable() && sink.write( bytes.data(), bytes.size() );
        };
        if( !producer( write ) ) {
            return false;
        }
        sink.done();
        return true;
    };
    to.set_chunked_content_provider( type, std::move( provider ) );
}

void convert( Response from, httplib::Response& to ) {
    to.status = from.status;
    for( const auto& [name, value] : from.headers ) {
        to.set_header( name, value );
    }
    if( from.producer ) {
        streamBody( to, from.contentType, std::move( from.producer ) );
        return;
    }
    to.set_content( from.body, from.contentType );
}

} // namespace

struct Server::Impl {
    httplib::Server server;
    int listenFd = -1;
    std::thread thread;
};

Server::Server( ServerLimits limits, Handler handler, ErrorResponder errorResponder )
    : m_impl( std::make_unique<Impl>() ) {
    auto& server = m_impl->server;
    server.new_task_queue = [limits] {
        return new ElasticQueue( limits.threads );
    };
    server.set_payload_max_length( limits.bodyBytes );
    server.set_keep_alive_timeout( limits.idleSeconds );
    server.set_read_timeout( limits.readSeconds );
    server.set_write_timeout( limits.writeSeconds );
    server.set_tcp_nodelay( true );
    server.set_socket_options( [impl = m_impl.get()]( socket_t fd ) {
        const int on = 1;
        ::setsockopt( fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof( on ) );
        impl->listenFd = fd;
    } );
    const auto route = [handler = std::move( handler )]( const httplib::Request& from,
                                                         httplib::Response& to ) {
        convert( handler( convert( from ) ), to );
    };
    const std::string anyPath = ".*";
    server.Get( anyPath, route );
    server.Post( anyPath, route );
    server.Put( anyPath, route );
    server.Delete( anyPath, route );
    const httplib::Server::Handler onError = [errorResponder = std::move( errorResponder )](
                                                 const httplib::Request&, httplib::Response& to ) {
        if( to.body.empty() && !to.content_provider_ ) {
            convert( errorResponder( to.status ), to );
        }
    };
    server.set_error_handler( onError );
}

Server::~Server() {
    stop();
}

int Server::start( const std::string& host, int port ) {
    auto& server = m_impl->server;
    const int bound = port == 0 ? server.bind_to_any_port( host )
                                : ( server.bind_to_port( host, port ) ? port : -1 );
    if( bound < 0 ) {
        return -1;
    }
    // The library listens with a backlog of 5, so that in a burst of connections some would wait
    // for a resent SYN.
    ::listen( m_impl->listenFd, listenBacklog );
    m_impl->thread = std::thread( [&server] { server.listen_after_bind(); } );
    while( !server.is_running() ) {
        std::this_thread::yield();
    }
    return bound;
}

void Server::stop() {
    m_impl->server.stop();
    if( m_impl->thread.joinable() ) {
        m_impl->thread.join();
    }
}

} // namespace coursehead::http
