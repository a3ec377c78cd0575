// SPDX-License-Identifier: BSL-1.0
#include "platform/headers.hpp"

#include <cmath>
#include <cstddef>
#include <cstdint>

// libFuzzer target: lines of a client's head. Whatever they say, a send shows an upstream neither
// the key nor an organisation that the client claims. Read as an answer's head, a limit is a
// number.
extern "C" int LLVMFuzzerTestOneInput( const std::uint8_t* data, std::size_t size ) {
    using namespace coursehead;
    std::string_view rest( reinterpret_cast<const char*>( data ), size );
    platform::http::fields fields;
    constexpr std::size_t mostLines = 64;
    for( std::size_t n = 0; n < mostLines && !rest.empty(); ++n ) {
        const auto line = rest.substr( 0, rest.find( '\n' ) );
        rest.remove_prefix( std::min( rest.size(), line.size() + 1 ) );
        const auto colon = line.find( ':' );
        if( colon == 0 || colon == std::string_view::npos ) {
            continue;
        }
        fields.insert( line.substr( 0, colon ), line.substr( colon + 1 ) );
    }
    const auto key = platform::readClientKey( fields );
    if( key && fields.count( platform::http::field::authorization ) != 1 ) {
        __builtin_trap();
    }
    static_cast<void>( platform::readRequestHead( fields ) );
    const auto said = platform::readResponseHead( 200, fields ).announcement;
    if( said.limit == decide::LimitAnnouncement::named &&
        !( std::isfinite( said.limitPerS ) && said.limitPerS >= 0 ) ) {
        __builtin_trap();
    }
    platform::removeSystemHeaders( fields );
    platform::SendHead head;
    head.keyed = true;
    head.organisation = "one";
    const auto own = platform::makeSendHeaders( head, fields );
    const bool hidden = fields.count( platform::http::field::authorization ) == 0 &&
                        fields.count( "X-Tenant" ) == 0 && own.count( "X-Tenant" ) == 1;
    if( !hidden ) {
        __builtin_trap();
    }
    return 0;
}
