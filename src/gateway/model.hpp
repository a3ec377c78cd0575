// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_MODEL_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_MODEL_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/part_fetch.hpp"
#include "decide/store_position.hpp"
#include "gateway/organisation.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

//! The data model of a gateway: configuration, upstreams and reports of engines.
namespace coursehead::gateway {

//! A model that an engine service offers.
struct ModelSpec {
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;   //!< size of each adapter
    int adapters = 0;       //!< number of adapters that exist for the model
    Millis storeLoad{ 0 };  //!< load time from the weight store
    Millis diskLoad{ 0 };   //!< load time from the upstream's disk
    Millis memoryLoad{ 0 }; //!< load time from the upstream's host memory

    bool operator==( const ModelSpec& ) const = default;
};

//! The capacity of each engine of a service and the models that it offers.
struct EngineSpec {
    int slots = 0;                //!< requests that run at the same time
    std::int64_t cacheTokens = 0; //!< size of the KV cache, in tokens
    double weightsMb = 0;         //!< memory for weights and adapters together
    int adapterSlots = 0;
    double storeLoadsPerS = 0; //!< loads a second that the weight store permits, all upstreams
    std::vector<ModelSpec> models;
    decide::PartLink partLink; //!< for copying cached prompt parts between engines

    const ModelSpec* find( std::string_view model ) const;
    bool operator==( const EngineSpec& ) const = default;
};

//! A service that routes forward requests to.
struct Service {
    std::string name;
    int connectionLimit = 0;  //!< connections that an upstream accepts from all callers together
    Millis coldDuration{ 0 }; //!< an upstream is cold for this long after its start
    double coldPerS = 0;      //!< requests a second that a cold upstream can take
    std::shared_ptr<const EngineSpec> engine; //!< null for plain services
};

//! Whether a request of a route may be sent again.
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
    Millis timeout{ 0 };   //!< longest time for which a request may be held
    Millis goal{ 0 };      //!< an answer or first event within this has its full value
    Millis gapTarget{ 0 }; //!< longest pause between events that counts as in time
    int priority = 0;      //!< 0 is the highest
    int attempts = 1;      //!< upstreams that one request may be sent to
    bool resumable = false;
    bool keyless = false;                 //!< requests need no key
    std::vector<std::string> homeRegions; //!< requests are served in these only; empty: anywhere
    std::vector<Split> splits;

    //! True if a request may run more than once.
    bool idempotent() const noexcept { return kind == RequestKind::repeatable || resumable; }
};

//! Limits on the size of a client's requests and on the time it may take to send them.
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
    bool keyed = false; //!< requests need a key, except on keyless routes
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

//! When a process of an upstream was started, in Unix milliseconds by its own clock; 0: unknown.
//! Only comparable between starts of the same upstream.
using StartTime = std::int64_t;

//! True if a message about the start `messageStart` is outdated, because a later start is known
//! already.
inline bool isOlderStart( StartTime messageStart, StartTime knownStart ) noexcept {
    return messageStart != 0 && messageStart < knownStart;
}

//! True unless both start times are known and differ.
inline bool mayBeSameStart( StartTime a, StartTime b ) noexcept {
    return a == 0 || b == 0 || a == b;
}

//! An upstream as the platform lists it. It may restart under the same id and then has no state.
struct Upstream {
    std::string id;
    StartTime born = 0;
    decide::StorePosition created; //!< position in the store at which it was first listed
    std::string service;
    std::string ip;
    int port = 0;
    std::string hall;
    int slots = 1;
    UpstreamState state = UpstreamState::ready;
    std::optional<Millis> remaining; //!< time until it stops; set if it stops at short notice
    Millis cold{ 0 };                //!< remaining time for which it is cold, by its entry
    std::vector<Resident> residents;
    //! Version of the upstream's software, not of its models' weights; versions have no order.
    //! Empty: the entry names none. Nullopt: not known yet for this start.
    std::optional<std::string> softwareVersion{ "" };
};

//! A request that an engine runs.
struct EngineRun {
    std::string id;
    std::int64_t events = 0; //!< events produced so far

    bool operator==( const EngineRun& ) const = default;
};

//! The state of an engine, as it reports it.
struct EngineReport {
    StartTime born = 0;
    std::vector<Resident> residents;
    std::vector<std::string> loadingAdapters; //!< MODEL/NAME
    std::vector<std::string> onDisk;
    std::vector<std::string> inMemory;
    bool orderInProgress = false;
    std::uint64_t sequence = 0; //!< number of orders accepted
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    //! Running requests without an event yet, whose prompts are being read.
    std::uint32_t prefilling = 0;
    std::int64_t cacheUsed = 0;
    std::int64_t cacheTotal = 0;
    std::vector<EngineRun> runs; //!< not forwarded to gateways

    bool operator==( const EngineReport& ) const = default;
};

//! One part of a prompt; equal ids mean equal tokens.
struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

//! The parameters of a generation, as stated by its request.
struct Generation {
    std::string model;
    std::string adapter; //!< empty: none
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    std::vector<PromptPart> parts;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_MODEL_HPP_INCLUDED
