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

//! What an engine has and what its last report says of it.
struct EngineUse {
    int slots = 0;               //!< requests that run at the same time; 0: unknown
    std::int64_t requests = 0;   //!< that run or are queued, and those sent since the report
    std::int64_t cacheUsed = 0;  //!< tokens
    std::int64_t cacheTotal = 0; //!< tokens; 0: unknown
};

//! Free room of the engine. It is designed for many gateways that send to one engine: none of them
//! sees the others' requests.
FreeRoom freeRoomOf( const EngineUse& use );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ENGINE_ROOM_HPP_INCLUDED
