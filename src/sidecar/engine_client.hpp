// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_ENGINE_CLIENT_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_ENGINE_CLIENT_HPP_INCLUDED

#include "net/json_client.hpp"
#include "platform/wire.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace coursehead::sidecar {

//! Client of the engine on this VM; makes one call at a time.
class EngineClient {
public:
    EngineClient( net::asio::io_context& context, const platform::Endpoint& engine )
        : m_http( context, engine.ip, engine.port ), m_startedAt( systemClock().wall() ) {}

    //! Requests the engine's report; nullopt when the engine does not answer, or its
    //! report can't be read.
    net::Task<std::optional<gateway::EngineReport>> report();
    //! The engine's answer to an order.
    struct OrderAnswer {
        platform::OrderVerdict verdict = platform::OrderVerdict::unknown;
        std::string actualUpstream; //!< with `moved`: id of the engine's present start, if given
    };
    //! Sends an order that only the named start of the engine accepts.
    net::Task<OrderAnswer> sendOrder( platform::Order order, std::string upstreamId );

private:
    //! Gives a call an id of its own, which its answer repeats.
    void identify( net::JsonCall& call );

    net::JsonClient m_http;
    WallMillis m_startedAt; //!< tells the ids of this process from those of the one before
    std::uint64_t m_calls = 0;
    std::string m_loggedProblem; //!< of the last report; empty if it could be read
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_ENGINE_CLIENT_HPP_INCLUDED
