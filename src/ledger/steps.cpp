// SPDX-License-Identifier: BSL-1.0
#include "coursehead/ledger/steps.hpp"

#include <algorithm>
#include <functional>

namespace coursehead::ledger {

namespace {

//! What a choice is made from.
struct Scene {
    const Ledger& ledger;
    std::span<const Wanted> wanted;
    std::span<const Usage> usage;
    const StepRules& rules;
    MonoTime now;
};

const Usage* usageOf( const Scene& scene, const Item& item ) {
    const auto it = std::find_if( scene.usage.begin(), scene.usage.end(),
                                  [&item]( const Usage& u ) { return u.item == item; } );
    return it == scene.usage.end() ? nullptr : &*it;
}

bool isWanted( const Scene& scene, const Item& item ) {
    return std::any_of( scene.wanted.begin(), scene.wanted.end(), [&item]( const Wanted& it ) {
        const auto& want = it.footprint.item;
        // An adapter keeps its model.
        return want == item || ( want.kind == ItemKind::adapter && item.kind == ItemKind::model &&
                                 want.model == item.name && want.version == item.version );
    } );
}

MonoTime lastUsed( const Scene& scene, const Item& item ) {
    const auto* it = usageOf( scene, item );
    return it == nullptr ? MonoTime{} : it->lastUsed;
}

bool inUse( const Scene& scene, const Item& item ) {
    const auto* it = usageOf( scene, item );
    return it != nullptr && ( it->running > 0 || it->waiting > 0 );
}

bool carriesAdapters( const Scene& scene, const Item& item ) {
    return item.kind == ItemKind::model &&
           std::any_of( scene.ledger.charges.begin(), scene.ledger.charges.end(),
                        [&item]( const Charge& it ) {
                            const auto& other = it.footprint.item;
                            return other.kind == ItemKind::adapter && other.model == item.name &&
                                   other.version == item.version;
                        } );
}

//! True when the item is resident, idle and has been there long enough.
bool mayDrop( const Scene& scene, const Charge& charge ) {
    const bool young =
        charge.loadSent != MonoTime{} && scene.now - charge.loadSent < scene.rules.minResidency;
    return charge.state == ChargeState::resident && !young &&
           !inUse( scene, charge.footprint.item );
}

bool isDeleted( const Scene& scene, const Item& item ) {
    const auto& gone = scene.rules.deleted;
    return std::find( gone.begin(), gone.end(), item ) != gone.end();
}

//! A version that is not wanted any more, while the one that replaces it is there.
bool isReplaced( const Scene& scene, const Item& item ) {
    return !isWanted( scene, item ) &&
           std::any_of( scene.wanted.begin(), scene.wanted.end(), [&]( const Wanted& it ) {
               const auto& want = it.footprint.item;
               const auto* charge = find( scene.ledger, want );
               return want.kind == item.kind && want.name == item.name && !( want == item ) &&
                      charge != nullptr && charge->state == ChargeState::resident;
           } );
}

bool isSpare( const Scene& scene, const Item& item ) {
    return std::any_of( scene.wanted.begin(), scene.wanted.end(), [&item]( const Wanted& it ) {
        return it.footprint.item == item && it.spare;
    } );
}

//! Rank among victims: lower goes first.
struct VictimRank {
    bool wanted = false; //!< and not spare
    MonoTime used;
    bool operator<( const VictimRank& other ) const {
        return wanted != other.wanted ? !wanted : used < other.used;
    }
};

//! True when the charge may go for `target`: a wanted one only for a load that requests wait for.
bool mayGoFor( const Scene& scene, const Charge& charge, const Wanted& target ) {
    const auto& item = charge.footprint.item;
    const bool carriesTarget = target.footprint.item.kind == ItemKind::adapter &&
                               item.kind == ItemKind::model &&
                               target.footprint.item.model == item.name;
    return mayDrop( scene, charge ) && !carriesTarget &&
           ( target.waiting || !isWanted( scene, item ) );
}

//! True when dropping everything that may go, and `also`, would make room: no item goes in vain.
bool canMakeRoom( const Scene& scene, const Wanted& target, std::span<const Item> also = {} ) {
    std::uint32_t enough = 0;
    for( std::uint32_t n = 0; n < scene.ledger.capacity.size(); ++n ) {
        std::uint64_t stays = 0;
        for( const auto& it : scene.ledger.charges ) {
            const bool here = std::find( it.accelerators.begin(), it.accelerators.end(), n ) !=
                              it.accelerators.end();
            const bool goes =
                std::find( also.begin(), also.end(), it.footprint.item ) != also.end();
            if( here && !goes && !mayGoFor( scene, it, target ) ) {
                stays += it.footprint.bytes;
            }
        }
        if( stays + target.footprint.bytes <= scene.ledger.capacity[n] ) {
            ++enough;
        }
    }
    const bool adapter = target.footprint.item.kind == ItemKind::adapter;
    return enough >= ( adapter ? 1 : target.footprint.accelerators );
}

//! The item to give up for `target`: unwanted ones first, then the longest unused.
const Charge* chooseVictim( const Scene& scene, const Wanted& target ) {
    if( !canMakeRoom( scene, target ) ) {
        return nullptr;
    }
    const Charge* best = nullptr;
    VictimRank bestRank;
    for( const auto& it : scene.ledger.charges ) {
        const auto& item = it.footprint.item;
        const VictimRank rank{ isWanted( scene, item ) && !isSpare( scene, item ),
                               lastUsed( scene, item ) };
        if( mayGoFor( scene, it, target ) && !carriesAdapters( scene, item ) &&
            ( best == nullptr || rank < bestRank ) ) {
            best = &it;
            bestRank = rank;
        }
    }
    return best;
}

//! True for an adapter whose model is not charged yet.
bool lacksModel( const Scene& scene, const Footprint& footprint ) {
    const auto& item = footprint.item;
    const Item model{ ItemKind::model, item.model, item.version, "" };
    return item.kind == ItemKind::adapter && find( scene.ledger, model ) == nullptr;
}

//! The wanted items that are not charged, those that requests wait for first.
std::vector<const Wanted*> missing( const Scene& scene ) {
    std::vector<const Wanted*> out;
    for( const auto& it : scene.wanted ) {
        if( find( scene.ledger, it.footprint.item ) == nullptr &&
            !lacksModel( scene, it.footprint ) ) {
            out.push_back( &it );
        }
    }
    std::stable_sort( out.begin(), out.end(),
                      []( const auto* a, const auto* b ) { return a->waiting > b->waiting; } );
    return out;
}

//! Unloads the first droppable item that `which` picks.
std::optional<Order> dropFirst( Ledger& ledger, const Scene& scene,
                                const std::function<bool( const Item& item )>& which ) {
    for( const auto& it : ledger.charges ) {
        const auto item = it.footprint.item;
        if( mayDrop( scene, it ) && which( item ) ) {
            if( auto order = beginUnload( ledger, item ) ) {
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
    const Scene scene{ ledger, wanted, usage, rules, now };
    if( auto order =
            dropFirst( ledger, scene, [&]( const Item& it ) { return isDeleted( scene, it ); } ) ) {
        return order;
    }
    for( const auto* it : missing( scene ) ) {
        if( auto order = beginLoad( ledger, it->footprint, now ) ) {
            return order;
        }
        if( const auto* victim = chooseVictim( scene, *it ) ) {
            return beginUnload( ledger, Item( victim->footprint.item ) );
        }
    }
    if( auto order = dropFirst( ledger, scene,
                                [&]( const Item& it ) { return isReplaced( scene, it ); } ) ) {
        return order;
    }
    if( rules.allowUnwanted ) {
        return std::nullopt;
    }
    return dropFirst( ledger, scene, [&]( const Item& it ) { return !isWanted( scene, it ); } );
}

std::vector<Item> retiring( const Ledger& ledger, std::span<const Wanted> wanted,
                            std::span<const Usage> usage, const StepRules& rules, MonoTime now ) {
    const Scene scene{ ledger, wanted, usage, rules, now };
    for( const auto* target : missing( scene ) ) {
        if( canMakeRoom( scene, *target ) ) {
            return {};
        }
        std::vector<Item> out;
        for( const auto& it : ledger.charges ) {
            const auto& item = it.footprint.item;
            const bool mayRetire =
                !isWanted( scene, item ) || ( target->waiting && isSpare( scene, item ) );
            if( it.state == ChargeState::resident && inUse( scene, item ) && mayRetire ) {
                out.push_back( item );
            }
            if( !out.empty() && canMakeRoom( scene, *target, out ) ) {
                return out;
            }
        }
    }
    return {};
}

} // namespace coursehead::ledger
