// SPDX-License-Identifier: BSL-1.0
#include "coursehead/ledger/ledger.hpp"

#include <algorithm>
#include <numeric>

namespace coursehead::ledger {

namespace {

Charge* findOrder( Ledger& ledger, OrderNumber order ) {
    for( auto& it : ledger.charges ) {
        if( it.order == order ) {
            return &it;
        }
    }
    return nullptr;
}

Charge* findItem( Ledger& ledger, const Item& item ) {
    for( auto& it : ledger.charges ) {
        if( it.footprint.item == item ) {
            return &it;
        }
    }
    return nullptr;
}

std::uint64_t freeBytesOn( const Ledger& ledger, std::uint32_t accelerator ) {
    const auto capacity = ledger.capacity[accelerator];
    const auto charged = chargedBytes( ledger, accelerator );
    return charged >= capacity ? 0 : capacity - charged;
}

//! The `count` accelerators with the most free bytes, in ascending order; ties go to the lower
//! number.
std::vector<std::uint32_t> mostFreeAccelerators( const Ledger& ledger, std::uint32_t count ) {
    std::vector<std::uint32_t> all( ledger.capacity.size() );
    std::iota( all.begin(), all.end(), 0U );
    std::stable_sort( all.begin(), all.end(), [&ledger]( auto a, auto b ) {
        return freeBytesOn( ledger, a ) > freeBytesOn( ledger, b );
    } );
    all.resize( std::min<std::size_t>( all.size(), count ) );
    std::sort( all.begin(), all.end() );
    return all;
}

//! The accelerators that the item would be loaded on; empty when no set of them is eligible. An
//! adapter goes where its resident model is. Free bytes are not checked here.
std::vector<std::uint32_t> choosePlacement( const Ledger& ledger, const Footprint& footprint ) {
    if( footprint.item.kind == ItemKind::adapter ) {
        const Item model{ ItemKind::model, footprint.item.model, footprint.item.version, "" };
        const auto* charge = find( ledger, model );
        const bool usable = charge != nullptr && charge->state == ChargeState::resident;
        return usable ? charge->accelerators : std::vector<std::uint32_t>{};
    }
    if( footprint.accelerators == 0 || footprint.accelerators > ledger.capacity.size() ) {
        return {};
    }
    return mostFreeAccelerators( ledger, footprint.accelerators );
}

bool hasFreeCapacity( const Ledger& ledger, const Footprint& footprint,
                      std::span<const std::uint32_t> accelerators ) {
    return !accelerators.empty() &&
           std::all_of( accelerators.begin(), accelerators.end(),
                        [&]( auto it ) { return freeBytesOn( ledger, it ) >= footprint.bytes; } );
}

bool hasAdapters( const Ledger& ledger, const Item& item ) {
    return std::any_of( ledger.charges.begin(), ledger.charges.end(), [&item]( const Charge& it ) {
        const auto& other = it.footprint.item;
        return other.kind == ItemKind::adapter && other.model == item.name &&
               other.version == item.version;
    } );
}

void release( Ledger& ledger, const Charge* charge ) {
    ledger.charges.erase( ledger.charges.begin() + ( charge - ledger.charges.data() ) );
}

Charge residentCharge( const ReportedItem& reported ) {
    Charge out;
    out.footprint.item = reported.item;
    out.footprint.bytes = reported.bytes;
    out.footprint.accelerators = static_cast<std::uint32_t>( reported.accelerators.size() );
    out.accelerators = reported.accelerators;
    out.state = ChargeState::resident;
    return out;
}

} // namespace

std::uint64_t chargedBytes( const Ledger& ledger, std::uint32_t accelerator ) {
    std::uint64_t out = 0;
    for( const auto& it : ledger.charges ) {
        if( std::find( it.accelerators.begin(), it.accelerators.end(), accelerator ) !=
            it.accelerators.end() ) {
            out += it.footprint.bytes;
        }
    }
    return out;
}

std::uint64_t largestFreeBytes( const Ledger& ledger ) {
    std::uint64_t out = 0;
    for( std::uint32_t n = 0; n < ledger.capacity.size(); ++n ) {
        out = std::max( out, freeBytesOn( ledger, n ) );
    }
    return out;
}

bool withinCapacity( const Ledger& ledger ) {
    for( std::uint32_t n = 0; n < ledger.capacity.size(); ++n ) {
        if( chargedBytes( ledger, n ) > ledger.capacity[n] ) {
            return false;
        }
    }
    return true;
}

const Charge* find( const Ledger& ledger, const Item& item ) {
    for( const auto& it : ledger.charges ) {
        if( it.footprint.item == item ) {
            return &it;
        }
    }
    return nullptr;
}

bool fits( const Ledger& ledger, const Footprint& footprint ) {
    return find( ledger, footprint.item ) == nullptr &&
           hasFreeCapacity( ledger, footprint, choosePlacement( ledger, footprint ) );
}

std::optional<Order> startLoad( Ledger& ledger, const Footprint& footprint, MonoTime now ) {
    if( !fits( ledger, footprint ) ) {
        return std::nullopt;
    }
    Charge charge;
    charge.footprint = footprint;
    charge.accelerators = choosePlacement( ledger, footprint );
    charge.state = ChargeState::loading;
    charge.order = ++ledger.lastOrder;
    charge.loadSentAt = now;
    ledger.charges.push_back( charge );
    return Order{ charge.order, OrderAction::load, footprint, charge.accelerators };
}

std::optional<Order> startUnload( Ledger& ledger, const Item& item ) {
    auto* charge = findItem( ledger, item );
    if( charge == nullptr || charge->state != ChargeState::resident ||
        ( item.kind == ItemKind::model && hasAdapters( ledger, item ) ) ) {
        return std::nullopt;
    }
    charge->state = ChargeState::unloading;
    charge->order = ++ledger.lastOrder;
    return Order{ charge->order, OrderAction::unload, charge->footprint, charge->accelerators };
}

void confirm( Ledger& ledger, OrderNumber order ) {
    auto* charge = findOrder( ledger, order );
    if( charge == nullptr ) {
        return;
    }
    if( charge->state == ChargeState::loading ) {
        charge->state = ChargeState::resident;
    } else if( charge->state == ChargeState::unloading ) {
        release( ledger, charge );
    }
}

void withdraw( Ledger& ledger, OrderNumber order ) {
    auto* charge = findOrder( ledger, order );
    if( charge == nullptr ) {
        return;
    }
    if( charge->state == ChargeState::loading ) {
        release( ledger, charge );
    } else if( charge->state == ChargeState::unloading ) {
        charge->state = ChargeState::resident;
    }
}

void markUnknown( Ledger& ledger, OrderNumber order ) {
    auto* charge = findOrder( ledger, order );
    if( charge != nullptr && charge->state != ChargeState::resident ) {
        charge->state = ChargeState::unknown;
    }
}

void reconcile( Ledger& ledger, std::span<const ReportedItem> report, OrderNumber lastFinalOrder ) {
    const auto reported = [report]( const Item& item ) {
        return std::any_of( report.begin(), report.end(),
                            [&item]( const auto& it ) { return it.item == item; } );
    };
    std::erase_if( ledger.charges, [&]( Charge& it ) {
        if( it.order > lastFinalOrder ) {
            return false;
        }
        if( reported( it.footprint.item ) ) {
            it.state = ChargeState::resident;
            return false;
        }
        return true;
    } );
    for( const auto& it : report ) {
        // A reported item without a charge still takes memory, so it gets a charge.
        if( find( ledger, it.item ) == nullptr ) {
            ledger.charges.push_back( residentCharge( it ) );
        }
    }
}

Ledger adopt( std::vector<std::uint64_t> capacity, std::span<const ReportedItem> report ) {
    Ledger out;
    out.capacity = std::move( capacity );
    reconcile( out, report, 0 );
    return out;
}

} // namespace coursehead::ledger
