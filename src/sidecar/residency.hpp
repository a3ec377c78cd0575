// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_RESIDENCY_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_RESIDENCY_HPP_INCLUDED

#include "gateway/model.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

//! Which order an engine gets next, so that wanted models and adapters become ready.
namespace coursehead::sidecar {

//! How much a model or adapter is used, as far as the sidecar knows.
struct Usage {
    double perS = 0; //!< requests a second, all gateways together
    int copies = 1;  //!< upstreams that hold it
    int running = 0; //!< requests in flight for it here, as gateways say
    MonoTime lastUsed;
    MonoTime loadedAt;
};

/**
 * A model or adapter whose unload was ordered, and is not known to be done or lost. An engine
 * carries an unload out when the runs there have ended, and refuses new ones until then; its
 * reports go on listing what it unloads. Of 290 requests that engines refused on a loaded day 270
 * were sent to a model that its own sidecar had ordered out.
 */
struct PendingUnload {
    std::string model;
    std::string adapter; //!< empty: the model
    MonoTime since;
};
//! Forgets what a report shows to be done or lost; the report was asked for after the orders.
void removeFinishedUnloads( std::vector<PendingUnload>& unloads,
                            const gateway::EngineReport& report, MonoTime now );
bool isUnloading( const std::vector<PendingUnload>& unloads, std::string_view model,
                  std::string_view adapter );
//! Residents that requests may still be sent for: without those that make way.
std::vector<gateway::Resident> availableResidents( const std::vector<gateway::Resident>& residents,
                                                   const std::vector<PendingUnload>& unloads,
                                                   std::string_view retiring );

//! What the decision rests on.
struct ResidencyState {
    const gateway::EngineSpec* engine = nullptr;
    const gateway::EngineReport* report = nullptr;
    std::map<std::string, Usage, std::less<>> models;
    std::map<std::string, Usage, std::less<>> adapters; //!< by MODEL/NAME
    std::string retiring; //!< model that gets no new requests; or empty
    MonoTime retiringSince;
    std::vector<PendingUnload> unloads; //!< under way; their memory is still taken
};

//! A model, or an adapter of it, that a request waits for.
struct RequiredModel {
    std::string model;
    std::string adapter;    //!< empty: the model alone
    bool fromStore = false; //!< the weight store may be used

    bool operator==( const RequiredModel& ) const = default;
};

enum class StepKind {
    ready,      //!< it is there
    unloading,  //!< it is there, and on its way out: nobody is let in, or waits for it
    wait,       //!< an order under way has to end first
    load,       //!< order to load `model` or `adapter`
    unload,     //!< order to unload `model` or `adapter`, to make room
    retire,     //!< send no more requests for `model`: it makes way when those running have ended
    noCapacity, //!< nothing may make way now
    needsWeightStore, //!< only the weight store has it, and that may not be used
    unknown,          //!< the engine does not offer it
};
struct Step {
    StepKind kind = StepKind::wait;
    std::string model;
    std::string adapter;
};

//! The next step towards a want.
Step nextStep( const ResidencyState& holdings, const RequiredModel& required, MonoTime now );

//! Weights and adapters that the engine holds or is taking in, in megabytes.
double usedMb( const gateway::EngineSpec& engine, const gateway::EngineReport& report );

//! True when another adapter could be loaded without waiting for running requests to end.
bool hasAdapterCapacity( const ResidencyState& holdings, MonoTime now );

std::string adapterKey( std::string_view model, std::string_view adapter );

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_RESIDENCY_HPP_INCLUDED
