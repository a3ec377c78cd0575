// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_RESIDENCY_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_RESIDENCY_HPP_INCLUDED

#include "gateway/model.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

//! Chooses the next order for an engine, so that required models and adapters become resident.
namespace coursehead::sidecar {

//! How much a model or adapter is used, as far as the sidecar knows.
struct Usage {
    double perS = 0; //!< requests a second of all gateways together
    int copies = 1;  //!< upstreams that hold it
    int running = 0; //!< requests for it in flight at this engine, as reported by gateways
    MonoTime lastUsed;
    MonoTime loadedAt;
};

/**
 * A model or adapter whose unload was ordered and is not yet known to be complete or lost. The
 * engine unloads it when the runs that use it have ended, and refuses new runs for it until then;
 * meanwhile its reports still list it as resident. Requests sent to it in that time are refused:
 * they were 270 of the 290 refusals by engines on a loaded day.
 */
struct PendingUnload {
    std::string model;
    std::string adapter; //!< empty: the model itself
    MonoTime since;      //!< when the order was sent
};
//! Removes the unloads that a report shows to be complete or lost. The report must have been
//! requested after the orders were sent.
void removeFinishedUnloads( std::vector<PendingUnload>& unloads,
                            const gateway::EngineReport& report, MonoTime now );
bool isUnloading( const std::vector<PendingUnload>& unloads, std::string_view model,
                  std::string_view adapter );
//! The residents that requests may still be sent for: without those being unloaded and without the
//! retiring model.
std::vector<gateway::Resident> availableResidents( const std::vector<gateway::Resident>& residents,
                                                   const std::vector<PendingUnload>& unloads,
                                                   std::string_view retiring );

//! Input of the decision: the engine's contents, their use, and the changes under way.
struct ResidencyState {
    const gateway::EngineSpec* engine = nullptr;
    const gateway::EngineReport* report = nullptr;
    std::map<std::string, Usage, std::less<>> models;
    std::map<std::string, Usage, std::less<>> adapters; //!< by MODEL/ADAPTER
    std::string retiring; //!< model that is sent no new requests; empty: none
    MonoTime retiringSince;
    std::vector<PendingUnload> unloads; //!< under way; they still occupy memory
};

//! The model, and the adapter of it if any, that a request requires.
struct RequiredModel {
    std::string model;
    std::string adapter;    //!< empty: only the model
    bool fromStore = false; //!< loading from the weight store is allowed

    bool operator==( const RequiredModel& ) const = default;
};

enum class StepKind {
    ready,            //!< resident
    unloading,        //!< being unloaded: requests are neither admitted nor queued for it
    wait,             //!< an order under way has to finish first
    load,             //!< order to load `model` or `adapter`
    unload,           //!< order to unload `model` or `adapter`, to free capacity
    retire,           //!< stop new requests for `model`; unload it when its runs have ended
    noCapacity,       //!< nothing may be unloaded now
    needsWeightStore, //!< only the weight store has it, and loading from there is not allowed
    unknown,          //!< the engine's service does not offer the model
};
struct Step {
    StepKind kind = StepKind::wait;
    std::string model;
    std::string adapter;
};

//! The next step towards making the required model or adapter resident.
Step nextStep( const ResidencyState& state, const RequiredModel& required, MonoTime now );

//! Memory taken by weights and adapters that are resident or loading, in megabytes.
double usedMb( const gateway::EngineSpec& engine, const gateway::EngineReport& report );

//! True when another adapter can be loaded without waiting for running requests to end.
bool hasAdapterCapacity( const ResidencyState& state, MonoTime now );

//! MODEL/ADAPTER, as engines report adapters that are loading.
std::string adapterKey( std::string_view model, std::string_view adapter );

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_RESIDENCY_HPP_INCLUDED
