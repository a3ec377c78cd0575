// SPDX-License-Identifier: BSL-1.0
#include "gateway/counts/part_guard.hpp"

#include "coursehead/kernel/log.hpp"
#include "gateway/counts/evidence_holders.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

using decide::fingerprintText;

//! A request waits so long for the store at most.
constexpr Millis storeCallLimit{ 300 };
//! A trial that no request has used by then is dropped.
constexpr Millis trialTime{ 10000 };
//! Shortest time between two applications of this gateway for a trial of one part. Another gateway
//! tries the part if one is refused, and its result arrives within this time.
constexpr Millis applicationInterval{ 2000 };
//! How long the store's objects of a lifted quarantine may be seen.
constexpr Millis liftedTime{ 60000 };

} // namespace

PartGuard::PartGuard( net::asio::io_context& context, Fleet& fleet, metrics::Metrics& metrics,
                      const platform::Endpoint& store )
    : m_fleet( fleet ), m_metrics( metrics ), m_store( context, store, &metrics ) {
    m_fleet.onPoisonCleared(
        [this]( const decide::PoisonCleared& cleared ) { applyCleared( cleared ); } );
}

bool PartGuard::onTrial( decide::Fingerprint part, MonoTime now ) const {
    const auto it = m_trials.find( part );
    return it != m_trials.end() && now < it->second;
}

PartVerdict PartGuard::judge( std::span<const decide::SharedPart> parts, MonoTime now ) const {
    PartVerdict out;
    for( const auto& it : parts ) {
        const bool held = m_quarantines.times( it.fingerprint ) > 0;
        if( !held || onTrial( it.fingerprint, now ) ) {
            continue;
        }
        const auto left = m_quarantines.left( it.fingerprint, now );
        if( out.withheld == nullptr || left > out.left ) {
            out = { &it, left };
        }
    }
    return out;
}

void PartGuard::noteSent( std::span<const decide::SharedPart> parts ) {
    for( const auto& it : parts ) {
        if( m_trials.erase( it.fingerprint ) > 0 ) {
            m_metrics.count( "part_trials" );
            log::info( "part_tried", { { "part", it.id },
                                       { "fingerprint", fingerprintText( it.fingerprint ) } } );
        }
    }
}

bool PartGuard::suspects( std::span<const decide::SharedPart> parts ) const {
    return std::any_of( parts.begin(), parts.end(), [this]( const auto& it ) {
        return m_quarantines.times( it.fingerprint ) > 0;
    } );
}

bool PartGuard::mayApplyForTrial( decide::Fingerprint part, MonoTime now ) const {
    const bool ended =
        m_quarantines.times( part ) > 0 && m_quarantines.left( part, now ).count() == 0;
    const auto it = m_appliedAt.find( part );
    return ended && !onTrial( part, now ) &&
           ( it == m_appliedAt.end() || now - it->second >= applicationInterval );
}

net::Task<> PartGuard::applyForTrials( std::vector<decide::SharedPart> parts ) {
    for( const auto& it : parts ) {
        if( mayApplyForTrial( it.fingerprint, MonoClock::now() ) ) {
            co_await applyForTrial( it );
        }
    }
}

net::Task<> PartGuard::applyForTrial( const decide::SharedPart& part ) {
    m_appliedAt[part.fingerprint] = MonoClock::now();
    const int times = m_quarantines.times( part.fingerprint ) + 1;
    const decide::Quarantine next{ part.fingerprint, times,
                                   decide::partQuarantineDuration( times ).count(),
                                   decide::PoisonKind::part };
    std::string body = platform::encodeQuarantine( next, systemClock().wall() );
    const auto status =
        co_await m_store.createNew( platform::quarantineKind, std::move( body ), storeCallLimit );
    const bool granted = status == platform::StoreStatus::ok;
    log::info( "part_trial", { { "part", part.id },
                               { "fingerprint", fingerprintText( part.fingerprint ) },
                               { "times", static_cast<std::int64_t>( times ) },
                               { "outcome", granted ? "granted" : "denied" } } );
    if( granted ) {
        const auto now = MonoClock::now();
        m_trials[part.fingerprint] = now + trialTime;
        m_quarantines.put( next, now );
    }
}

void PartGuard::noteSound( std::span<const decide::SharedPart> parts, MonoTime begunAt ) {
    const auto now = MonoClock::now();
    for( const auto& it : parts ) {
        m_soundParts.note( it.fingerprint, begunAt );
        const int times = m_quarantines.times( it.fingerprint );
        if( times > 0 && m_quarantines.isRefuted( it.fingerprint, begunAt ) ) {
            lift( it.fingerprint, "run" );
            sendCleared( it.fingerprint, begunAt, times, now );
        }
    }
}

