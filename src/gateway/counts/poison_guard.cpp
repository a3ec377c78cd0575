// SPDX-License-Identifier: BSL-1.0
#include "gateway/counts/poison_guard.hpp"

#include "coursehead/kernel/log.hpp"
#include "decide/fingerprint.hpp"
#include "gateway/counts/evidence_holders.hpp"

#include <algorithm>

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
constexpr Millis endCheckInterval{ 20 };
//! By then the sidecars' verdict on the contents has arrived.
constexpr Millis contentVerdictTime{ 50 };
//! Without its sidecar an upstream's end shows when its entry in the store lapses.
constexpr Millis endShownWithin{ 8000 };
//! Broken runs kept for one upstream: as many as it has slots, and as many requests that waited.
constexpr std::size_t maxBrokenRuns = 128;
constexpr std::size_t maxBrokenParts = 512;
//! Fingerprints listed in one log line.
constexpr std::size_t maxLoggedFingerprints = 8;

std::string fingerprintList( std::span<const decide::InterruptedRun> runs ) {
    std::string out;
    for( const auto& it : runs.first( std::min( runs.size(), maxLoggedFingerprints ) ) ) {
        out += ( out.empty() ? "" : "," ) + decide::fingerprintText( it.fingerprint );
    }
    return out;
}

std::string partList( const std::map<decide::Fingerprint, std::set<decide::Fingerprint>>& parts ) {
    std::string out;
    std::size_t n = 0;
    for( const auto& [part, contents] : parts ) {
        if( n++ < maxLoggedFingerprints ) {
            out += ( out.empty() ? "" : "," ) + decide::fingerprintText( part );
        }
    }
    return out;
}

} // namespace

PoisonGuard::PoisonGuard( net::asio::io_context& context, Fleet& fleet, metrics::Metrics& metrics,
                          const platform::Endpoint& store )
    : m_context( context ), m_fleet( fleet ), m_metrics( metrics ),
      m_parts( context, fleet, metrics, store ) {
    m_fleet.onQuarantineUpdate( [this]( const decide::QuarantineUpdate& update ) {
        applyUpdate( update.entries, "sidecar" );
    } );
}

void PoisonGuard::noteBrokenRun( const NodePtr& node, const FinishedRun& run ) {
    // An upstream that was about to shut down breaks connections whatever their content.
    if( node->leaving() || node->leavesAt ) {
        return;
    }
    auto [it, firstRun] = m_brokenRuns.try_emplace( node->upstream.id );
    auto& broken = it->second;
    addEvidence( broken, run );
    if( firstRun ) {
        broken.since = run.endedAt;
        broken.born = node->upstream.born;
        net::start( m_context, investigateBrokenRuns( node ), "upstream's end" );
    }
}

void PoisonGuard::addEvidence( BrokenRuns& broken, const FinishedRun& run ) {
    if( m_parts.suspects( run.parts ) ) {
        broken.explained = true;
        return;
    }
    // Sends that were in progress when their content was quarantined add no evidence.
    const bool alreadyQuarantined = quarantineLeft( run.content, MonoClock::now() ).count() > 0;
    if( !alreadyQuarantined && !m_completedRuns.consume( run.content ) &&
        broken.runs.size() < maxBrokenRuns ) {
        broken.runs.push_back( { run.content, decide::evidenceWeight( run.eventsMs ),
                                 m_quarantines.times( run.content ) } );
    }
    if( run.partsSound ) {
        return;
    }
    for( const auto& part : run.parts ) {
        if( broken.parts.size() < maxBrokenParts ) {
            broken.parts[part.fingerprint].insert( run.content );
        }
    }
}

void PoisonGuard::noteCompletedRun( const FinishedRun& run ) {
    clearContent( run.content );
    if( run.succeeded ) {
        m_parts.noteSound( run.parts, run.begunAt );
    }
}

