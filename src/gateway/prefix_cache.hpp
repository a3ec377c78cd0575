// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_PREFIX_CACHE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_PREFIX_CACHE_HPP_INCLUDED

#include "gateway/model.hpp"

#include <list>
#include <span>
#include <unordered_map>

namespace coursehead::gateway {

//! Keys of a prompt's parts: each stands for the model, the adapter and all parts up to it.
std::vector<std::uint64_t> prefixKeys( const Generation& generation );

/**
 * Which prompt prefixes an engine probably keeps, learnt from what was sent to it. The parts
 * unused longest give way first, as in the engine.
 */
class PrefixCache {
public:
    //! `capacity` in tokens.
    explicit PrefixCache( std::int64_t capacity ) : m_capacity( capacity ) {}

    void setCapacity( std::int64_t tokens );
    //! Tokens of the prompt that need not be read again.
    std::int64_t cachedTokens( std::span<const std::uint64_t> keys,
                               const Generation& generation ) const;
    //! Records that the prompt was read there.
    void insert( std::span<const std::uint64_t> keys, const Generation& generation );
    //! Records that one part was read there, with all before it.
    void insertPart( std::uint64_t key, std::int64_t tokens, const std::string& model );
    //! Forgets what was kept for a model: it was unloaded.
    void dropModel( std::string_view model );
    void clear();

private:
    struct Entry {
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
        std::string model;
    };
    void touch( std::uint64_t key, std::int64_t tokens, const std::string& model );
    void trim();

    std::int64_t m_capacity;
    std::int64_t m_used = 0;
    std::list<Entry> m_order; //!< most recently used first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_PREFIX_CACHE_HPP_INCLUDED
