// SPDX-License-Identifier: BSL-1.0
#include "coursehead/claims/key.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace coursehead::claims {

namespace {

constexpr std::size_t keyLength = 36;
constexpr std::array<std::size_t, 4> dashPositions{ 8, 13, 18, 23 };
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;
constexpr std::size_t timeDigits = 12;

bool isDash( std::size_t n ) {
    return std::find( dashPositions.begin(), dashPositions.end(), n ) != dashPositions.end();
}

std::int64_t hexValue( char c ) {
    constexpr int ten = 10;
    return c <= '9' ? c - '0' : std::tolower( static_cast<unsigned char>( c ) ) - 'a' + ten;
}

bool isKey( std::string_view key ) {
    if( key.size() != keyLength || key[versionPosition] != '7' ) {
        return false;
    }
    for( std::size_t n = 0; n < key.size(); ++n ) {
        const bool valid = isDash( n ) ? key[n] == '-'
                                       : std::isxdigit( static_cast<unsigned char>( key[n] ) ) != 0;
        if( !valid ) {
            return false;
        }
    }
    constexpr std::int64_t variantLow = 8;
    constexpr std::int64_t variantHigh = 11;
    const auto variant = hexValue( key[variantPosition] );
    return variant >= variantLow && variant <= variantHigh;
}

std::string lower( std::string_view text ) {
    std::string out( text );
    std::transform( out.begin(), out.end(), out.begin(),
                    []( unsigned char c ) { return static_cast<char>( std::tolower( c ) ); } );
    return out;
}

} // namespace

std::optional<WallMillis> keyTime( std::string_view key ) {
    if( !isKey( key ) ) {
        return std::nullopt;
    }
    constexpr std::int64_t radix = 16;
    std::int64_t out = 0;
    std::size_t digitsRead = 0;
    for( std::size_t n = 0; digitsRead < timeDigits; ++n ) {
        if( !isDash( n ) ) {
            out = out * radix + hexValue( key[n] );
            ++digitsRead;
        }
    }
    return out;
}

std::uint32_t slotOf( std::string_view key ) {
    // Callers may write the same UUID in upper or lower case.
    return static_cast<std::uint32_t>( hash64( lower( key ) ) % slotCount );
}

std::string_view ownerOf( const config::State& state, std::uint32_t slot ) {
    for( const auto& it : state.slots ) {
        if( it.slot == slot ) {
            return it.vm;
        }
    }
    return {};
}

std::string makeKey( WallMillis now, RandomSource& random ) {
    static constexpr std::string_view variants = "89ab";
    static constexpr std::string_view alphabet = "0123456789abcdef";
    constexpr unsigned nibble = 4;
    std::string digits( timeDigits, '0' );
    for( std::size_t n = 0; n < timeDigits; ++n ) {
        const auto shift = nibble * static_cast<unsigned>( timeDigits - 1 - n );
        digits[n] = alphabet[( static_cast<std::uint64_t>( now ) >> shift ) & 0xFU];
    }
    return digits.substr( 0, 8 ) + "-" + digits.substr( 8 ) + "-7" + random.hex( 3 ) + "-" +
           variants[random.below( variants.size() )] + random.hex( 3 ) + "-" + random.hex( 12 );
}

std::string fingerprint( std::string_view method, std::string_view path, std::string_view body ) {
    std::string all( method );
    all += ' ';
    all += path;
    all += '\n';
    all += body;
    return hashText( all );
}

} // namespace coursehead::claims
