// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CLAIMS_TABLE_HPP_INCLUDED
#define COURSEHEAD_CLAIMS_TABLE_HPP_INCLUDED

#include "coursehead/claims/key.hpp"
#include "coursehead/peer/messages.hpp"

#include <map>
#include <span>
#include <string>

/**
 * The claims in the slots that one agent owns: which request holds a key, and how it ended. They
 * are kept in memory only. This is safe because a slot changes its owner only when the old owner's
 * VM is gone for good, and because a new owner (or a restarted process) answers `unknown` for every
 * key that was created before its ownership started.
 */
namespace coursehead::claims {

struct ClaimRules {
    Millis window{ 600000 };                 //!< keys older than this are answered `unknown`
    Millis skew{ 2000 };                     //!< largest error assumed of callers' clocks
    std::size_t maxAnswerBytes = 64U << 10U; //!< larger answers are not kept
};

struct ClaimRecord {
    std::string fingerprint;
    peer::ClaimHolder holder;
    peer::ClaimVerdict state = peer::ClaimVerdict::busy; //!< busy, finished or unknown
    int status = 0;
    std::string contentType;
    std::string body;
    WallMillis made = 0; //!< the creation time in the key
};

struct ClaimTable {
    std::map<std::string, ClaimRecord, std::less<>> records;
    //! By slot: the time since which this process has owned the slot without interruption.
    std::map<std::uint32_t, WallMillis> ownedSince;
};

//! Takes over the slots that the state assigns to `vm` and drops the claims of all other
//! slots.
void updateOwnership( ClaimTable& table, const config::State& state, std::string_view vm,
                      WallMillis now );

//! Processes one step (claim, move or resolve) of a request under a key.
peer::ClaimAnswer answer( ClaimTable& table, const peer::ClaimRequest& request,
                          const ClaimRules& rules, WallMillis now );

//! Removes keys long past the window; such keys are refused because of their creation time.
void forget( ClaimTable& table, const ClaimRules& rules, WallMillis now );

//! The VM list as read by the planner.
struct VmList {
    std::uint64_t version = 0;        //!< of the listing
    std::vector<std::string> members; //!< VMs that may become owners
    std::vector<std::string> present; //!< every VM listed, including those that are leaving
};

//! Returns the slots that need a new owner, with an owner chosen by rendezvous hashing: slots
//! without an owner, and slots whose owner is missing from a VM list recent enough to prove that it
//! is gone.
std::vector<config::ClaimSlot> reassign( const config::State& state, const VmList& vmList );

} // namespace coursehead::claims

#endif // COURSEHEAD_CLAIMS_TABLE_HPP_INCLUDED
