// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_LATEST_START_QUEUE_HPP_INCLUDED
#define COURSEHEAD_REPLAY_LATEST_START_QUEUE_HPP_INCLUDED

#include "decide/reading_queue.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

namespace coursehead::replay {

//! The rule for prompts of one rank, as a reference: latest start first; a prompt that can't start
//! in time, or that would make an accepted one late, is refused. Without a gap target.
class LatestStartQueue {
public:
    bool ask( const decide::ReadingRequest& request, MonoTime now ) {
        auto order = m_waiting;
        const bool inTimeBefore = allInTime( order, now );
        const auto later = []( const auto& a, const auto& b ) {
            return a.startBy < b.startBy;
        };
        const auto at = std::upper_bound( order.begin(), order.end(), request, later );
        const auto position = at - order.begin();
        order.insert( at, request );
        const auto start = startOf( order, static_cast<std::size_t>( position ), now );
        if( start > request.startBy || ( inTimeBefore && !allInTime( order, now ) ) ) {
            return false;
        }
        m_waiting = order;
        return true;
    }

    std::optional<std::uint64_t> takeNext( MonoTime now ) {
        constexpr Millis sendAhead{ 15 };
        if( m_waiting.empty() || std::max( now, m_freeAt ) - sendAhead > now ) {
            return std::nullopt;
        }
        const auto out = m_waiting.front();
        m_waiting.erase( m_waiting.begin() );
        m_freeAt = std::max( now, m_freeAt ) + lengthOf( out );
        return out.key;
    }

private:
    using Prompts = std::vector<decide::ReadingRequest>;

    static MonoTime::duration lengthOf( const decide::ReadingRequest& request ) {
        const std::chrono::duration<double, std::milli> work( request.workMs );
        return std::chrono::duration_cast<MonoTime::duration>( work );
    }
    MonoTime startOf( const Prompts& order, std::size_t position, MonoTime now ) const {
        auto out = std::max( now, m_freeAt );
        for( std::size_t n = 0; n < position; ++n ) {
            out += lengthOf( order[n] );
        }
        return out;
    }
    bool allInTime( const Prompts& order, MonoTime now ) const {
        for( std::size_t n = 0; n < order.size(); ++n ) {
            if( startOf( order, n, now ) > order[n].startBy ) {
                return false;
            }
        }
        return true;
    }

    Prompts m_waiting;
    MonoTime m_freeAt;
};

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_LATEST_START_QUEUE_HPP_INCLUDED
