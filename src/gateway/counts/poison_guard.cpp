// SPDX-License-Identifier: BSL-1.0
#include "gateway/counts/poison_guard.hpp"

#include "coursehead/kernel/log.hpp"
#include "decide/fingerprint.hpp"

namespace coursehead::gateway {

namespace {

//! The VM of a process that has ended refuses connections at once; a VM without power does not
//! answer.
constexpr Millis probeTimeout{ 300 };
//! A proxy on the path may accept a connection to an upstream that has ended and then close it at
//! once. A connection that stays open this long counts as accepted by the upstream.
constexpr Millis openConnectionWait{ 60 };
//! The sidecar's reports or the store show an engine's end or next start within this time.
constexpr Millis endVisibleWithin{ 1000 };
//! Broken runs kept for one upstream: as many as it has slots, and as many requests that waited.
constexpr std::size_t maxBrokenRuns = 128;
//! Fingerprints listed in one log line.
constexpr std::size_t maxLoggedFingerprints = 8;

std::string fingerprintList( std::span<const decide::InterruptedRun> runs ) {
    std::string out;
    for( const auto& it : runs.first( std::min( runs.size(), maxLoggedFingerprints ) ) ) {
        out += ( out.empty() ? "" : "," ) + decide::fingerprintText( it.fingerprint );
    }
    return out;
}

} // namespace

PoisonGuard::PoisonGuard( net::asio::io_context& context, Fleet& fleet, metrics::Metrics& metrics )
    : m_context( context ), m_fleet( fleet ), m_metrics( metrics ) {
    m_fleet.onQuarantineUpdate( [this]( const decide::QuarantineUpdate& update ) {
        applyUpdate( update.entries, "sidecar" );
    } );
}

void PoisonGuard::noteBrokenRun( const NodePtr& node, decide::Fingerprint fingerprint,
                                 double weight ) {
    // An upstream that was about to shut down breaks connections whatever their content.
    const bool leaving = node->leaving() || node->leavesAt;
    // Sends that were in progress when their content was quarantined add no evidence.
    const bool alreadyQuarantined = quarantineLeft( fingerprint, MonoClock::now() ).count() > 0;
    if( leaving || alreadyQuarantined || m_completedRuns.consume( fingerprint ) ) {
        return;
    }
    auto [it, firstRun] = m_brokenRuns.try_emplace( node->upstream.id );
    if( it->second.size() < maxBrokenRuns ) {
        it->second.push_back( { fingerprint, weight, m_quarantines.times( fingerprint ) } );
    }
    if( firstRun ) {
        net::start( m_context, investigateBrokenRuns( node ), "upstream's end" );
    }
}

void PoisonGuard::noteCompletedRun( decide::Fingerprint fingerprint ) {
    m_completedRuns.note( fingerprint );
    const bool suspected = m_poisonCounter.clear( fingerprint );
    const bool quarantined = m_quarantines.times( fingerprint ) > 0;
    if( !suspected && !quarantined ) {
        return;
    }
    m_quarantines.clear( fingerprint );
    log::info( "poison_cleared", { { "fingerprint", decide::fingerprintText( fingerprint ) },
                                   { "quarantined", quarantined ? "yes" : "no" } } );
    for( const auto& it : evidenceHolders( fingerprint, MonoClock::now() ) ) {
        it->send( Message( decide::PoisonCleared{ fingerprint } ) );
    }
}

net::Task<bool> PoisonGuard::hasEnded( const Node& node ) {
    const auto born = node.upstream.born;
    net::Socket socket( m_context );
    net::ErrorCode ec;
    const auto to = net::endpointOf( node.upstream.ip, node.upstream.port, ec );
    ec = co_await net::connect( socket, to, probeTimeout );
    if( ec ) {
        co_return true;
    }
    net::SocketDeadline deadline( socket, MonoClock::now() + openConnectionWait,
                                  net::DeadlineAction::cancel );
    co_await socket.async_wait( net::Socket::wait_read, net::tupled );
    if( !deadline.expired() ) {
        co_return true;
    }
    // Some process listens there: the same one, or one that was started after it ended.
    const auto until = MonoClock::now() + endVisibleWithin;
    while( MonoClock::now() < until ) {
        const bool restarted = node.upstream.born != born;
        if( node.gone || node.replaced || restarted || !node.engineReachable ) {
            co_return true;
        }
        co_await net::pause( m_context, openConnectionWait );
    }
    co_return false;
}

net::Task<> PoisonGuard::investigateBrokenRuns( NodePtr node ) {
    const bool ended = co_await hasEnded( *node );
    auto found = m_brokenRuns.extract( node->upstream.id );
    auto& runs = found.mapped();
    log::info( ended ? "upstream_ended" : "upstream_lives",
               { { "upstream", node->upstream.id },
                 { "broken", static_cast<std::int64_t>( runs.size() ) },
                 { "fingerprints", fingerprintList( runs ) } } );
    if( ended ) {
        m_metrics.count( "upstreams_ended" );
        sendEvidence( node->upstream.id, runs );
    }
}

std::vector<std::shared_ptr<SidecarLink>>
PoisonGuard::evidenceHolders( decide::Fingerprint fingerprint, MonoTime now ) const {
    std::vector<std::string_view> ips;
    std::vector<std::shared_ptr<SidecarLink>> links;
    for( const auto& [id, node] : m_fleet.nodes() ) {
        if( node->sidecar && node->connectedToAllGateways &&
            node->sidecar->mayBeResponsive( now ) ) {
            ips.emplace_back( node->upstream.ip );
            links.push_back( node->sidecar );
        }
    }
    std::vector<std::shared_ptr<SidecarLink>> out;
    for( const auto n : decide::poisonHolders( fingerprint, ips ) ) {
        out.push_back( links[n] );
    }
    return out;
}

void PoisonGuard::sendEvidence( const std::string& upstreamId,
                                std::span<const decide::InterruptedRun> runs ) {
    const auto now = MonoClock::now();
    std::map<std::shared_ptr<SidecarLink>, decide::PoisonEvidence> evidenceByHolder;
    std::vector<decide::Quarantine> own;
    for( const auto& it : runs ) {
        if( const auto quarantine = m_poisonCounter.note( it, upstreamId, now ) ) {
            own.push_back( *quarantine );
        }
        for( const auto& holder : evidenceHolders( it.fingerprint, now ) ) {
            auto& evidence = evidenceByHolder[holder];
            evidence.upstreamId = upstreamId;
            evidence.runs.push_back( it );
        }
    }
    for( auto& [holder, evidence] : evidenceByHolder ) {
        holder->send( Message( std::move( evidence ) ) );
    }
    applyUpdate( own, "own" );
}

void PoisonGuard::applyUpdate( std::span<const decide::Quarantine> entries,
                               std::string_view from ) {
    const auto now = MonoClock::now();
    for( const auto& it : entries ) {
        if( !m_quarantines.put( it, now ) ) {
            continue;
        }
        m_metrics.count( "quarantines", from );
        log::info( "quarantine", { { "fingerprint", decide::fingerprintText( it.fingerprint ) },
                                   { "from", from },
                                   { "times", static_cast<std::int64_t>( it.times ) },
                                   { "hold_ms", it.holdMs } } );
    }
}

} // namespace coursehead::gateway
