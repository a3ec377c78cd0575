// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_STATE_HPP_INCLUDED
#define COURSEHEAD_CONFIG_STATE_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

//! The operators' configuration: what exists, and where and how it may run.
namespace coursehead::config {

using Revision = std::uint64_t;

//! A model. Its weights are split evenly over `accelerators` of one runner.
struct Model {
    std::string name;
    std::uint64_t memory = 0;       //!< bytes on each of its accelerators, for weights
    std::uint64_t kv = 0;           //!< bytes on each of its accelerators, reserved for KV cache
    std::uint32_t accelerators = 1; //!< accelerators one copy spans
    std::uint32_t replicas = 1;     //!< copies the planner keeps at the least, where memory allows
    std::string version = "1";
    std::string requestClass = "standard";
};

//! An adapter of a model, loaded beside it.
struct Adapter {
    std::string name;
    std::string model;
    std::uint64_t memory = 0; //!< bytes on each of the model's accelerators
};

//! A plain service behind agents.
struct ServiceDefinition {
    std::string name;
    bool repeatable = true; //!< false: every call needs an idempotency key and runs at most once
    std::string requestClass = "standard";
};

//! A kind of upstream VM; an agent names the one it stands beside.
struct Upstream {
    std::string name;
    std::uint32_t accelerators = 0;
    std::uint64_t memory = 0;             //!< bytes an accelerator holds
    bool checksOrders = false;            //!< it refuses orders with an older fencing token
    std::uint32_t orderLatenessMs = 5000; //!< the latest an order can still take effect
};

//! A class of requests with its targets.
struct RequestClass {
    std::string name;
    std::uint32_t firstTokenMs = 610;
    std::uint32_t betweenTokensMs = 47;
    std::uint32_t priority = 0; //!< higher goes first and is shed last
};

//! What the planner weighs.
struct Weights {
    double attainment = 1.0; //!< worth of one more request answered within target
    double moves = 1.0;      //!< cost of one load, unload or shift
};

//! The owner of one slot of idempotency keys.
struct ClaimSlot {
    std::uint32_t slot = 0;
    std::string vm;
    //! The VM list's version in which the owner was seen. Only a list at least as new can prove
    //! that the owner is gone: an older one may not show it yet.
    std::uint64_t seen = 0;
};

//! Everything at one revision; each list is sorted by name.
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

//! The entry with that name, or nullptr.
template <typename T>
const T* findByName( const std::vector<T>& list, std::string_view name ) {
    for( const auto& it : list ) {
        if( it.name == name ) {
            return &it;
        }
    }
    return nullptr;
}

//! Bytes that a copy of the model takes on each of its accelerators.
inline std::uint64_t bytesPerAccelerator( const Model& model ) noexcept {
    return model.memory + model.kv;
}

//! The state as JSON text, and back; an empty optional-like failure is reported by `ok`.
std::string toText( const State& state );
bool fromText( std::string_view text, State& out );

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_STATE_HPP_INCLUDED
