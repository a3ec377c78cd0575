// SPDX-License-Identifier: BSL-1.0
#include "sidecar/sent_parts.hpp"

namespace coursehead::sidecar {

namespace {

//! Number of parts that are kept. An engine caches some 250,000 tokens, and a shared part has some
//! hundred to some thousand.
constexpr std::size_t maxParts = 400;

} // namespace

void SentParts::add( std::span<const gateway::SentPart> parts ) {
    for( const auto& it : parts ) {
        const auto found = m_index.find( it.key );
        if( found != m_index.end() ) {
            found->second->published = false;
            m_entries.splice( m_entries.end(), m_entries, found->second );
            continue;
        }
        m_entries.push_back( { it, false } );
        m_index.emplace( it.key, std::prev( m_entries.end() ) );
    }
    while( m_entries.size() > maxParts ) {
        m_index.erase( m_entries.front().part.key );
        m_entries.pop_front();
    }
}

std::vector<gateway::SentPart> SentParts::takeUnpublished() {
    std::vector<gateway::SentPart> out;
    for( auto& it : m_entries ) {
        if( !it.published ) {
            it.published = true;
            out.push_back( it.part );
        }
    }
    return out;
}

std::vector<gateway::SentPart> SentParts::all() const {
    std::vector<gateway::SentPart> out;
    for( const auto& it : m_entries ) {
        out.push_back( it.part );
    }
    return out;
}

void SentParts::clear() {
    m_entries.clear();
    m_index.clear();
}

} // namespace coursehead::sidecar
