// SPDX-License-Identifier: BSL-1.0
#include "coursehead/ledger/steps.hpp"

#include <algorithm>
#include <functional>

namespace coursehead::ledger {

namespace {

//! The inputs from which the next order is chosen.
struct StepContext {
    const Ledger& ledger;
    std::span<const Wanted> wanted;
    std::span<const Usage> usage;
    const StepRules& rules;
    MonoTime now;
};

const Usage* findUsage( const StepContext& context, const Item& item ) {
    const auto it = std::find_if( context.usage.begin(), context.usage.end(),
                                  [&item]( const Usage& u ) { return u.item == item; } );
    return it == context.usage.end() ? nullptr : &*it;
}

bool isWanted( const StepContext& context, const Item& item ) {
    return std::any_of( context.wanted.begin(), context.wanted.end(), [&item]( const Wanted& it ) {
        const auto& wantedItem = it.footprint.item;
        // A wanted adapter makes its model wanted too.
        return wantedItem == item ||
               ( wantedItem.kind == ItemKind::adapter && item.kind == ItemKind::model &&
                 wantedItem.model == item.name && wantedItem.version == item.version );
    } );
}

MonoTime lastUsed( const StepContext& context, const Item& item ) {
    const auto* it = findUsage( context, item );
    return it == nullptr ? MonoTime{} : it->lastUsed;
}

bool inUse( const StepContext& context, const Item& item ) {
    const auto* it = findUsage( context, item );
    return it != nullptr && ( it->running > 0 || it->waiting > 0 );
}

bool hasAdapters( const StepContext& context, const Item& item ) {
    return item.kind == ItemKind::model &&
           std::any_of( context.ledger.charges.begin(), context.ledger.charges.end(),
                        [&item]( const Charge& it ) {
                            const auto& other = it.footprint.item;
                            return other.kind == ItemKind::adapter && other.model == item.name &&
                                   other.version == item.version;
                        } );
}

//! True when the item is resident, idle and past the minimum residency.
bool canUnload( const StepContext& context, const Charge& charge ) {
    const bool tooRecent = charge.loadSentAt != MonoTime{} &&
                           context.now - charge.loadSentAt < context.rules.minResidency;
    return charge.state == ChargeState::resident && !tooRecent &&
           !inUse( context, charge.footprint.item );
}

bool isDeleted( const StepContext& context, const Item& item ) {
    const auto& deleted = context.rules.deleted;
    return std::find( deleted.begin(), deleted.end(), item ) != deleted.end();
}

//! True for a version that is no longer wanted while another, wanted version of the same item is
//! resident.
bool isReplaced( const StepContext& context, const Item& item ) {
    return !isWanted( context, item ) &&
           std::any_of( context.wanted.begin(), context.wanted.end(), [&]( const Wanted& it ) {
               const auto& wantedItem = it.footprint.item;
               const auto* charge = find( context.ledger, wantedItem );
               return wantedItem.kind == item.kind && wantedItem.name == item.name &&
                      !( wantedItem == item ) && charge != nullptr &&
                      charge->state == ChargeState::resident;
           } );
}

bool isSpare( const StepContext& context, const Item& item ) {
    return std::any_of( context.wanted.begin(), context.wanted.end(), [&item]( const Wanted& it ) {
        return it.footprint.item == item && it.spare;
    } );
}

//! Eviction rank of an item: the lowest is unloaded first.
struct VictimRank {
    bool wanted = false; //!< wanted and not a spare copy
    MonoTime used;
    bool operator<( const VictimRank& other ) const {
        return wanted != other.wanted ? !wanted : used < other.used;
    }
};

//! True when the charged item may be unloaded for `target`. A wanted item is unloaded only for a
//! load that requests wait for. If `target` is an adapter, its model is never unloaded.
bool canUnloadFor( const StepContext& context, const Charge& charge, const Wanted& target ) {
    const auto& item = charge.footprint.item;
    const bool isModelOfTarget = target.footprint.item.kind == ItemKind::adapter &&
                                 item.kind == ItemKind::model &&
                                 target.footprint.item.model == item.name;
    return canUnload( context, charge ) && !isModelOfTarget &&
           ( target.waiting || !isWanted( context, item ) );
}

//! True when unloading every item that may be unloaded, and those in `additional`, would free
//! enough memory for `target`. Checked first so that no item is unloaded without enabling the load.
bool canFreeCapacity( const StepContext& context, const Wanted& target,
                      std::span<const Item> additional = {} ) {
    std::uint32_t suitable = 0;
    for( std::uint32_t n = 0; n < context.ledger.capacity.size(); ++n ) {
        std::uint64_t remainingBytes = 0;
        for( const auto& it : context.ledger.charges ) {
            const bool onAccelerator = std::find( it.accelerators.begin(), it.accelerators.end(),
                                                  n ) != it.accelerators.end();
            const bool isAdditional = std::find( additional.begin(), additional.end(),
                                                 it.footprint.item ) != additional.end();
            if( onAccelerator && !isAdditional && !canUnloadFor( context, it, target ) ) {
                remainingBytes += it.footprint.bytes;
            }
        }
        if( remainingBytes + target.footprint.bytes <= context.ledger.capacity[n] ) {
            ++suitable;
        }
    }
    const bool adapter = target.footprint.item.kind == ItemKind::adapter;
    return suitable >= ( adapter ? 1 : target.footprint.accelerators );
}

//! The item to unload for `target`: unwanted and spare items first, then the least recently used.
const Charge* chooseVictim( const StepContext& context, const Wanted& target ) {
    if( !canFreeCapacity( context, target ) ) {
        return nullptr;
    }
    const Charge* best = nullptr;
    VictimRank bestRank;
    for( const auto& it : context.ledger.charges ) {
        const auto& item = it.footprint.item;
        const VictimRank rank{ isWanted( context, item ) && !isSpare( context, item ),
                               lastUsed( context, item ) };
        if( canUnloadFor( context, it, target ) && !hasAdapters( context, item ) &&
            ( best == nullptr || rank < bestRank ) ) {
            best = &it;
            bestRank = rank;
        }
    }
    return best;
}

//! True for an adapter whose model has no charge yet.
bool lacksModel( const StepContext& context, const Footprint& footprint ) {
    const auto& item = footprint.item;
    const Item model{ ItemKind::model, item.model, item.version, "" };
    return item.kind == ItemKind::adapter && find( context.ledger, model ) == nullptr;
}

//! The wanted items without a charge; those that requests wait for come first.
std::vector<const Wanted*> missingItems( const StepContext& context ) {
    std::vector<const Wanted*> out;
    for( const auto& it : context.wanted ) {
        if( find( context.ledger, it.footprint.item ) == nullptr &&
            !lacksModel( context, it.footprint ) ) {
            out.push_back( &it );
        }
    }
    std::stable_sort( out.begin(), out.end(),
                      []( const auto* a, const auto* b ) { return a->waiting > b->waiting; } );
    return out;
}

//! Starts to unload the first item that may be unloaded and satisfies `matches`.
std::optional<Order> unloadFirst( Ledger& ledger, const StepContext& context,
                                  const std::function<bool( const Item& item )>& matches ) {
    for( const auto& it : ledger.charges ) {
        const auto item = it.footprint.item;
        if( canUnload( context, it ) && matches( item ) ) {
            if( auto order = startUnload( ledger, item ) ) {
                return order;
            }
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<Order> nextStep( Ledger& ledger, std::span<const Wanted> wanted,
                               std::span<const Usage> usage, const StepRules& rules,
                               MonoTime now ) {
    const StepContext context{ ledger, wanted, usage, rules, now };
    if( auto order = unloadFirst( ledger, context,
                                  [&]( const Item& it ) { return isDeleted( context, it ); } ) ) {
        return order;
    }
    for( const auto* it : missingItems( context ) ) {
        if( auto order = startLoad( ledger, it->footprint, now ) ) {
            return order;
        }
        if( const auto* victim = chooseVictim( context, *it ) ) {
            return startUnload( ledger, Item( victim->footprint.item ) );
        }
    }
    if( auto order = unloadFirst( ledger, context,
                                  [&]( const Item& it ) { return isReplaced( context, it ); } ) ) {
        return order;
    }
    if( rules.allowUnwanted ) {
        return std::nullopt;
    }
    return unloadFirst( ledger, context,
                        [&]( const Item& it ) { return !isWanted( context, it ); } );
}

std::vector<Item> retiring( const Ledger& ledger, std::span<const Wanted> wanted,
                            std::span<const Usage> usage, const StepRules& rules, MonoTime now ) {
    const StepContext context{ ledger, wanted, usage, rules, now };
    for( const auto* target : missingItems( context ) ) {
        if( canFreeCapacity( context, *target ) ) {
            return {};
        }
        std::vector<Item> out;
        for( const auto& it : ledger.charges ) {
            const auto& item = it.footprint.item;
            const bool mayRetire =
                !isWanted( context, item ) || ( target->waiting && isSpare( context, item ) );
            if( it.state == ChargeState::resident && inUse( context, item ) && mayRetire ) {
                out.push_back( item );
            }
            if( !out.empty() && canFreeCapacity( context, *target, out ) ) {
                return out;
            }
        }
    }
    return {};
}

} // namespace coursehead::ledger
