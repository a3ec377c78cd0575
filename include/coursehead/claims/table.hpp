// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CLAIMS_TABLE_HPP_INCLUDED
#define COURSEHEAD_CLAIMS_TABLE_HPP_INCLUDED

#include "coursehead/claims/key.hpp"
#include "coursehead/peer/messages.hpp"

#include <map>
#include <span>
#include <string>

/**
 * The claims of the slots that one agent owns: which request holds a key, and how it ended. Kept
 * in memory only. What makes that safe: a slot changes its owner only when the old owner's VM is
 * gone for good, and a new owner (or a restarted process) answers `unknown` for every key that
 * was made before it began.
 */
namespace coursehead::claims {

struct ClaimRules {
    Millis window{ 600000 };              //!< keys older than this are answered `unknown`
    Millis skew{ 2000 };                  //!< how far callers' clocks may be off
    std::size_t answerBytes = 64U << 10U; //!< larger answers are not kept
};

struct ClaimRecord {
    std::string fingerprint;
    peer::ClaimHolder holder;
    peer::ClaimVerdict state = peer::ClaimVerdict::busy; //!< busy, finished or unknown
    int status = 0;
    std::string contentType;
    std::string body;
    WallMillis made = 0; //!< the key's own time
};

struct ClaimTable {
    std::map<std::string, ClaimRecord, std::less<>> records;
    //! By slot: the time from which on this process has owned it without a gap.
    std::map<std::uint32_t, WallMillis> ownedSince;
};

//! Takes over the slots that the state gives to `vm` and drops those it gives to others.
void updateOwnership( ClaimTable& table, const config::State& state, std::string_view vm,
                      WallMillis now );

//! Answers one step of a request under a key.
peer::ClaimAnswer answer( ClaimTable& table, const peer::ClaimRequest& request,
                          const ClaimRules& rules, WallMillis now );

//! Forgets keys that are past the window, which are refused by their time alone.
void forget( ClaimTable& table, const ClaimRules& rules, WallMillis now );

//! The VM list as the planner sees it.
struct Presence {
    std::uint64_t version = 0;        //!< of the listing
    std::vector<std::string> members; //!< VMs that may become owners
    std::vector<std::string> present; //!< every VM listed, leaving ones too
};

//! The slots that need a new owner, with the owner chosen by rendezvous hashing: slots without one,
//! and slots whose owner's absence from the list proves that its VM is gone.
std::vector<config::ClaimSlot> reassign( const config::State& state, const Presence& presence );

} // namespace coursehead::claims

#endif // COURSEHEAD_CLAIMS_TABLE_HPP_INCLUDED
