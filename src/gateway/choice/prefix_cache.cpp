// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/prefix_cache.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

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

std::int64_t PrefixCache::cachedTokens( std::span<const std::uint64_t> keys,
                                        const Generation& generation ) const {
    return cachedPrefix( keys, generation ).tokens;
}

PrefixCache::CachedPrefix PrefixCache::cachedPrefix( std::span<const std::uint64_t> keys,
                                                     const Generation& generation ) const {
    CachedPrefix out;
    for( std::size_t n = 0; n < keys.size(); ++n ) {
        const auto found = m_index.find( keys[n] );
        if( found == m_index.end() ) {
            break;
        }
        out.tokens += generation.parts[n].tokens;
        out.sentAt = std::max( out.sentAt, found->second->sentAt );
    }
    return out;
}

void PrefixCache::insert( std::span<const std::uint64_t> keys, const Generation& generation,
                          MonoTime now ) {
    // Last part first, so that earlier parts are more recently used and are evicted after later
    // ones.
    for( std::size_t n = keys.size(); n-- > 0; ) {
        touch( keys[n], generation.parts[n].tokens, generation.model, now );
    }
    trim();
}

void PrefixCache::touch( std::uint64_t key, std::int64_t tokens, const std::string& model,
                         MonoTime now ) {
    const auto found = m_index.find( key );
    if( found != m_index.end() ) {
        m_order.splice( m_order.begin(), m_order, found->second );
        return;
    }
    m_order.push_front( { key, tokens, model, now } );
    m_index.emplace( key, m_order.begin() );
    m_used += tokens;
}

void PrefixCache::insertPart( std::uint64_t key, std::int64_t tokens, const std::string& model,
                              MonoTime now ) {
    touch( key, tokens, model, now );
    trim();
}

void PrefixCache::dropModel( std::string_view model ) {
    for( auto it = m_order.begin(); it != m_order.end(); ) {
        if( it->model != model ) {
            ++it;
            continue;
        }
        m_used -= it->tokens;
        m_index.erase( it->key );
        it = m_order.erase( it );
    }
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
