// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/frame.hpp"

namespace coursehead::peer {

namespace {

//! Largest buffer that a reader keeps between frames. Large frames are rare, so a larger buffer
//! is freed.
constexpr std::size_t maxIdleBufferBytes = 1U << 10U;

std::size_t readLength( std::string_view bytes ) {
    std::size_t n = 0;
    for( std::size_t it = 0; it < frameHeaderBytes; ++it ) {
        n = ( n << 8U ) | static_cast<unsigned char>( bytes[it] );
    }
    return n;
}

} // namespace

void appendFrame( std::string& out, std::string_view message ) {
    const auto n = static_cast<std::uint32_t>( message.size() );
    for( int shift = 24; shift >= 0; shift -= 8 ) {
        out.push_back( static_cast<char>( ( n >> static_cast<unsigned>( shift ) ) & 0xFFU ) );
    }
    out.append( message );
}

bool FrameReader::feed( std::string_view bytes, std::vector<std::string>& frames ) {
    if( m_failed ) {
        return false;
    }
    m_partial.append( bytes );
    std::size_t at = 0;
    while( m_partial.size() - at >= frameHeaderBytes ) {
        const auto n = readLength( std::string_view( m_partial ).substr( at ) );
        if( n > maxFrameBytes ) {
            m_failed = true;
            return false;
        }
        if( m_partial.size() - at - frameHeaderBytes < n ) {
            break;
        }
        frames.emplace_back( m_partial, at + frameHeaderBytes, n );
        at += frameHeaderBytes + n;
    }
    m_partial.erase( 0, at );
    if( m_partial.empty() && m_partial.capacity() > maxIdleBufferBytes ) {
        std::string().swap( m_partial );
    }
    return true;
}

} // namespace coursehead::peer
