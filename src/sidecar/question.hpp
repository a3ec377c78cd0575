// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_QUESTION_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_QUESTION_HPP_INCLUDED

#include "gateway/messages.hpp"
#include "net/frame_channel.hpp"
#include "sidecar/residency.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace coursehead::sidecar {

//! One connected gateway.
struct Peer {
    std::shared_ptr<net::FrameChannel> channel;
    std::string gateway;
    std::map<std::string, gateway::ModelDemand> demand; //!< by model
    double reading = 0;              //!< part of the engine's time that its prompts take
    gateway::EngineSpecKey spec = 0; //!< description of the engine that it has
    int gateways = 1;                //!< as many as it knows to be about
    std::uint64_t serial = 0;        //!< of the connection
};
using PeerPtr = std::shared_ptr<Peer>;

//! What a gateway waits for: a model or adapter, then leave to send a prompt.
struct PendingEnsure {
    RequiredModel required;
    std::string upstreamId;
    std::weak_ptr<Peer> peer;
    std::uint64_t number = 0; //!< as the gateway counts
    std::uint64_t key = 0;    //!< among the questions of all connections
    gateway::PendingPrompt prompt;
    MonoTime since;
    Millis limit{ 0 };   //!< the gateway waits no longer
    bool loaded = false; //!< something had to be ordered or waited for
};

//! Names a question among those of all connections.
inline std::uint64_t keyOf( const Peer& peer, std::uint64_t number ) {
    constexpr unsigned serialShift = 40;
    return ( peer.serial << serialShift ) | number;
}

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_QUESTION_HPP_INCLUDED
