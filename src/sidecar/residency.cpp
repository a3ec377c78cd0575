// SPDX-License-Identifier: BSL-1.0
#include "sidecar/residency.hpp"

#include <algorithm>
#include <optional>

namespace coursehead::sidecar {

namespace {

using gateway::EngineReport;
using gateway::EngineSpec;
using gateway::Resident;

//! A model is not unloaded within this time after its load. Without it two models in demand would
//! evict each other in turn.
constexpr Millis minModelResidency{ 1500 };
//! An adapter that was used within this time counts as in use.
constexpr Millis adapterIdleTime{ 300 };
//! An unused adapter is unloaded at once. If a report still lists it after this time, it is in use
//! or the order was lost.
constexpr Millis adapterUnloadLimit{ 1000 };
//! Adapters that may be loading into an engine at the same time.
constexpr std::size_t maxLoadingAdapters = 4;

//! Value of the last copy of a model that has no demand now, in requests a second.
constexpr double lastCopyValuePerS = 0.05;

//! Value that each running request adds to a model in the choice of one to unload, because the
//! unload has to wait for that request. Small beside the value of a last copy, so that it only
//! decides between copies of about the same value.
constexpr double runValuePerS = 0.01;
constexpr int maxCountedRuns = 10;
//! A retiring model is unloaded after this time even if requests still run; most streams end
//! sooner.
constexpr Millis maxRetireTime{ 3000 };

const Resident* findModel( const EngineReport& report, std::string_view model ) {
    const auto it = std::find_if( report.residents.begin(), report.residents.end(),
                                  [model]( const Resident& r ) { return r.model == model; } );
    return it == report.residents.end() ? nullptr : &*it;
}

bool contains( const std::vector<std::string>& names, std::string_view name ) {
    return std::find( names.begin(), names.end(), name ) != names.end();
}

double modelWeightMb( const EngineSpec& engine, std::string_view model ) {
    const auto* spec = engine.find( model );
    if( spec != nullptr ) {
        return spec->weightsMb;
    }
    // The configuration no longer names this model: assume the size of the largest one.
    double out = 0;
    for( const auto& it : engine.models ) {
        out = std::max( out, it.weightsMb );
    }
    return out;
}

double adapterWeightMb( const EngineSpec& engine, std::string_view model ) {
    const auto* spec = engine.find( model );
    return spec != nullptr ? spec->adapterMb : 0;
}

std::size_t adapterCount( const EngineReport& report ) {
    std::size_t out = report.loadingAdapters.size();
    for( const auto& it : report.residents ) {
        out += it.adapters.size();
    }
    return out;
}

Usage usageOf( const std::map<std::string, Usage, std::less<>>& usages, std::string_view key ) {
    const auto it = usages.find( key );
    return it == usages.end() ? Usage{} : it->second;
}

//! Cost of unloading a copy of a model, in affected requests a second. Without one of several
//! copies the others take over its requests; without the last copy every request waits for a load.
double copyValuePerS( const Usage& usage ) {
    const double runs = runValuePerS * std::min( usage.running, maxCountedRuns );
    if( usage.copies > 1 ) {
        return runs + usage.perS / ( static_cast<double>( usage.copies ) * ( usage.copies - 1 ) );
    }
    return runs + usage.perS + lastCopyValuePerS;
}

std::optional<std::string> modelToUnload( const ResidencyState& state, std::string_view wanted,
                                          MonoTime now ) {
    if( !state.retiring.empty() && state.retiring != wanted &&
        findModel( *state.report, state.retiring ) != nullptr ) {
        return state.retiring;
    }
    const Resident* cheapest = nullptr;
    Usage cheapestUsage;
    for( const auto& it : state.report->residents ) {
        const auto usage = usageOf( state.models, it.model );
        const bool pastMinResidency = now - usage.loadedAt >= minModelResidency;
        if( it.model == wanted || !pastMinResidency ) {
            continue;
        }
        const bool cheaper = cheapest == nullptr ||
                             copyValuePerS( usage ) < copyValuePerS( cheapestUsage ) ||
                             ( copyValuePerS( usage ) == copyValuePerS( cheapestUsage ) &&
                               usage.copies > cheapestUsage.copies );
        if( cheaper ) {
            cheapest = &it;
            cheapestUsage = usage;
        }
    }
    return cheapest == nullptr ? std::nullopt : std::optional( cheapest->model );
}

std::optional<Step> adapterToUnload( const ResidencyState& state, MonoTime now ) {
    std::optional<Step> out;
    MonoTime oldest;
    for( const auto& it : state.report->residents ) {
        for( const auto& adapter : it.adapters ) {
            const auto usage = usageOf( state.adapters, adapterKey( it.model, adapter ) );
            // The engine delays an unload until the adapter's last run has ended, and accepts no
            // other order until then.
            if( usage.running > 0 || now - usage.lastUsed < adapterIdleTime ) {
                continue;
            }
            if( !out || usage.lastUsed < oldest ) {
                out = Step{ StepKind::unload, it.model, adapter };
                oldest = usage.lastUsed;
            }
        }
    }
    return out;
}

//! Retires a busy model before it is unloaded: the engine delays an unload until the model's runs
//! have ended, and accepts no other order meanwhile.
Step stepToUnloadModel( const ResidencyState& state, const std::string& model, MonoTime now ) {
    const bool busy = usageOf( state.models, model ).running > 0;
    const bool waited = state.retiring == model && now - state.retiringSince >= maxRetireTime;
    return { busy && !waited ? StepKind::retire : StepKind::unload, model, "" };
}

Step stepToLoadModel( const ResidencyState& state, const RequiredModel& required, MonoTime now ) {
    const auto& report = *state.report;
    const auto* spec = state.engine->find( required.model );
    if( spec == nullptr ) {
        return { StepKind::unknown, required.model, "" };
    }
    if( report.orderInProgress ) {
        return { StepKind::wait, required.model, "" };
    }
    const bool local =
        contains( report.inMemory, required.model ) || contains( report.onDisk, required.model );
    if( !local && !required.fromStore ) {
        return { StepKind::needsWeightStore, required.model, "" };
    }
    if( usedMb( *state.engine, report ) + spec->weightsMb <= state.engine->weightsMb ) {
        return { StepKind::load, required.model, "" };
    }
    const auto victim = modelToUnload( state, required.model, now );
    if( !victim ) {
        return { StepKind::noCapacity, required.model, "" };
    }
    return stepToUnloadModel( state, *victim, now );
}

Step stepToLoadAdapter( const ResidencyState& state, const RequiredModel& required, MonoTime now ) {
    // While an order for a model is under way the engine accepts none for adapters either.
    const auto& report = *state.report;
    const auto key = adapterKey( required.model, required.adapter );
    if( report.orderInProgress || contains( report.loadingAdapters, key ) ) {
        return { StepKind::wait, required.model, required.adapter };
    }
    const bool hasFreeSlot =
        adapterCount( report ) < static_cast<std::size_t>( state.engine->adapterSlots );
    const bool hasFreeMemory =
        usedMb( *state.engine, report ) + adapterWeightMb( *state.engine, required.model ) <=
        state.engine->weightsMb;
    if( hasFreeSlot && hasFreeMemory ) {
        return report.loadingAdapters.size() < maxLoadingAdapters
                   ? Step{ StepKind::load, required.model, required.adapter }
                   : Step{ StepKind::wait, required.model, required.adapter };
    }
    if( const auto victim = adapterToUnload( state, now ) ) {
        return *victim;
    }
    return { StepKind::noCapacity, required.model, required.adapter };
}

} // namespace

bool hasAdapterCapacity( const ResidencyState& state, MonoTime now ) {
    const auto slots = static_cast<std::size_t>( state.engine->adapterSlots );
    return adapterCount( *state.report ) < slots || adapterToUnload( state, now ).has_value();
}

std::string adapterKey( std::string_view model, std::string_view adapter ) {
    std::string out( model );
    out += '/';
    out += adapter;
    return out;
}

double usedMb( const EngineSpec& engine, const EngineReport& report ) {
    double out = 0;
    for( const auto& it : report.residents ) {
        out += modelWeightMb( engine, it.model );
        out += adapterWeightMb( engine, it.model ) * static_cast<double>( it.adapters.size() );
    }
    for( const auto& it : report.loadingAdapters ) {
        out += adapterWeightMb( engine, std::string_view( it ).substr( 0, it.find( '/' ) ) );
    }
    return out;
}

void removeFinishedUnloads( std::vector<PendingUnload>& unloads, const EngineReport& report,
                            MonoTime now ) {
    std::erase_if( unloads, [&]( const PendingUnload& it ) {
        const auto* resident = findModel( report, it.model );
        if( resident == nullptr ) {
            return true;
        }
        if( it.adapter.empty() ) {
            return !report.orderInProgress;
        }
        return !contains( resident->adapters, it.adapter ) || now - it.since > adapterUnloadLimit;
    } );
}

bool isUnloading( const std::vector<PendingUnload>& unloads, std::string_view model,
                  std::string_view adapter ) {
    return std::any_of( unloads.begin(), unloads.end(), [&]( const PendingUnload& it ) {
        return it.model == model && ( it.adapter.empty() || it.adapter == adapter );
    } );
}

std::vector<Resident> availableResidents( const std::vector<Resident>& residents,
                                          const std::vector<PendingUnload>& unloads,
                                          std::string_view retiring ) {
    std::vector<Resident> out;
    for( const auto& it : residents ) {
        if( it.model == retiring || isUnloading( unloads, it.model, "" ) ) {
            continue;
        }
        out.push_back( it );
        std::erase_if( out.back().adapters, [&]( const std::string& adapter ) {
            return isUnloading( unloads, it.model, adapter );
        } );
    }
    return out;
}

Step nextStep( const ResidencyState& state, const RequiredModel& required, MonoTime now ) {
    const auto* resident = findModel( *state.report, required.model );
    if( resident != nullptr && isUnloading( state.unloads, required.model, required.adapter ) ) {
        return { StepKind::unloading, required.model, required.adapter };
    }
    if( resident == nullptr ) {
        return stepToLoadModel( state, required, now );
    }
    if( required.adapter.empty() || contains( resident->adapters, required.adapter ) ) {
        return { StepKind::ready, required.model, required.adapter };
    }
    return stepToLoadAdapter( state, required, now );
}

} // namespace coursehead::sidecar
