// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ORIGIN_TABLE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ORIGIN_TABLE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/stream_origin.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace coursehead::decide {

//! Origins are kept at most this long, whatever deadline a client states.
inline constexpr Millis maxOriginTime{ 600000 };

//! The origins of streams that one process keeps, each until the deadline of the stream's client.
class OriginTable {
public:
    //! Further origins are not kept while the table is full.
    explicit OriginTable( std::size_t maxSize = 100'000 ) : m_maxSize( maxSize ) {}

    //! False if the origin is not kept.
    bool put( const StreamOrigin& origin, MonoTime now );
    //! Where the stream began; nullopt: not known, or statements contradict each
    //! other.
    std::optional<StreamVersion> find( StreamKey key, MonoTime now ) const;
    //! All origins that have not expired.
    std::vector<StreamOrigin> all( MonoTime now ) const;
    void removeExpired( MonoTime now );
    std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Entry {
        StreamVersion began;
        MonoTime expires;
        bool contradicted = false;
    };

    std::size_t m_maxSize;
    std::unordered_map<StreamKey, Entry> m_entries;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ORIGIN_TABLE_HPP_INCLUDED
