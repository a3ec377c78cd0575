// SPDX-License-Identifier: BSL-1.0
#include "coursehead/operator/language.hpp"

#include <cstddef>
#include <cstdint>

// libFuzzer target: parses an operator's text. The position of a parse error must lie within the
// text.
extern "C" int LLVMFuzzerTestOneInput( const std::uint8_t* data, std::size_t size ) {
    const std::string_view text( reinterpret_cast<const char*>( data ), size );
    const auto parsed = coursehead::op::parse( text );
    if( !parsed.ok && ( parsed.error.line == 0 || parsed.error.column > size + 1 ) ) {
        __builtin_trap();
    }
    return 0;
}
