// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_PREFIX_CACHE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_PREFIX_CACHE_HPP_INCLUDED

#include "gateway/model.hpp"

#include <list>
#include <span>
#include <unordered_map>

namespace coursehead::gateway {

//! Keys of a prompt's parts. Each key identifies the model, the adapter and all parts up to and
//! including its own.
std::vector<std::uint64_t> prefixKeys( const Generation& generation );

/**
 * The prompt prefixes that an engine probably has cached, derived from the prompts sent to it. The
 * least recently used parts are evicted first, as in the engine.
 */
class PrefixCache {
public:
    //! `capacity` in tokens.
    explicit PrefixCache( std::int64_t capacity ) : m_capacity( capacity ) {}

    void setCapacity( std::int64_t tokens );
    //! Tokens of the prompt that the engine has cached and need not read again.
    std::int64_t cachedTokens( std::span<const std::uint64_t> keys,
                               const Generation& generation ) const;
    //! Leading parts of a prompt that the engine has cached.
    struct CachedPrefix {
        std::int64_t tokens = 0;
        MonoTime sentAt; //!< when the last of them was sent to the engine
    };
    CachedPrefix cachedPrefix( std::span<const std::uint64_t> keys,
                               const Generation& generation ) const;
    //! Records that the engine was sent the prompt at `now`.
    void insert( std::span<const std::uint64_t> keys, const Generation& generation,
                 MonoTime now = {} );
    //! Records that the engine was sent one part and all parts before it.
    void insertPart( std::uint64_t key, std::int64_t tokens, const std::string& model,
                     MonoTime now = {} );
    //! Removes all parts of a model, which was unloaded.
    void dropModel( std::string_view model );
    void clear();

private:
    struct Entry {
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
        std::string model;
        MonoTime sentAt; //!< when it was first sent; an engine reads a part once
    };
    void touch( std::uint64_t key, std::int64_t tokens, const std::string& model, MonoTime now );
    void trim();

    std::int64_t m_capacity;
    std::int64_t m_used = 0;
    std::list<Entry> m_order; //!< most recently used first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_PREFIX_CACHE_HPP_INCLUDED
