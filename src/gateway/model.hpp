// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_MODEL_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_MODEL_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/store_position.hpp"
#include "gateway/organisation.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

//! What the forwarding front knows: configuration, upstreams and what upstreams report.
namespace coursehead::gateway {

//! A model that an engine service offers.
struct ModelSpec {
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;   //!< of each adapter
    int adapters = 0;       //!< how many exist
    Millis storeLoad{ 0 };  //!< load time from the weight store
    Millis diskLoad{ 0 };   //!< load time from the upstream's disk
    Millis memoryLoad{ 0 }; //!< load time from the upstream's host memory

    bool operator==( const ModelSpec& ) const = default;
};

//! What each engine of a service is built like.
struct EngineSpec {
    int slots = 0;                //!< requests run at once
    std::int64_t cacheTokens = 0; //!< KV memory, in tokens
    double weightsMb = 0;         //!< room for weights and adapters together
    int adapterSlots = 0;
    double storeLoadsPerS = 0; //!< loads a second that the weight store allows to all upstreams
    std::vector<ModelSpec> models;

    const ModelSpec* find( std::string_view model ) const;
    bool operator==( const EngineSpec& ) const = default;
};

//! A service that routes lead to.
struct Service {
    std::string name;
    int connectionLimit = 0;  //!< connections an upstream accepts from all callers together
    Millis coldDuration{ 0 }; //!< an upstream is cold for so long after its start
    double coldPerS = 0;      //!< requests a second that one bears while it is cold
    std::shared_ptr<const EngineSpec> engine; //!< null for plain services
};

//! What may be done with a request of a route once it was sent.
enum class RequestKind {
    repeatable, //!< may run more than once
    once,       //!< may run at most once
    stream,     //!< a stream of events; at most once unless the route says resumable
};

struct Split {
    std::string service;
    int weight = 0;
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::once;
    Millis timeout{ 0 };   //!< the longest a request may be held
    Millis goal{ 0 };      //!< an answer (or first event) within it has its full value
    Millis gapTarget{ 0 }; //!< longest pause between events that still counts as in time
    int priority = 0;      //!< 0 is the highest
    int attempts = 1;      //!< upstreams that one request may go to
    bool resumable = false;
    bool keyless = false;                 //!< needs no key
    std::vector<std::string> homeRegions; //!< served in these only; empty: anywhere
    std::vector<Split> splits;

    //! True when a second run does no harm.
    bool idempotent() const noexcept { return kind == RequestKind::repeatable || resumable; }
};

//! Bounds on what a client may send, and how long it may take.
struct ClientLimits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4U << 20U;
    Millis headerTime{ 3000 };
    Millis idleTime{ 15000 };
};

struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    bool keyed = false; //!< requests carry keys, but for those on keyless routes
    std::vector<Organisation> organisations;
    ClientLimits limits;
};

enum class UpstreamState { ready, draining };

//! A model that an upstream holds, with the adapters loaded for it.
struct Resident {
    std::string model;
    std::vector<std::string> adapters;

    bool operator==( const Resident& ) const = default;
};

//! When a start of an upstream began, in Unix milliseconds by its own clock; 0: not told. Compared
//! between starts of one upstream only.
using StartTime = std::int64_t;

//! True when something about one start is older than what is known: it comes too late.
inline bool isOlderStart( StartTime told, StartTime known ) noexcept {
    return told != 0 && told < known;
}

//! An upstream as the platform lists it. It may start again under its id, and knows nothing then.
struct Upstream {
    std::string id;
    StartTime born = 0;
    decide::StorePosition created; //!< in the store, at which it was first listed
    std::string service;
    std::string ip;
    int port = 0;
    std::string hall;
    int slots = 1;
    UpstreamState state = UpstreamState::ready;
    std::optional<Millis> remaining; //!< given when it leaves at short notice
    Millis cold{ 0 };                //!< it stays cold for so much longer, by its entry
    std::vector<Resident> residents;
};

//! A request that an engine runs.
struct EngineRun {
    std::string id;
    std::int64_t events = 0; //!< made so far

    bool operator==( const EngineRun& ) const = default;
};

//! What an engine tells about itself.
struct EngineReport {
    StartTime born = 0;
    std::vector<Resident> residents;
    std::vector<std::string> loadingAdapters; //!< adapters on their way: MODEL/NAME
    std::vector<std::string> onDisk;
    std::vector<std::string> inMemory;
    bool orderInProgress = false; //!< an order is under way
    std::uint64_t sequence = 0;   //!< orders taken
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t prefilling =
        0; //!< running requests without an event yet: their prompts are being read
    std::int64_t cacheUsed = 0;
    std::int64_t cacheTotal = 0;
    std::vector<EngineRun> runs; //!< not passed on to gateways

    bool operator==( const EngineReport& ) const = default;
};

//! One part of a prompt; equal ids mean equal tokens.
struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

//! What a request says of the generation it asks for.
struct Generation {
    std::string model;
    std::string adapter; //!< empty: none
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    std::vector<PromptPart> parts;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_MODEL_HPP_INCLUDED
