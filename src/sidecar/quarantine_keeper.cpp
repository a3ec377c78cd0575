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
//! At most this many old objects are removed after one write, because each removal costs a store
//! call.
constexpr int maxRemovedPerWrite = 8;

} // namespace

QuarantineKeeper::QuarantineKeeper( net::asio::io_context& context, const platform::Endpoint& store,
                                    metrics::Metrics& metrics, Broadcast broadcast )
    : m_context( context ), m_store( context, store ), m_metrics( metrics ),
      m_broadcast( std::move( broadcast ) ) {}

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
}

void QuarantineKeeper::quarantine( const decide::Quarantine& entry, MonoTime now ) {
    if( !m_quarantines.put( entry, now ) ) {
        return;
    }
    m_metrics.count( "quarantines" );
    log::info( "quarantine", { { "fingerprint", decide::fingerprintText( entry.fingerprint ) },
                               { "times", static_cast<std::int64_t>( entry.times ) },
                               { "hold_ms", entry.holdMs } } );
    m_broadcast( entry );
    if( m_unwritten.size() >= maxUnwritten ) {
        log::warn( "quarantine_unwritten",
                   { { "fingerprint", decide::fingerprintText( entry.fingerprint ) } } );
        return;
    }
    m_unwritten.push_back( entry );
    if( !m_writing ) {
        m_writing = true;
        net::start( m_context, writeUnwritten(), "quarantines" );
    }
}

void QuarantineKeeper::clear( decide::Fingerprint fingerprint ) {
    m_poisonCounter.clear( fingerprint );
    m_quarantines.clear( fingerprint );
}

net::Task<> QuarantineKeeper::writeUnwritten() {
    while( !m_unwritten.empty() ) {
        const auto entry = m_unwritten.front();
        std::string body = platform::encodeQuarantine( entry, systemClock().wall() );
        const auto status =
            co_await m_store.create( platform::quarantineKind, std::move( body ), storeCallLimit );
        if( status != StoreStatus::ok ) {
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
