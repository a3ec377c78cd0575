// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_PENDING_ENSURE_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_PENDING_ENSURE_HPP_INCLUDED

#include "decide/return_places.hpp"
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
    std::string hall;                                   //!< of the gateway
    std::map<std::string, gateway::ModelDemand> demand; //!< by model
    double readingShare = 0;            //!< share of the engine's time that its prompts take
    gateway::EngineSpecKey spec = 0;    //!< key of the engine specification that it holds
    int gatewayCount = 1;               //!< number of running gateways that it knows of
    bool atCapacity = false;            //!< it has more work than it can carry
    std::uint64_t connectionNumber = 0; //!< number of the connection, unique in this process
};
using PeerPtr = std::shared_ptr<Peer>;

//! An ensure request of a gateway that is not answered yet: it waits for a model or adapter to be
//! resident, then for its prompt to be admitted.
struct PendingEnsure {
    RequiredModel required;
    std::string upstreamId;
    std::weak_ptr<Peer> peer;
    std::uint64_t number = 0; //!< the gateway's own number of the request
    std::uint64_t key = 0;    //!< unique over all connections
    gateway::PendingPrompt prompt;
    MonoTime since;
    Millis limit{ 0 };       //!< longest wait, counted from `since`
    bool neededLoad = false; //!< the model or adapter was not resident at first
    //! When the model or adapter could be there, if the ensure is refused because that is too late.
    Millis loadWait{ 0 };
    //! Whether its content has a place on return, and came at the time that its client was told.
    decide::ReturnVerdict returned = decide::ReturnVerdict::unknown;
    Millis returnIn{ 0 };    //!< time until a place on return opens
    Millis placeHeld{ 0 };   //!< a place on return is held for this long; 0: none
    bool fetchParts = false; //!< the engine is to fetch the prompt's parts from `prompt.cachedAt`
    //! Why its prompt is not admitted, for the answer.
    decide::PromptRefusal refusal = decide::PromptRefusal::none;
};

//! A key for an ensure request that is unique over all connections.
inline std::uint64_t ensureKey( const Peer& peer, std::uint64_t number ) {
    constexpr unsigned connectionShift = 40;
    return ( peer.connectionNumber << connectionShift ) | number;
}

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_PENDING_ENSURE_HPP_INCLUDED
