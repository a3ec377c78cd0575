// SPDX-License-Identifier: BSL-1.0
#include "coursehead/ledger/steps.hpp"

#include <algorithm>

namespace coursehead::ledger {

namespace {

const Usage* usageOf( std::span<const Usage> usage, const Item& item ) {
    const auto it = std::find_if( usage.begin(), usage.end(),
                                  [&item]( const Usage& u ) { return u.item == item; } );
    return it == usage.end() ? nullptr : &*it;
}

bool isWanted( std::span<const Wanted> wanted, const Item& item ) {
    return std::any_of( wanted.begin(), wanted.end(), [&item]( const Wanted& it ) {
        const auto& want = it.footprint.item;
        // An adapter keeps its model.
        return want == item || ( want.kind == ItemKind::adapter && item.kind == ItemKind::model &&
                                 want.model == item.name && want.version == item.version );
    } );
}

bool inUse( std::span<const Usage> usage, const Item& item ) {
    const auto* it = usageOf( usage, item );
    return it != nullptr && ( it->running > 0 || it->waiting > 0 );
}

MonoTime lastUsed( std::span<const Usage> usage, const Item& item ) {
    const auto* it = usageOf( usage, item );
    return it == nullptr ? MonoTime{} : it->lastUsed;
}

//! A version of the same model or adapter that is not wanted any more, while the new one is there.
bool isReplaced( const Ledger& ledger, std::span<const Wanted> wanted, const Item& item ) {
    return !isWanted( wanted, item ) &&
           std::any_of( wanted.begin(), wanted.end(), [&]( const Wanted& it ) {
               const auto& want = it.footprint.item;
               const auto* charge = find( ledger, want );
               return want.kind == item.kind && want.name == item.name && !( want == item ) &&
                      charge != nullptr && charge->state == ChargeState::resident;
           } );
}

//! Rank among victims: lower goes first.
struct VictimRank {
    bool wanted = false;
    MonoTime used;
    bool operator<( const VictimRank& other ) const {
        return wanted != other.wanted ? !wanted : used < other.used;
    }
};

//! The idle item to give up for `target`, or nullptr. Unwanted ones first, then the longest unused;
//! a wanted one only for a load that requests wait for.
const Charge* chooseVictim( const Ledger& ledger, std::span<const Wanted> wanted,
                            std::span<const Usage> usage, const StepRules& rules, MonoTime now,
                            const Wanted& target ) {
    const Charge* best = nullptr;
    VictimRank bestRank;
    for ( const auto& it : ledger.charges ) {
        const auto& item = it.footprint.item;
        const VictimRank rank{ isWanted( wanted, item ), lastUsed( usage, item ) };
        const bool young = now - it.loadSent < rules.minResidency && it.loadSent != MonoTime{};
        if ( it.state != ChargeState::resident || inUse( usage, item ) || young ||
             ( rank.wanted && !target.waiting ) || item == target.footprint.item ) {
            continue;
        }
        const bool hasAdapters =
            item.kind == ItemKind::model &&
            std::any_of( ledger.charges.begin(), ledger.charges.end(), [&item]( const auto& c ) {
                return c.footprint.item.kind == ItemKind::adapter &&
                       c.footprint.item.model == item.name &&
                       c.footprint.item.version == item.version;
            } );
        if ( !hasAdapters && ( best == nullptr || rank < bestRank ) ) {
            best = &it;
            bestRank = rank;
        }
    }
    return best;
}

//! The item's model, when it is an adapter whose model is not charged.
bool lacksModel( const Ledger& ledger, const Footprint& footprint ) {
    const auto& item = footprint.item;
    const Item model{ ItemKind::model, item.model, item.version, "" };
    return item.kind == ItemKind::adapter && find( ledger, model ) == nullptr;
}

std::optional<Order> dropReplaced( Ledger& ledger, std::span<const Wanted> wanted,
                                   std::span<const Usage> usage, const StepRules& rules,
                                   MonoTime now ) {
    for ( const auto& it : ledger.charges ) {
        const auto item = it.footprint.item;
        const bool young = now - it.loadSent < rules.minResidency && it.loadSent != MonoTime{};
        if ( it.state == ChargeState::resident && !inUse( usage, item ) && !young &&
             isReplaced( ledger, wanted, item ) ) {
            if ( auto order = beginUnload( ledger, item ) ) {
                return order;
            }
        }
    }
    return std::nullopt;
}

std::optional<Order> dropUnwanted( Ledger& ledger, std::span<const Wanted> wanted,
                                   std::span<const Usage> usage, const StepRules& rules,
                                   MonoTime now ) {
    for ( const auto& it : ledger.charges ) {
        const auto item = it.footprint.item;
        const bool young = now - it.loadSent < rules.minResidency && it.loadSent != MonoTime{};
        if ( it.state == ChargeState::resident && !isWanted( wanted, item ) &&
             !inUse( usage, item ) && !young ) {
            if ( auto order = beginUnload( ledger, item ) ) {
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
    std::vector<const Wanted*> missing;
    for ( const auto& it : wanted ) {
        if ( find( ledger, it.footprint.item ) == nullptr && !lacksModel( ledger, it.footprint ) ) {
            missing.push_back( &it );
        }
    }
    std::stable_sort( missing.begin(), missing.end(),
                      []( const auto* a, const auto* b ) { return a->waiting > b->waiting; } );
    for ( const auto* it : missing ) {
        if ( auto order = beginLoad( ledger, it->footprint, now ) ) {
            return order;
        }
        const auto* victim = chooseVictim( ledger, wanted, usage, rules, now, *it );
        if ( victim != nullptr ) {
            return beginUnload( ledger, Item( victim->footprint.item ) );
        }
    }
    if ( auto order = dropReplaced( ledger, wanted, usage, rules, now ) ) {
        return order;
    }
    return rules.allowUnwanted ? std::nullopt : dropUnwanted( ledger, wanted, usage, rules, now );
}

} // namespace coursehead::ledger
