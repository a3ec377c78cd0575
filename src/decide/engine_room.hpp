// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ENGINE_ROOM_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ENGINE_ROOM_HPP_INCLUDED

#include <cstdint>

namespace coursehead::decide {

//! What one request takes of an engine while it runs.
struct RoomNeed {
    std::int64_t ownTokens = 0;    //!< prompt tokens that no other request shares
    std::int64_t sharedTokens = 0; //!< prompt tokens of parts that other requests share
    std::int64_t answerTokens = 0; //!< that it may generate
};

//! Free room of an engine: by its last report, less what was admitted since.
struct FreeRoom {
    int places = -1;          //!< requests that can start now; negative: unknown
    std::int64_t tokens = -1; //!< cache tokens not taken by requests; negative: unknown

    //! False only if the room is known and does not suffice.
    bool fits( const RoomNeed& need ) const {
        const auto needed = need.ownTokens + need.sharedTokens + need.answerTokens;
        return places != 0 && ( tokens < 0 || needed <= tokens );
    }
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ENGINE_ROOM_HPP_INCLUDED
