// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_LEDGER_STEPS_HPP_INCLUDED
#define COURSEHEAD_LEDGER_STEPS_HPP_INCLUDED

#include "coursehead/ledger/ledger.hpp"

//! Chooses an agent's next order by comparing the wanted items with the resident ones.
namespace coursehead::ledger {

//! An item that should be resident.
struct Wanted {
    Footprint footprint;
    bool waiting = false; //!< requests wait for it now
    bool spare = false;   //!< other agents hold copies too
};

//! How a resident item is being used.
struct Usage {
    Item item;
    std::uint32_t running = 0; //!< requests using it now
    std::uint32_t waiting = 0; //!< requests queued for it
    MonoTime lastUsed;
};

//! Rules for the choice of the next order.
struct StepRules {
    //! An item is not unloaded sooner than this after its load order. For upstreams that do not
    //! check orders it exceeds their order lateness, so that a late duplicate of the load order
    //! can't take effect after the unload.
    Millis minResidency{ 10000 };
    bool allowUnwanted = true; //!< keep unwanted items until their memory is needed
    std::vector<Item> deleted; //!< items deleted from the configuration: unloaded once idle
};

//! Returns the next order and records it in the ledger; empty when no order is needed or possible.
std::optional<Order> nextStep( Ledger& ledger, std::span<const Wanted> wanted,
                               std::span<const Usage> usage, const StepRules& rules, MonoTime now );

/**
 * The busy items that should take no new requests, so that they become idle and can be unloaded:
 * unwanted items and, for a load that requests wait for, spare copies. Empty when no wanted item is
 * missing, when unloading idle items frees enough memory, or when unloading the busy items too
 * would not free enough.
 */
std::vector<Item> retiring( const Ledger& ledger, std::span<const Wanted> wanted,
                            std::span<const Usage> usage, const StepRules& rules, MonoTime now );

} // namespace coursehead::ledger

#endif // COURSEHEAD_LEDGER_STEPS_HPP_INCLUDED
