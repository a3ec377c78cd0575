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
 * The memory ledger of one upstream: what its accelerators hold, or might hold. It is charged
 * before an order to load goes out, and released only when it is certain that nothing of the
 * charged item is, or can still become, resident. Pure data and functions; the agent is the only
 * writer of its upstream's ledger.
 */
namespace coursehead::ledger {

enum class ItemKind { model, adapter };

//! A thing that can be loaded.
struct Item {
    ItemKind kind = ItemKind::model;
    std::string name;
    std::string version; //!< of the model; an adapter carries its model's
    std::string model;   //!< of an adapter: the model it belongs to

    bool operator==( const Item& ) const = default;
};

//! What loading an item takes.
struct Footprint {
    Item item;
    std::uint64_t bytes = 0;        //!< on each accelerator
    std::uint32_t accelerators = 1; //!< ignored for adapters: they sit where their model sits
};

enum class ChargeState {
    loading, //!< an order to load is out
    resident,
    unloading, //!< an order to unload is out
    unknown,   //!< an order's outcome is not known: counted as held
};

//! Orders are numbered within an agent's epoch.
using OrderNumber = std::uint64_t;

struct Charge {
    Footprint footprint;
    std::vector<std::uint32_t> accelerators; //!< which ones
    ChargeState state = ChargeState::loading;
    OrderNumber order = 0; //!< the latest order about this item
    MonoTime loadSent;     //!< when the latest load order went out
};

struct Ledger {
    std::vector<std::uint64_t> capacity; //!< bytes of each accelerator
    std::vector<Charge> charges;
    OrderNumber lastOrder = 0;
};

enum class OrderAction { load, unload };

//! An order for the upstream.
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
std::uint64_t chargedOn( const Ledger& ledger, std::uint32_t accelerator );
//! The largest room left on one accelerator.
std::uint64_t largestRoom( const Ledger& ledger );
//! True when every accelerator is charged at most what it holds.
bool withinCapacity( const Ledger& ledger );

//! The item's charge, or nullptr.
const Charge* find( const Ledger& ledger, const Item& item );

//! Charges an item and gives the order to send; empty when there is no room, or it is charged.
std::optional<Order> beginLoad( Ledger& ledger, const Footprint& footprint, MonoTime now );
//! True when beginLoad would find room.
bool fits( const Ledger& ledger, const Footprint& footprint );

//! Marks a resident item as leaving and gives the order; empty when it is not resident, or when an
//! adapter on it is still charged.
std::optional<Order> beginUnload( Ledger& ledger, const Item& item );

//! The upstream confirmed the order.
void confirm( Ledger& ledger, OrderNumber order );
//! The upstream, or the lack of a connection to it, proved that the order had and has no effect.
void withdraw( Ledger& ledger, OrderNumber order );
//! The order's outcome is not known.
void lose( Ledger& ledger, OrderNumber order );

/**
 * Brings the ledger in line with what the upstream reports. `decisive` names the latest order
 * that can no longer take effect after the report was made (it was applied or is fenced off):
 * items whose latest order is at most that are settled by the report; later ones stay charged.
 */
void settle( Ledger& ledger, std::span<const ReportedItem> report, OrderNumber decisive );

//! Starts from what the upstream reports, after no earlier order can take effect any more.
Ledger adopt( std::vector<std::uint64_t> capacity, std::span<const ReportedItem> report );

} // namespace coursehead::ledger

#endif // COURSEHEAD_LEDGER_LEDGER_HPP_INCLUDED