void PoisonGuard::clearContent( decide::Fingerprint fingerprint ) {
    m_completedRuns.note( fingerprint );
    const bool suspected = m_poisonCounter.clear( fingerprint );
    const bool quarantined = m_quarantines.times( fingerprint ) > 0;
    if( !suspected && !quarantined ) {
        return;
    }
    m_quarantines.clear( fingerprint );
    log::info( "poison_cleared", { { "fingerprint", decide::fingerprintText( fingerprint ) },
                                   { "kind", "content" },
                                   { "quarantined", quarantined ? "yes" : "no" } } );
    for( const auto& it : evidenceHolders( m_fleet, fingerprint, MonoClock::now() ) ) {
        it->send( Message( decide::PoisonCleared{ fingerprint } ) );
    }
}

void PoisonGuard::noteUnframedEnd( const NodePtr& node, const FinishedRun& run ) {
    std::vector<decide::SharedPart> parts( run.parts.begin(), run.parts.end() );
    net::start( m_context, watchUnframedEnd( node, run, std::move( parts ) ), "unframed answer" );
}

net::Task<> PoisonGuard::watchUnframedEnd( NodePtr node, FinishedRun run,
                                           std::vector<decide::SharedPart> parts ) {
    run.parts = parts;
    const auto until = run.endedAt + endVisibleWithin;
    const bool ended = co_await endShown( *node, node->upstream.born, until );
    if( ended ) {
        noteBrokenRun( node, run );
    } else {
        noteCompletedRun( run );
    }
}

net::Task<bool> PoisonGuard::endShown( const Node& node, StartTime born, MonoTime until ) {
    while( MonoClock::now() < until ) {
        const bool restarted = node.upstream.born != born;
        if( node.gone || node.replaced || restarted || !node.engineReachable ) {
            co_return true;
        }
        co_await net::pause( m_context, endCheckInterval );
    }
    co_return false;
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
    co_return co_await endShown( node, born, MonoClock::now() + endVisibleWithin );
}

net::Task<> PoisonGuard::investigateBrokenRuns( NodePtr node ) {
    const bool ended = co_await hasEnded( *node );
    auto found = m_brokenRuns.extract( node->upstream.id );
    const auto& broken = found.mapped();
    log::info( ended ? "upstream_ended" : "upstream_lives",
               { { "upstream", node->upstream.id },
                 { "broken", static_cast<std::int64_t>( broken.runs.size() ) },
                 { "fingerprints", fingerprintList( broken.runs ) },
                 { "parts", partList( broken.parts ) },
                 { "explained", broken.explained ? "yes" : "no" } } );
    if( !ended ) {
        co_return;
    }
    m_metrics.count( "upstreams_ended" );
    if( broken.explained ) {
        co_return;
    }
    sendEvidence( node->upstream.id, broken.runs );
    if( broken.parts.empty() ) {
        co_return;
    }
    const bool shown = co_await endShown( *node, broken.born, broken.since + endShownWithin );
    if( shown ) {
        co_await net::pause( m_context, contentVerdictTime );
        m_parts.reportEnd( node->upstream.id, unexplainedParts( broken ), broken.since );
    } else {
        log::info( "upstream_end_not_shown", { { "upstream", node->upstream.id } } );
    }
}

std::set<decide::Fingerprint> PoisonGuard::unexplainedParts( const BrokenRuns& broken ) const {
    const auto now = MonoClock::now();
    const auto mayBeSent = [&]( decide::Fingerprint content ) {
        return quarantineLeft( content, now ).count() == 0;
    };
    std::set<decide::Fingerprint> out;
    for( const auto& [part, contents] : broken.parts ) {
        if( std::any_of( contents.begin(), contents.end(), mayBeSent ) ) {
            out.insert( part );
        }
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
        for( const auto& holder : evidenceHolders( m_fleet, it.fingerprint, now ) ) {
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
        if( it.kind == decide::PoisonKind::part ) {
            m_parts.applyQuarantine( it, from );
            continue;
        }
        if( !m_quarantines.put( it, now ) ) {
            continue;
        }
        m_metrics.count( "quarantines", from );
        log::info( "quarantine", { { "fingerprint", decide::fingerprintText( it.fingerprint ) },
                                   { "kind", decide::poisonKindText( it.kind ) },
                                   { "from", from },
                                   { "times", static_cast<std::int64_t>( it.times ) },
                                   { "hold_ms", it.holdMs } } );
    }
}

} // namespace coursehead::gateway
