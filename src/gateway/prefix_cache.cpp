// SPDX-License-Identifier: BSL-1.0
#include "gateway/prefix_cache.hpp"

#include "kernel/hash.hpp"

namespace coursehead::gateway {

std::vector<std::uint64_t> prefixKeys( const Generation& generation ) {
    std::vector<std::uint64_t> out;
    std::uint64_t key = hash64( generation.model, generation.adapter );
    for( const auto& it : generation.parts ) {
        key = hash64( std::to_string( key ), std::to_string( it.id ) );
        out.push_back( key );
    }
    return out;
}

void PrefixCache::setCapacity( std::int64_t tokens ) {
    m_capacity = tokens;
    trim();
}

std::int64_t PrefixCache::kept( std::span<const std::uint64_t> keys,
                                const Generation& generation ) const {
    std::int64_t out = 0;
    for( std::size_t n = 0; n < keys.size(); ++n ) {
        if( !m_index.contains( keys[n] ) ) {
            break;
        }
        out += generation.parts[n].tokens;
    }
    return out;
}

void PrefixCache::insert( std::span<const std::uint64_t> keys, const Generation& generation ) {
    // Last part first, so that a prompt's earlier parts count as used later and outlive it.
    for( std::size_t n = keys.size(); n-- > 0; ) {
        const auto found = m_index.find( keys[n] );
        if( found != m_index.end() ) {
            m_order.splice( m_order.begin(), m_order, found->second );
            continue;
        }
        m_order.push_front( { keys[n], generation.parts[n].tokens } );
        m_index.emplace( keys[n], m_order.begin() );
        m_used += generation.parts[n].tokens;
    }
    trim();
}

void PrefixCache::clear() {
    m_order.clear();
    m_index.clear();
    m_used = 0;
}

void PrefixCache::trim() {
    while( m_used > m_capacity && !m_order.empty() ) {
        m_used -= m_order.back().tokens;
        m_index.erase( m_order.back().key );
        m_order.pop_back();
    }
}

} // namespace coursehead::gateway
