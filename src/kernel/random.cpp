// SPDX-License-Identifier: BSL-1.0
#include "coursehead/kernel/random.hpp"

namespace coursehead {

std::uint64_t RandomSource::below( std::uint64_t bound ) {
    if( bound == 0 ) {
        return 0;
    }
    const std::lock_guard lock( m_mutex );
    return std::uniform_int_distribution<std::uint64_t>( 0, bound - 1 )( m_engine );
}

double RandomSource::unit() {
    const std::lock_guard lock( m_mutex );
    return std::uniform_real_distribution<double>( 0.0, 1.0 )( m_engine );
}

std::string RandomSource::hex( std::size_t digits ) {
    static constexpr std::string_view alphabet = "0123456789abcdef";
    std::string out;
    out.reserve( digits );
    for( std::size_t n = 0; n < digits; ++n ) {
        out.push_back( alphabet[below( alphabet.size() )] );
    }
    return out;
}

std::uint64_t systemSeed() {
    std::random_device device;
    return ( static_cast<std::uint64_t>( device() ) << 32U ) ^ device();
}

} // namespace coursehead