void PartGuard::sendCleared( decide::Fingerprint part, MonoTime begunAt, int times, MonoTime now ) {
    const decide::PoisonCleared cleared{ part, millisBetween( begunAt, now ), times };
    for( const auto& it : evidenceHolders( m_fleet, part, now ) ) {
        it->send( Message( cleared ) );
    }
}

void PartGuard::reportEnd( const std::string& upstreamId,
                           const std::set<decide::Fingerprint>& parts, MonoTime endedAt ) {
    const auto now = MonoClock::now();
    std::map<std::shared_ptr<SidecarLink>, decide::PoisonEvidence> evidenceByHolder;
    for( const auto fingerprint : parts ) {
        if( m_quarantines.times( fingerprint ) > 0 ) {
            continue;
        }
        const auto soundAt = m_soundParts.begunAt( fingerprint, now );
        if( soundAt && *soundAt >= endedAt ) {
            continue;
        }
        const decide::InterruptedPart part{ fingerprint,
                                            soundAt ? millisBetween( *soundAt, now ) : -1 };
        const auto holders = evidenceHolders( m_fleet, fingerprint, now );
        if( holders.empty() ) {
            countAlone( part, upstreamId, endedAt, now );
        }
        for( const auto& holder : holders ) {
            auto& evidence = evidenceByHolder[holder];
            evidence.upstreamId = upstreamId;
            evidence.endedMsAgo = millisBetween( endedAt, now );
            evidence.parts.push_back( part );
        }
    }
    for( auto& [holder, evidence] : evidenceByHolder ) {
        holder->send( Message( std::move( evidence ) ) );
    }
}

void PartGuard::countAlone( const decide::InterruptedPart& part, const std::string& upstreamId,
                            MonoTime endedAt, MonoTime now ) {
    const auto found = m_counter.note( part, upstreamId, endedAt, now );
    if( found ) {
        applyQuarantine( *found, "own" );
    }
}

void PartGuard::applyQuarantine( const decide::Quarantine& entry, std::string_view from ) {
    const auto now = MonoClock::now();
    if( isOutdated( entry, now ) ) {
        return;
    }
    const bool added = m_quarantines.put( entry, now );
    const auto soundAt = m_soundParts.begunAt( entry.fingerprint, now );
    const bool refuted = soundAt && m_quarantines.isRefuted( entry.fingerprint, *soundAt );
    if( refuted || ( soundAt && !entry.soundBefore ) ) {
        lift( entry.fingerprint, "earlier run" );
        sendCleared( entry.fingerprint, *soundAt, entry.times, now );
        return;
    }
    if( !added ) {
        return;
    }
    m_metrics.count( "part_quarantines", from );
    log::info( "quarantine", { { "fingerprint", fingerprintText( entry.fingerprint ) },
                               { "kind", decide::poisonKindText( entry.kind ) },
                               { "from", from },
                               { "times", static_cast<std::int64_t>( entry.times ) },
                               { "first_end_ms", entry.firstEndMsAgo },
                               { "sound_ms", soundAt ? millisBetween( *soundAt, now ) : -1 },
                               { "hold_ms", entry.holdMs } } );
}

//! The store shows a quarantine later than sidecars do, and may lose contact before it shows that
//! the quarantine was lifted.
bool PartGuard::isOutdated( const decide::Quarantine& entry, MonoTime now ) const {
    const auto it = m_lifted.find( entry.fingerprint );
    return entry.firstEndMsAgo < 0 && it != m_lifted.end() && now < it->second;
}

void PartGuard::applyCleared( const decide::PoisonCleared& cleared ) {
    const int times = m_quarantines.times( cleared.fingerprint );
    if( times > 0 && times <= cleared.times ) {
        lift( cleared.fingerprint, "sidecar" );
    }
}

void PartGuard::applyRemoval( const decide::Quarantine& removed ) {
    const int times = m_quarantines.times( removed.fingerprint );
    // Sidecars that have told of a quarantine also tell when it is lifted.
    const bool fromStore = !m_quarantines.firstEndKnown( removed.fingerprint );
    if( fromStore && times > 0 && times <= removed.times ) {
        lift( removed.fingerprint, "store" );
    }
}

void PartGuard::lift( decide::Fingerprint part, std::string_view why ) {
    const auto now = MonoClock::now();
    std::erase_if( m_lifted, [now]( const auto& it ) { return it.second <= now; } );
    m_lifted[part] = now + liftedTime;
    m_quarantines.clear( part );
    m_trials.erase( part );
    m_appliedAt.erase( part );
    m_metrics.count( "parts_cleared", why );
    log::info( "poison_cleared",
               { { "fingerprint", fingerprintText( part ) }, { "kind", "part" }, { "by", why } } );
}

} // namespace coursehead::gateway
