// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/frame.hpp"
#include "coursehead/peer/messages.hpp"

#include <cstddef>
#include <cstdint>

// libFuzzer target: splits bytes from a peer into frames and decodes them. A decoded message must
// decode again after it is encoded.
extern "C" int LLVMFuzzerTestOneInput( const std::uint8_t* data, std::size_t size ) {
    const std::string_view bytes( reinterpret_cast<const char*>( data ), size );
    coursehead::peer::FrameReader reader;
    std::vector<std::string> frames;
    reader.feed( bytes, frames );
    frames.emplace_back( bytes );
    for( const auto& it : frames ) {
        const auto decoded = coursehead::peer::decode( it );
        if( decoded.ok && !coursehead::peer::decode( encode( decoded.message ) ).ok ) {
            __builtin_trap();
        }
    }
    return 0;
}
