// SPDX-License-Identifier: BSL-1.0
#include "gateway/poison_guard.hpp"

#include "coursehead/kernel/log.hpp"
#include "decide/fingerprint.hpp"

namespace coursehead::gateway {

namespace {

//! An ended process refuses at once; a VM without power says nothing.
constexpr Millis probeLimit{ 300 };
//! A link in between may accept for an upstream that has ended, and close at once.
constexpr Millis probeStays{ 60 };
//! Others see an engine's end, or its next start, within this.
constexpr Millis othersSee{ 1000 };
//! Broken runs told of one upstream: its places, and as many that waited.
constexpr std::size_t mostRuns = 128;
//! Contents that a line names.
constexpr std::size_t mostLogged = 8;

std::string namesOf( std::span<const decide::InterruptedRun> runs ) {
    std::string out;
    for( const auto& it : runs.first( std::min( runs.size(), mostLogged ) ) ) {
        out += ( out.empty() ? "" : "," ) + decide::fingerprintText( it.fingerprint );
    }
    return out;
}

} // namespace

PoisonGuard::PoisonGuard( net::asio::io_context& context, Fleet& fleet, metrics::Metrics& metrics )
    : m_context( context ), m_fleet( fleet ), m_metrics( metrics ) {
    m_fleet.onQuarantines( [this]( const decide::QuarantineUpdate& news ) {
        applyUpdate( news.entries, "sidecar" );
    } );
}

void PoisonGuard::noteBroken( const NodePtr& node, decide::Fingerprint fingerprint,
                              double weight ) {
    // Of an upstream that was about to leave nothing can be concluded.
    const bool leaving = node->leaving() || node->leavesAt;
    // Sends that were under way when their content was quarantined show nothing new.
    const bool known = holdLeft( fingerprint, MonoClock::now() ).count() > 0;
    if( leaving || known || m_whole.consume( fingerprint ) ) {
        return;
    }
    auto [it, first] = m_broken.try_emplace( node->upstream.id );
    if( it->second.size() < mostRuns ) {
        it->second.push_back( { fingerprint, weight, m_quarantines.times( fingerprint ) } );
    }
    if( first ) {
        net::start( m_context, settle( node ), "upstream's end" );
    }
}

void PoisonGuard::noteWhole( decide::Fingerprint fingerprint ) {
    m_whole.note( fingerprint );
    const bool suspected = m_book.clear( fingerprint );
    const bool quarantined = m_quarantines.times( fingerprint ) > 0;
    if( !suspected && !quarantined ) {
        return;
    }
    m_quarantines.clear( fingerprint );
    log::info( "poison_cleared", { { "fingerprint", decide::fingerprintText( fingerprint ) },
                                   { "quarantined", quarantined ? "yes" : "no" } } );
    for( const auto& it : holders( fingerprint, MonoClock::now() ) ) {
        it->send( Message( decide::PoisonCleared{ fingerprint } ) );
    }
}

net::Task<bool> PoisonGuard::hasEnded( const Node& node ) {
    const auto born = node.upstream.born;
    net::Socket socket( m_context );
    net::ErrorCode ec;
    const auto to = net::endpointOf( node.upstream.ip, node.upstream.port, ec );
    ec = co_await net::connect( socket, to, probeLimit );
    if( ec ) {
        co_return true;
    }
    net::SocketDeadline deadline( socket, MonoClock::now() + probeStays,
                                  net::DeadlineAction::cancel );
    co_await socket.async_wait( net::Socket::wait_read, net::tupled );
    if( !deadline.expired() ) {
        co_return true;
    }
    // Something listens there: the same start, or already the next one.
    const auto until = MonoClock::now() + othersSee;
    while( MonoClock::now() < until ) {
        const bool another = node.upstream.born != born;
        if( node.gone || node.replaced || another || !node.engineReachable ) {
            co_return true;
        }
        co_await net::pause( m_context, probeStays );
    }
    co_return false;
}

net::Task<> PoisonGuard::settle( NodePtr node ) {
    const bool ended = co_await hasEnded( *node );
    auto found = m_broken.extract( node->upstream.id );
    auto& runs = found.mapped();
    log::info( ended ? "upstream_ended" : "upstream_lives",
               { { "upstream", node->upstream.id },
                 { "broken", static_cast<std::int64_t>( runs.size() ) },
                 { "fingerprints", namesOf( runs ) } } );
    if( ended ) {
        m_metrics.count( "upstreams_ended" );
        tell( node->upstream.id, runs );
    }
}

std::vector<std::shared_ptr<SidecarLink>> PoisonGuard::holders( decide::Fingerprint fingerprint,
                                                                MonoTime now ) const {
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

void PoisonGuard::tell( const std::string& upstreamId,
                        std::span<const decide::InterruptedRun> runs ) {
    const auto now = MonoClock::now();
    std::map<std::shared_ptr<SidecarLink>, decide::PoisonEvidence> told;
    std::vector<decide::Quarantine> own;
    for( const auto& it : runs ) {
        if( const auto quarantine = m_book.note( it, upstreamId, now ) ) {
            own.push_back( *quarantine );
        }
        for( const auto& holder : holders( it.fingerprint, now ) ) {
            auto& evidence = told[holder];
            evidence.upstreamId = upstreamId;
            evidence.runs.push_back( it );
        }
    }
    for( auto& [holder, evidence] : told ) {
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
