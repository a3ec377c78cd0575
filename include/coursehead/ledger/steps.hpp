// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_LEDGER_STEPS_HPP_INCLUDED
#define COURSEHEAD_LEDGER_STEPS_HPP_INCLUDED

#include "coursehead/ledger/ledger.hpp"

//! Chooses an agent's next order from what should be resident and what is.
namespace coursehead::ledger {

//! Something that should be resident.
struct Wanted {
    Footprint footprint;
    bool waiting = false; //!< requests wait for it now
    bool spare = false;   //!< there are other copies elsewhere
};

//! How a resident item is being used.
struct Usage {
    Item item;
    std::uint32_t running = 0; //!< requests using it now
    std::uint32_t waiting = 0; //!< requests queued for it
    MonoTime lastUsed;
};

//! What bounds the choice.
struct StepRules {
    //! A load younger than this is not undone. On upstreams that do not check orders this is at
    //! least their order lateness, so that a late duplicate of the load can't follow the unload.
    Millis minResidency{ 10000 };
    bool allowUnwanted = true; //!< keep items nobody wants while there is room
    std::vector<Item> deleted; //!< items that no longer exist: dropped as soon as they are idle
};

//! The next order; empty when there is nothing to do or nothing possible. Charges the ledger.
std::optional<Order> nextStep( Ledger& ledger, std::span<const Wanted> wanted,
                               std::span<const Usage> usage, const StepRules& rules, MonoTime now );

/**
 * The busy items that should take no new requests, so that they become idle and can go: those that
 * nobody wants here any more and, for a load that requests wait for, spare copies. Empty when
 * nothing is missing, when idle items suffice, or when even that would not make room.
 */
std::vector<Item> retiring( const Ledger& ledger, std::span<const Wanted> wanted,
                            std::span<const Usage> usage, const StepRules& rules, MonoTime now );

} // namespace coursehead::ledger

#endif // COURSEHEAD_LEDGER_STEPS_HPP_INCLUDED
