// SPDX-License-Identifier: BSL-1.0
#include "platform/store_wire.hpp"
#include "platform/wire.hpp"

#include <cstddef>
#include <cstdint>

// libFuzzer target: reads responses of the store with arbitrary content. No content may end the
// process, and the values read must be within their bounds.
extern "C" int LLVMFuzzerTestOneInput( const std::uint8_t* data, std::size_t size ) {
    using namespace coursehead;
    const std::string_view text( reinterpret_cast<const char*>( data ), size );
    std::string problem;
    const auto checkObject = [&]( const platform::StoreObject& object ) {
        const auto upstream = platform::readUpstream( object.name, object.spec, problem );
        const auto quarantine = platform::readQuarantine( object, 0, problem );
        const bool valid = ( !upstream || ( upstream->slots > 0 && upstream->port > 0 ) ) &&
                           ( !quarantine || quarantine->times > 0 );
        if( !valid ) {
            __builtin_trap();
        }
    };
    if( const auto page = platform::readPage( text ) ) {
        for( const auto& it : page->objects ) {
            checkObject( it );
        }
    }
    if( const auto events = platform::readEvents( text ) ) {
        for( const auto& it : events->events ) {
            checkObject( it.object );
        }
    }
    platform::StoreObject object;
    object.name = "u";
    object.spec = std::string( text );
    checkObject( object );
    return 0;
}
