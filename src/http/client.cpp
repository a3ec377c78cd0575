// SPDX-License-Identifier: BSL-1.0
#include "coursehead/http/client.hpp"

#include "coursehead/kernel/settings.hpp"

#include <httplib.h>

namespace coursehead::http {

struct Client::Impl {
    explicit Impl( const settings::HostPort& hostPort ) : client( hostPort.host, hostPort.port ) {}
    httplib::Client client;
};

namespace {

httplib::Request convert( const Request& from ) {
    httplib::Request out;
    out.method = from.method;
    out.path = from.path;
    if( !from.query.empty() ) {
        httplib::Params params( from.query.begin(), from.query.end() );
        out.path = httplib::append_query_params( from.path, params );
    }
    out.headers.insert( from.headers.begin(), from.headers.end() );
    out.body = from.body;
    if( !from.body.empty() && !out.has_header( "Content-Type" ) ) {
        out.set_header( "Content-Type", "application/json" );
    }
    return out;
}

Failure classify( httplib::Error error ) {
    switch( error ) {
    case httplib::Error::Success:
        return Failure::none;
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return Failure::notSent;
    default:
        return Failure::broken;
    }
}

Outcome convert( httplib::Result result ) {
    Outcome out;
    out.failure = classify( result.error() );
    out.detail = httplib::to_string( result.error() );
    if( !result ) {
        return out;
    }
    out.response.status = result->status;
    out.response.headers.insert( result->headers.begin(), result->headers.end() );
    out.response.contentType = result->get_header_value( "Content-Type" );
    out.response.body = std::move( result->body );
    return out;
}

} // namespace

Client::Client( std::string_view address, Timeouts timeouts )
    : m_impl( std::make_unique<Impl>( settings::splitAddress( address ) ) ) {
    auto& client = m_impl->client;
    client.set_connection_timeout( timeouts.connect );
    client.set_read_timeout( timeouts.read );
    client.set_write_timeout( timeouts.read );
    client.set_keep_alive( true );
    client.set_tcp_nodelay( true );
}

Client::~Client() = default;
Client::Client( Client&& ) noexcept = default;
Client& Client::operator=( Client&& ) noexcept = default;

Outcome Client::call( const Request& request ) {
    return convert( m_impl->client.send( convert( request ) ) );
}

Outcome Client::stream( const Request& request, const Receiver& receiver ) {
    auto req = convert( request );
    int status = 0;
    req.response_handler = [&status]( const httplib::Response& response ) {
        status = response.status;
        return true;
    };
    req.content_receiver = [&]( const char* data, std::size_t n, std::uint64_t, std::uint64_t ) {
        return receiver( status, { data, n } );
    };
    return convert( m_impl->client.send( req ) );
}

void Client::abort() {
    m_impl->client.stop();
}

} // namespace coursehead::http
