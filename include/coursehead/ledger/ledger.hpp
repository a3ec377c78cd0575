// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_LEDGER_LEDGER_HPP_INCLUDED
#define COURSEHEAD_LEDGER_LEDGER_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

/**
 * The memory ledger of one upstream: the items that its accelerators hold or might hold. An item is
 * charged before its load order is sent. Its charge is released only when it is certain that no
 * part of the item is, or can still become, resident. Pure data and functions; the agent is the
 * only writer of its upstream's ledger.
 */
namespace coursehead::ledger {

enum class ItemKind { model, adapter };

//! A model or an adapter, which an upstream can load.
struct Item {
    ItemKind kind = ItemKind::model;
    std::string name;
    std::string version; //!< of the model; an adapter has its model's version
    std::string model;   //!< for an adapter: the model it belongs to

    bool operator==( const Item& ) const = default;
};

//! The memory and accelerators that a loaded item takes.
struct Footprint {
    Item item;
    std::uint64_t bytes = 0;        //!< on each accelerator
    std::uint32_t accelerators = 1; //!< ignored for adapters, which use their model's accelerators
};

enum class ChargeState {
    loading, //!< a load order has been sent
    resident,
    unloading, //!< an unload order has been sent
    unknown,   //!< the outcome of an order is not known; the item counts as resident
};

//! Orders are numbered within an agent's epoch.
using OrderNumber = std::uint64_t;

struct Charge {
    Footprint footprint;
    std::vector<std::uint32_t> accelerators; //!< numbers of the accelerators charged
    ChargeState state = ChargeState::loading;
    OrderNumber order = 0; //!< the latest order about this item
    MonoTime loadSentAt;   //!< when the latest load order was sent
};

struct Ledger {
    std::vector<std::uint64_t> capacity; //!< bytes on each accelerator
    std::vector<Charge> charges;
    OrderNumber lastOrder = 0;
};

enum class OrderAction { load, unload };

//! An order to the upstream to load or unload an item.
struct Order {
    OrderNumber number = 0;
    OrderAction action = OrderAction::load;
    Footprint footprint;
    std::vector<std::uint32_t> accelerators;
};

//! An item as the upstream reports it.
struct ReportedItem {
    Item item;
    std::uint64_t bytes = 0;
    std::vector<std::uint32_t> accelerators;
};

//! Bytes charged on an accelerator.
std::uint64_t chargedBytes( const Ledger& ledger, std::uint32_t accelerator );
//! The largest number of free bytes on any one accelerator.
std::uint64_t largestFreeBytes( const Ledger& ledger );
//! True when no accelerator is charged more than its capacity.
bool withinCapacity( const Ledger& ledger );

//! The item's charge, or nullptr.
const Charge* find( const Ledger& ledger, const Item& item );

//! Charges an item and returns the load order to send; empty when it does not fit or is charged
//! already.
std::optional<Order> startLoad( Ledger& ledger, const Footprint& footprint, MonoTime now );
//! True when startLoad would return an order.
bool fits( const Ledger& ledger, const Footprint& footprint );

//! Marks a resident item as unloading and returns the unload order; empty when the item is not
//! resident, or is a model with an adapter that is still charged.
std::optional<Order> startUnload( Ledger& ledger, const Item& item );

//! Applies an order that the upstream confirmed.
void confirm( Ledger& ledger, OrderNumber order );
//! Undoes an order that had and will have no effect: the upstream refused it, or it could not be
//! sent for lack of a connection.
void withdraw( Ledger& ledger, OrderNumber order );
//! Records that the outcome of an order is not known.
void markUnknown( Ledger& ledger, OrderNumber order );

/**
 * Brings the ledger in line with the upstream's report. `lastFinalOrder` is the latest order that
 * can no longer take effect after the report was made, as it was applied or is fenced off. The
 * report decides the items whose latest order is at most that one; items with a later order stay
 * charged.
 */
void reconcile( Ledger& ledger, std::span<const ReportedItem> report, OrderNumber lastFinalOrder );

//! Builds a ledger from the upstream's report. The report is decisive only if it was read when no
//! earlier order could still take effect.
Ledger adopt( std::vector<std::uint64_t> capacity, std::span<const ReportedItem> report );

} // namespace coursehead::ledger

#endif // COURSEHEAD_LEDGER_LEDGER_HPP_INCLUDED
