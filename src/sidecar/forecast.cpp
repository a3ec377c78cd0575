// SPDX-License-Identifier: BSL-1.0
#include "sidecar/forecast.hpp"

#include <algorithm>

namespace coursehead::sidecar {

namespace {

//! An unload without runs to wait for, with the report that shows it done.
constexpr Millis unloadTime{ 70 };
//! Streams of a busy model that makes way last about this long on; measured 0.7 to 3 s on loaded
//! days.
constexpr Millis retireTime{ 1800 };
//! Rest of an order that takes longer than it should, or of which nothing is known.
constexpr Millis overdueRest{ 300 };

bool contains( const std::vector<std::string>& names, std::string_view name ) {
    return std::find( names.begin(), names.end(), name ) != names.end();
}

double weightOf( const Holdings& holdings, const std::string& model ) {
    const auto* spec = holdings.engine->find( model );
    return spec != nullptr ? spec->weightsMb : 0;
}

Millis restOf( const Holdings& holdings, const std::optional<OrderUnderWay>& order, MonoTime now ) {
    if( !order ) {
        return holdings.report->ordering ? overdueRest : Millis{ 0 };
    }
    const auto whole =
        order->kind == StepKind::load ? loadTime( holdings, order->model ) : unloadTime;
    const auto left = whole - std::chrono::duration_cast<Millis>( now - order->since );
    return std::max( left, overdueRest );
}

//! Until a model's weights fit in beside what is there; zero while they do.
Millis roomTime( const Holdings& holdings, double freeMb, double neededMb, MonoTime now ) {
    if( neededMb <= freeMb ) {
        return Millis{ 0 };
    }
    if( !holdings.retiring.empty() ) {
        const auto passed = std::chrono::duration_cast<Millis>( now - holdings.retiringSince );
        return std::max( retireTime - passed, unloadTime );
    }
    const bool idle =
        std::any_of( holdings.report->residents.begin(), holdings.report->residents.end(),
                     [&]( const auto& it ) {
                         const auto use = holdings.models.find( it.model );
                         return use == holdings.models.end() || use->second.running == 0;
                     } );
    return idle ? unloadTime : retireTime;
}

} // namespace

Millis loadTime( const Holdings& holdings, const std::string& model ) {
    const auto* spec = holdings.engine->find( model );
    if( spec == nullptr ) {
        return Millis{ 0 };
    }
    if( contains( holdings.report->inMemory, model ) ) {
        return spec->memoryLoad;
    }
    return contains( holdings.report->onDisk, model ) ? spec->diskLoad : spec->storeLoad;
}

Forecast forecast( const Holdings& holdings, const std::optional<OrderUnderWay>& order,
                   std::span<const Want> queue, MonoTime now ) {
    Forecast out;
    Millis until = restOf( holdings, order, now );
    double freeMb = holdings.engine->weightsMb - usedMb( *holdings.engine, *holdings.report );
    const bool loads = order && order->kind == StepKind::load;
    if( loads ) {
        out.coming.push_back( { order->model, until.count() } );
        freeMb -= weightOf( holdings, order->model );
    }
    double largestMb = 0;
    for( const auto& it : holdings.engine->models ) {
        largestMb = std::max( largestMb, it.weightsMb );
    }
    for( const auto& it : queue ) {
        if( loads && it.model == order->model ) {
            continue;
        }
        const double needed = weightOf( holdings, it.model );
        until += roomTime( holdings, freeMb, needed, now ) + loadTime( holdings, it.model );
        freeMb = std::max( freeMb, needed ) - needed;
        out.coming.push_back( { it.model, until.count() } );
    }
    out.further = until + roomTime( holdings, freeMb, largestMb, now );
    return out;
}

} // namespace coursehead::sidecar
