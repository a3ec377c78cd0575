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

std::uint64_t roomOn( const Ledger& ledger, std::uint32_t accelerator ) {
    const auto held = ledger.capacity[accelerator];
    const auto charged = chargedOn( ledger, accelerator );
    return charged >= held ? 0 : held - charged;
}

//! The accelerators with the most room, lowest number first among equals.
std::vector<std::uint32_t> roomiest( const Ledger& ledger, std::uint32_t count ) {
    std::vector<std::uint32_t> all( ledger.capacity.size() );
    std::iota( all.begin(), all.end(), 0U );
    std::stable_sort( all.begin(), all.end(), [&ledger]( auto a, auto b ) {
        return roomOn( ledger, a ) > roomOn( ledger, b );
    } );
    all.resize( std::min<std::size_t>( all.size(), count ) );
    std::sort( all.begin(), all.end() );
    return all;
}

//! Where the item would go; empty when it has no place.
std::vector<std::uint32_t> place( const Ledger& ledger, const Footprint& footprint ) {
    if( footprint.item.kind == ItemKind::adapter ) {
        const Item model{ ItemKind::model, footprint.item.model, footprint.item.version, "" };
        const auto* charge = find( ledger, model );
        const bool usable = charge != nullptr && charge->state == ChargeState::resident;
        return usable ? charge->accelerators : std::vector<std::uint32_t>{};
    }
    if( footprint.accelerators == 0 || footprint.accelerators > ledger.capacity.size() ) {
        return {};
    }
    return roomiest( ledger, footprint.accelerators );
}

bool hasRoom( const Ledger& ledger, const Footprint& footprint,
              std::span<const std::uint32_t> accelerators ) {
    return !accelerators.empty() &&
           std::all_of( accelerators.begin(), accelerators.end(),
                        [&]( auto it ) { return roomOn( ledger, it ) >= footprint.bytes; } );
}

bool carriesAdapters( const Ledger& ledger, const Item& item ) {
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

std::uint64_t chargedOn( const Ledger& ledger, std::uint32_t accelerator ) {
    std::uint64_t out = 0;
    for( const auto& it : ledger.charges ) {
        if( std::find( it.accelerators.begin(), it.accelerators.end(), accelerator ) !=
            it.accelerators.end() ) {
            out += it.footprint.bytes;
        }
    }
    return out;
}

std::uint64_t largestRoom( const Ledger& ledger ) {
    std::uint64_t out = 0;
    for( std::uint32_t n = 0; n < ledger.capacity.size(); ++n ) {
        out = std::max( out, roomOn( ledger, n ) );
    }
    return out;
}

bool withinCapacity( const Ledger& ledger ) {
    for( std::uint32_t n = 0; n < ledger.capacity.size(); ++n ) {
        if( chargedOn( ledger, n ) > ledger.capacity[n] ) {
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
           hasRoom( ledger, footprint, place( ledger, footprint ) );
}

std::optional<Order> beginLoad( Ledger& ledger, const Footprint& footprint, MonoTime now ) {
    if( !fits( ledger, footprint ) ) {
        return std::nullopt;
    }
    Charge charge;
    charge.footprint = footprint;
    charge.accelerators = place( ledger, footprint );
    charge.state = ChargeState::loading;
    charge.order = ++ledger.lastOrder;
    charge.loadSent = now;
    ledger.charges.push_back( charge );
    return Order{ charge.order, OrderAction::load, footprint, charge.accelerators };
}

std::optional<Order> beginUnload( Ledger& ledger, const Item& item ) {
    auto* charge = findItem( ledger, item );
    if( charge == nullptr || charge->state != ChargeState::resident ||
        ( item.kind == ItemKind::model && carriesAdapters( ledger, item ) ) ) {
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

void lose( Ledger& ledger, OrderNumber order ) {
    auto* charge = findOrder( ledger, order );
    if( charge != nullptr && charge->state != ChargeState::resident ) {
        charge->state = ChargeState::unknown;
    }
}

void settle( Ledger& ledger, std::span<const ReportedItem> report, OrderNumber decisive ) {
    const auto reported = [report]( const Item& item ) {
        return std::any_of( report.begin(), report.end(),
                            [&item]( const auto& it ) { return it.item == item; } );
    };
    std::erase_if( ledger.charges, [&]( Charge& it ) {
        if( it.order > decisive ) {
            return false;
        }
        if( reported( it.footprint.item ) ) {
            it.state = ChargeState::resident;
            return false;
        }
        return true;
    } );
    for( const auto& it : report ) {
        // An item that we hold no charge for is held all the same: count it.
        if( find( ledger, it.item ) == nullptr ) {
            ledger.charges.push_back( residentCharge( it ) );
        }
    }
}

Ledger adopt( std::vector<std::uint64_t> capacity, std::span<const ReportedItem> report ) {
    Ledger out;
    out.capacity = std::move( capacity );
    settle( out, report, 0 );
    return out;
}

} // namespace coursehead::ledger
