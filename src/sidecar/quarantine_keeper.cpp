// SPDX-License-Identifier: BSL-1.0
#include "sidecar/quarantine_keeper.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>
#include <chrono>

namespace coursehead::sidecar {

namespace {

using platform::StoreStatus;

constexpr Millis storeCallLimit{ 1000 };
//! Delay before a write is retried when the store is unreachable or refuses it for its rate limit.
constexpr Millis storeRetryDelay{ 500 };
//! Longest queue of quarantines to be written. One that finds the queue full is not written, but
//! gateways have received it.
constexpr std::size_t maxUnwritten = 64;
//! Objects are kept for this time after the quarantine has ended, because the content's next
//! quarantine continues its count from them.
constexpr std::int64_t keptAfterEndMs = Millis( std::chrono::hours( 24 ) ).count();
//! A removal that the store has refused so often is dropped: the object is probably gone.
constexpr int maxRefusals = 4;
//! Lifted quarantines that are remembered, so that several gateways' messages on one part cause one
//! removal.
constexpr std::size_t maxPartsCleared = 4096;
//! Gateways that connect are told of part quarantines that ended within this time. The store tells
//! of earlier ones, and of those that were lifted without this process's knowledge.
constexpr Millis endedWithin{ 60000 };
//! At most this many old objects are removed after one write, because each removal costs a store
//! call.
constexpr int maxRemovedPerWrite = 8;

} // namespace

QuarantineKeeper::QuarantineKeeper( net::asio::io_context& context, const platform::Endpoint& store,
                                    metrics::Metrics& metrics, Broadcast broadcast )
    : m_context( context ), m_store( context, store ), m_metrics( metrics ),
      m_broadcast( std::move( broadcast ) ) {}

decide::QuarantineList& QuarantineKeeper::listOf( decide::PoisonKind kind ) {
    return kind == decide::PoisonKind::part ? m_partQuarantines : m_quarantines;
}

std::vector<decide::Quarantine> QuarantineKeeper::all( MonoTime now ) const {
    auto out = m_quarantines.all( now );
    const auto parts = m_partQuarantines.known( now, endedWithin );
    out.insert( out.end(), parts.begin(), parts.end() );
    return out;
}

void QuarantineKeeper::countUpstreamEnds( const decide::PoisonEvidence& evidence, MonoTime now ) {
    m_metrics.count( "upstream_ends_told" );
    for( const auto& it : evidence.runs ) {
        if( m_quarantines.left( it.fingerprint, now ).count() > 0 ) {
            continue;
        }
        if( const auto found = m_poisonCounter.note( it, evidence.upstreamId, now ) ) {
            quarantine( *found, now );
        }
    }
    countParts( evidence, now );
}

void QuarantineKeeper::countParts( const decide::PoisonEvidence& evidence, MonoTime now ) {
    const auto endedAt = now - Millis( evidence.endedMsAgo );
    for( const auto& it : evidence.parts ) {
        if( m_partQuarantines.left( it.fingerprint, now ).count() > 0 ) {
            continue;
        }
        auto found = m_partCounter.note( it, evidence.upstreamId, endedAt, now );
        if( found ) {
            found->times = m_partQuarantines.times( it.fingerprint ) + 1;
            found->holdMs = decide::partQuarantineDuration( found->times ).count();
            quarantine( *found, now );
        }
    }
}

void QuarantineKeeper::quarantine( const decide::Quarantine& entry, MonoTime now ) {
    if( !listOf( entry.kind ).put( entry, now ) ) {
        return;
    }
    if( entry.kind == decide::PoisonKind::part ) {
        m_partsCleared.erase( entry.fingerprint );
    }
    m_metrics.count( "quarantines", decide::poisonKindText( entry.kind ) );
    log::info( "quarantine", { { "fingerprint", decide::fingerprintText( entry.fingerprint ) },
                               { "kind", decide::poisonKindText( entry.kind ) },
                               { "times", static_cast<std::int64_t>( entry.times ) },
                               { "first_end_ms", entry.firstEndMsAgo },
                               { "sound_before", entry.soundBefore ? "yes" : "no" },
                               { "hold_ms", entry.holdMs } } );
    m_broadcast.quarantined( entry );
    queueWrite( { entry, false } );
}

void QuarantineKeeper::clear( const decide::PoisonCleared& cleared, MonoTime now ) {
    if( cleared.soundMsAgo >= 0 ) {
        clearPart( cleared, now );
        return;
    }
    m_poisonCounter.clear( cleared.fingerprint );
    m_quarantines.clear( cleared.fingerprint );
}

void QuarantineKeeper::clearPart( const decide::PoisonCleared& cleared, MonoTime now ) {
    const auto begunAt = now - Millis( cleared.soundMsAgo );
    const int known = m_partQuarantines.times( cleared.fingerprint );
    const bool refuted = m_partQuarantines.isRefuted( cleared.fingerprint, begunAt );
    const bool lifted = m_partCounter.noteSound( cleared.fingerprint, begunAt );
    // A quarantine of an earlier process. Many gateways may tell of it, and one of them suffices.
    if( m_partsCleared.size() >= maxPartsCleared ) {
        m_partsCleared.clear();
    }
    const bool unknown =
        known == 0 && cleared.times > 0 && m_partsCleared.insert( cleared.fingerprint ).second;
    if( !( known > 0 && ( refuted || lifted ) ) && !unknown ) {
        return;
    }
    m_partQuarantines.clear( cleared.fingerprint );
    m_partsCleared.insert( cleared.fingerprint );
    m_metrics.count( "parts_cleared" );
    log::info( "poison_cleared",
               { { "fingerprint", decide::fingerprintText( cleared.fingerprint ) },
                 { "kind", "part" },
                 { "sound_ms", cleared.soundMsAgo } } );
    auto out = cleared;
    out.times = std::max( known, cleared.times );
    m_broadcast.cleared( out );
    for( int n = 1; n <= out.times; ++n ) {
        queueWrite( { { cleared.fingerprint, n, 0, decide::PoisonKind::part }, true } );
    }
}

void QuarantineKeeper::queueWrite( const Write& write ) {
    if( m_unwritten.size() >= maxUnwritten ) {
        log::warn( "quarantine_unwritten",
                   { { "fingerprint", decide::fingerprintText( write.entry.fingerprint ) },
                     { "removal", write.removal ? "yes" : "no" } } );
        return;
    }
    m_unwritten.push_back( write );
    if( !m_writing ) {
        m_writing = true;
        net::start( m_context, writeQueued(), "quarantines" );
    }
}

net::Task<bool> QuarantineKeeper::makeWrite( Write& write ) {
    if( write.removal ) {
        const auto name = platform::quarantineName( write.entry );
        const auto status =
            co_await m_store.remove( platform::quarantineKind, name, storeCallLimit );
        // The store refuses the call if the object does not exist, but also at its rate limit.
        write.refusals += status == StoreStatus::refused ? 1 : 0;
        co_return status == StoreStatus::ok || write.refusals >= maxRefusals;
    }
    std::string body = platform::encodeQuarantine( write.entry, systemClock().wall() );
    const auto status =
        co_await m_store.create( platform::quarantineKind, std::move( body ), storeCallLimit );
    co_return status == StoreStatus::ok;
}

net::Task<> QuarantineKeeper::writeQueued() {
    while( !m_unwritten.empty() ) {
        const bool made = co_await makeWrite( m_unwritten.front() );
        if( !made ) {
            co_await net::pause( m_context, storeRetryDelay );
            continue;
        }
        m_unwritten.pop_front();
        if( m_unwritten.empty() ) {
            co_await removeOld();
        }
    }
    m_writing = false;
}

net::Task<> QuarantineKeeper::removeOld() {
    const auto found = co_await m_store.list( platform::quarantineKind, storeCallLimit,
                                              platform::ListAge::secondsOld );
    int removed = 0;
    for( const auto& it : found.objects ) {
        std::string problem;
        const auto entry = platform::readQuarantine( it, systemClock().wall(), problem );
        const bool old = entry && entry->holdMs < -keptAfterEndMs;
        if( old && removed++ < maxRemovedPerWrite ) {
            co_await m_store.remove( platform::quarantineKind, it.name, storeCallLimit );
        }
    }
}

} // namespace coursehead::sidecar
