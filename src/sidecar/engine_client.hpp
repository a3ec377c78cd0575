// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_ENGINE_CLIENT_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_ENGINE_CLIENT_HPP_INCLUDED

#include "net/json_client.hpp"
#include "platform/wire.hpp"

#include <optional>
#include <string>

namespace coursehead::sidecar {

//! Calls to the engine on this VM, one at a time.
class EngineClient {
public:
    EngineClient( net::asio::io_context& context, const platform::Endpoint& engine )
        : m_http( context, engine.ip, engine.port ) {}

    //! The engine's report of itself; nullopt when it does not answer.
    net::Task<std::optional<gateway::EngineReport>> report();
    //! How an order was taken.
    struct Given {
        platform::OrderVerdict verdict = platform::OrderVerdict::unknown;
        std::string actualUpstream; //!< with `moved`: the engine's present start, when it says so
    };
    //! Gives an order that only the named start of the engine takes.
    net::Task<Given> give( platform::Order order, std::string upstreamId );

private:
    net::JsonClient m_http;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_ENGINE_CLIENT_HPP_INCLUDED
