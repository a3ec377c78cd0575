// SPDX-License-Identifier: BSL-1.0
#include "sidecar/engine_client.hpp"

#include "coursehead/kernel/log.hpp"
#include "platform/headers.hpp"

#include <algorithm>

namespace coursehead::sidecar {

namespace {

//! The engine runs on the same VM, so one that takes longer to answer is stopped or gone.
constexpr Millis reportLimit{ 300 };
constexpr Millis orderLimit{ 400 };
constexpr unsigned statusOk = 200;
//! Largest length of a problem in the log, because it quotes the invalid value.
constexpr std::size_t maxDetailLength = 200;

} // namespace

void EngineClient::identify( net::JsonCall& call ) {
    call.repeatedHeader = std::string( platform::requestIdHeaderName() );
    call.headers.emplace_back( call.repeatedHeader,
                               std::to_string( m_startedAt ) + "-" + std::to_string( ++m_calls ) );
}

net::Task<std::optional<gateway::EngineReport>> EngineClient::report() {
    net::JsonCall call;
    call.target = std::string( platform::reportPath );
    call.limit = reportLimit;
    identify( call );
    const auto answer = co_await m_http.call( call );
    if( answer.outcome != net::CallOutcome::answered || answer.status != statusOk ) {
        co_return std::nullopt;
    }
    std::string problem;
    auto out = platform::readEngineReport( answer.body, &problem );
    problem.resize( std::min( problem.size(), maxDetailLength ) );
    if( !out && problem != m_loggedProblem ) {
        log::warn( "report_unreadable", { { "detail", problem } } );
    }
    m_loggedProblem = std::move( problem );
    co_return out;
}

net::Task<EngineClient::OrderAnswer> EngineClient::sendOrder( platform::Order order,
                                                              std::string upstreamId ) {
    net::JsonCall call;
    call.method = "POST";
    call.target = std::string( platform::orderPath );
    call.body = platform::encodeOrder( order );
    call.headers.emplace_back( std::string( platform::expectedUpstreamHeader() ), upstreamId );
    call.limit = orderLimit;
    identify( call );
    call.responseHeader = std::string( platform::actualUpstreamHeader() );
    const auto answer = co_await m_http.call( call );
    OrderAnswer out;
    switch( answer.outcome ) {
    case net::CallOutcome::answered:
        out.verdict = platform::orderVerdict( answer.status );
        out.actualUpstream = answer.responseHeader;
        break;
    case net::CallOutcome::notSent:
        out.verdict = platform::OrderVerdict::refused;
        break;
    case net::CallOutcome::unknown:
        break;
    }
    co_return out;
}

} // namespace coursehead::sidecar
