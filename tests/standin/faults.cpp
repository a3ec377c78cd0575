// SPDX-License-Identifier: BSL-1.0
#include "standin.hpp"

namespace standin {

using coursehead::http::Request;
using coursehead::http::Response;

void Faults::set( Json faults ) {
    const std::lock_guard lock( m_mutex );
    m_faults = std::move( faults );
}

Json Faults::all() const {
    const std::lock_guard lock( m_mutex );
    return m_faults;
}

bool Faults::isOn( const char* name ) const {
    const std::lock_guard lock( m_mutex );
    return m_faults.value( name, false );
}

std::int64_t Faults::number( const char* name ) const {
    const std::lock_guard lock( m_mutex );
    return m_faults.value( name, std::int64_t{ 0 } );
}

bool Faults::consume( const char* name ) {
    const std::lock_guard lock( m_mutex );
    const auto left = m_faults.value( name, std::int64_t{ 0 } );
    if( left <= 0 ) {
        return false;
    }
    m_faults[name] = left - 1;
    return true;
}

Handler withFaults( std::shared_ptr<Faults> faults, Handler handler ) {
    return
        [faults = std::move( faults ), handler = std::move( handler )]( const Request& request ) {
            if( request.path != "/faults" ) {
                return handler( request );
            }
            if( request.method == "PUT" ) {
                auto body = Json::parse( request.body, nullptr, false );
                if( !body.is_object() ) {
                    return reply( 400, { { "error", "expected a JSON object" } } );
                }
                faults->set( std::move( body ) );
            }
            return reply( 200, faults->all() );
        };
}

Response reply( int status, const Json& body ) {
    Response out;
    out.status = status;
    out.body = body.dump();
    return out;
}

Response cutResponse() {
    Response out;
    out.producer = []( const coursehead::http::Sink& ) {
        return false;
    };
    return out;
}

std::string option( const Options& options, std::string_view name, std::string_view fallback ) {
    const auto it = options.find( name );
    return it == options.end() ? std::string( fallback ) : it->second;
}

std::int64_t numberOption( const Options& options, std::string_view name, std::int64_t fallback ) {
    const auto it = options.find( name );
    return it == options.end() ? fallback : std::stoll( it->second );
}

} // namespace standin
