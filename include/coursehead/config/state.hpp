// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_STATE_HPP_INCLUDED
#define COURSEHEAD_CONFIG_STATE_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

//! The operators' configuration: models, adapters, services and upstreams, and how they may run.
namespace coursehead::config {

using Revision = std::uint64_t;

//! A model. Its weights are split evenly over `accelerators` of one runner.
struct Model {
    std::string name;
    std::uint64_t memory = 0;       //!< bytes for weights on each of its accelerators
    std::uint64_t kv = 0;           //!< bytes reserved for KV cache on each of its accelerators
    std::uint32_t accelerators = 1; //!< accelerators that one copy spans
    std::uint32_t replicas = 1;     //!< the planner's minimum of copies, where memory allows
    std::string version = "1";
    std::string requestClass = "standard";
};

//! An adapter of a model, loaded on the same accelerators.
struct Adapter {
    std::string name;
    std::string model;
    std::uint64_t memory = 0; //!< bytes on each of the model's accelerators
};

//! A service that is not a model, called through agents.
struct ServiceDefinition {
    std::string name;
    bool repeatable = true; //!< false: every call needs an idempotency key and runs at most once
    std::string requestClass = "standard";
};

//! A kind of upstream VM; each agent reports the kind of its own upstream.
struct Upstream {
    std::string name;
    std::uint32_t accelerators = 0;
    std::uint64_t memory = 0;             //!< bytes of memory of each accelerator
    bool checksOrders = false;            //!< refuses orders with an older fencing token
    std::uint32_t orderLatenessMs = 5000; //!< orders can take effect up to this long after sending
};

//! A class of requests with its latency targets and its priority.
struct RequestClass {
    std::string name;
    std::uint32_t firstTokenMs = 610;
    std::uint32_t betweenTokensMs = 47;
    std::uint32_t priority = 0; //!< requests of higher priority are served first and shed last
};

//! The weights of the planner's objective.
struct Weights {
    double attainment = 1.0; //!< gain of one more request answered within its target
    double moves = 1.0;      //!< cost of one load, unload or move
};

//! The owner of one slot of idempotency keys.
struct ClaimSlot {
    std::uint32_t slot = 0;
    std::string vm;
    //! The version of the VM list in which the owner was seen. Only a list of at least this version
    //! can show that the owner is gone: an older list may not contain the owner yet.
    std::uint64_t seen = 0;
};

//! The complete configuration at one revision; each list is sorted by name, slots by number.
struct State {
    Revision revision = 0;
    std::vector<Model> models;
    std::vector<Adapter> adapters;
    std::vector<ServiceDefinition> services;
    std::vector<Upstream> upstreams;
    std::vector<RequestClass> classes;
    std::vector<ClaimSlot> slots;
    Weights weights;
};

//! Returns the object with that name, or nullptr.
template <typename T>
const T* findByName( const std::vector<T>& list, std::string_view name ) {
    for( const auto& it : list ) {
        if( it.name == name ) {
            return &it;
        }
    }
    return nullptr;
}

//! Returns the bytes that a copy of the model takes on each of its accelerators.
inline std::uint64_t bytesPerAccelerator( const Model& model ) noexcept {
    return model.memory + model.kv;
}

//! Converts the state to JSON text and parses it; fromText returns false when the text is invalid.
std::string toText( const State& state );
bool fromText( std::string_view text, State& out );

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_STATE_HPP_INCLUDED
