// SPDX-License-Identifier: BSL-1.0
// The software version at which a stream goes on, within one answer and over a client's attempts.
#include "coursehead/kernel/log.hpp"
#include "gateway/exchange/exchange.hpp"
#include "gateway/exchange/status.hpp"
#include "gateway/exchange/transfer.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! An origin is kept this much longer than its client waits.
constexpr Millis originMargin{ 1000 };

constexpr std::string_view unknownVersion = "unknown";

bool leadsTo( const Route& route, const std::string& service ) {
    return std::any_of( route.splits.begin(), route.splits.end(),
                        [&]( const auto& it ) { return it.service == service; } );
}

} // namespace

net::Task<bool> Exchange::findOrigin() {
    const bool resumes = m_route->kind == RequestKind::stream && m_request.head.resumes;
    if( !resumes ) {
        co_return true;
    }
    const auto since = MonoClock::now();
    ResumeVersion found;
    if( m_shared.origins != nullptr ) {
        std::string service = m_service;
        std::string beganAs = m_request.head.streamBeganAs;
        found = co_await m_shared.origins->find( std::move( service ), std::move( beganAs ) );
    }
    const auto began = found.began.value_or( decide::StreamVersion{} );
    const bool mayGoOn = found.began && leadsTo( *m_route, began.service );
    log::info( "stream_resumed", { { "id", m_request.head.requestId },
                                   { "began_as", m_request.head.streamBeganAs },
                                   { "outcome", mayGoOn ? "goes_on" : "refused" },
                                   { "source", found.source },
                                   { "service", began.service },
                                   { "version", began.version },
                                   { "asked", static_cast<std::int64_t>( found.asked ) },
                                   { "may_become_known", found.mayBecomeKnown ? "yes" : "no" },
                                   { "took_ms", millisBetween( since, MonoClock::now() ) } } );
    if( mayGoOn ) {
        m_service = began.service;
        m_need.softwareVersion = began.version;
        co_return true;
    }
    std::string reason = found.began ? "the route no longer leads to the stream's service"
                                     : "the stream's software version is not known";
    const auto retryAfter = found.mayBecomeKnown ? defaultRetryAfter : Millis{ 0 };
    co_await sendOwnAnswer( statusUnavailable, std::move( reason ), retryAfter );
    logEnd( "refused" );
    co_return false;
}

std::optional<std::string> Exchange::versionOf( const Node& node ) const {
    return m_startConfirmed ? node.certainVersion( MonoClock::now() ) : std::nullopt;
}

void Exchange::noteVersion( const Transfer& transfer ) {
    m_lastVersion = transfer.softwareVersion.value_or( std::string( unknownVersion ) );
    if( m_timeToFirstEvent ) {
        return;
    }
    m_firstVersion = m_lastVersion;
    const auto& head = m_request.head;
    if( head.resumes || !m_route->resumable ) {
        return;
    }
    m_versionUnknown = !transfer.softwareVersion;
    m_need.softwareVersion = transfer.softwareVersion;
    if( m_versionUnknown || m_shared.origins == nullptr || head.requestId.empty() ) {
        return;
    }
    const auto until = m_request.arrived + head.deadline.value_or( m_route->timeout );
    m_shared.origins->noteBegan( head.requestId, { m_service, *transfer.softwareVersion },
                                 remaining( MonoClock::now(), until ) + originMargin );
}

} // namespace coursehead::gateway
