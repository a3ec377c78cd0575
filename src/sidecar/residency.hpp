// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_RESIDENCY_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_RESIDENCY_HPP_INCLUDED

#include "gateway/model.hpp"

#include <map>
#include <string>
#include <string_view>

//! Which order an engine gets next, so that wanted models and adapters become ready.
namespace coursehead::sidecar {

//! How much a model or adapter is used, as far as the sidecar knows.
struct Use {
    double perS = 0; //!< requests a second, all gateways together
    int copies = 1;  //!< upstreams that hold it
    int running = 0; //!< requests in flight for it here, as gateways say
    MonoTime lastUsed;
    MonoTime loadedAt;
};

//! What the decision rests on.
struct Holdings {
    const gateway::EngineSpec* engine = nullptr;
    const gateway::EngineReport* report = nullptr;
    std::map<std::string, Use, std::less<>> models;
    std::map<std::string, Use, std::less<>> adapters; //!< by MODEL/NAME
    std::string retiring;                             //!< model that gets no new requests; or empty
    MonoTime retiringSince;
};

//! A model, or an adapter of it, that a request waits for.
struct Want {
    std::string model;
    std::string adapter;    //!< empty: the model alone
    bool fromStore = false; //!< the weight store may be used

    bool operator==( const Want& ) const = default;
};

enum class StepKind {
    ready,     //!< it is there
    wait,      //!< an order under way has to end first
    load,      //!< order to load `model` or `adapter`
    unload,    //!< order to unload `model` or `adapter`, to make room
    retire,    //!< send no more requests for `model`: it makes way when those running have ended
    noRoom,    //!< nothing may make way now
    needStore, //!< only the weight store has it, and that may not be used
    unknown,   //!< the engine does not offer it
};
struct Step {
    StepKind kind = StepKind::wait;
    std::string model;
    std::string adapter;
};

//! The next step towards a want.
Step nextStep( const Holdings& holdings, const Want& want, MonoTime now );

//! Weights and adapters that the engine holds or is taking in, in megabytes.
double usedMb( const gateway::EngineSpec& engine, const gateway::EngineReport& report );

//! True when another adapter could be loaded without waiting for running requests to end.
bool adapterRoom( const Holdings& holdings, MonoTime now );

std::string adapterKey( std::string_view model, std::string_view adapter );

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_RESIDENCY_HPP_INCLUDED
