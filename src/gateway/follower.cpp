// SPDX-License-Identifier: BSL-1.0
#include "gateway/follower.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

namespace {

using decide::Continuity;
using decide::StorePosition;
using platform::StoreStatus;

//! Pause after a failed call: short, since readiness after an outage hangs on it; jittered, since
//! every process retries then.
constexpr Millis firstRetry{ 60 };
constexpr Millis lastRetry{ 400 };
//! After the store's return changes are taken one by one: upstreams come back then.
constexpr Millis eagerTime{ 4000 };
constexpr Millis eagerPause{ 150 };
//! How often a follower looks at the latest whether its relay has fallen silent; it is told of a
//! relay that is lost.
constexpr Millis relayLook{ 60000 };
//! An answer that took this much longer than asked for is no sign that the store is reachable now:
//! the process may have been stopped meanwhile.
constexpr Millis lateAnswer{ 1000 };

std::string_view nameOf( StoreStatus status ) {
    switch( status ) {
    case StoreStatus::ok:
        return "ok";
    case StoreStatus::expired:
        return "expired";
    case StoreStatus::former:
        return "former";
    case StoreStatus::refused:
        return "refused";
    case StoreStatus::unreachable:
        return "unreachable";
    case StoreStatus::malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace

Follower::Follower( net::asio::io_context& context, const platform::Endpoint& store,
                    FollowerSettings settings, RandomSource& random, FollowerHandlers handlers )
    : m_context( context ), m_settings( std::move( settings ) ), m_random( random ),
      m_handlers( std::move( handlers ) ), m_client( context, store, m_settings.metrics ),
      m_retry( firstRetry ), m_relayOver( context ) {}

void Follower::setReachable( bool reachable, std::string_view status ) {
    if( reachable == m_reachable ) {
        return;
    }
    m_reachable = reachable;
    m_eagerUntil = MonoClock::now() + eagerTime;
    log::info( reachable ? "store_regained" : "store_lost",
               { { "kind", m_settings.kind },
                 { "status", status },
                 { "era", static_cast<std::int64_t>( m_position.era ) },
                 { "revision", static_cast<std::int64_t>( m_position.revision ) } } );
    m_handlers.reachable( reachable );
}

void Follower::moveTo( StorePosition position, bool restored ) {
    if( restored ) {
        log::info( "store_restored",
                   { { "kind", m_settings.kind },
                     { "era", static_cast<std::int64_t>( position.era ) },
                     { "revision", static_cast<std::int64_t>( position.revision ) },
                     { "before", static_cast<std::int64_t>( m_position.revision ) } } );
    }
    if( restored && m_handlers.restored ) {
        m_handlers.restored();
    }
    m_position = position;
    m_known = true;
    m_listed = true;
}

bool Follower::acceptRelayed( StorePosition position, bool whole, MonoTime until ) {
    const auto continuity = decide::continuityOf( m_position, position );
    const bool restored = m_known && continuity == Continuity::otherHistory;
    if( continuity == Continuity::former || ( restored && !whole ) ) {
        return false;
    }
    moveTo( position, restored );
    m_relayedUntil = until;
    m_retry = firstRetry;
    setReachable( true, "relayed" );
    return true;
}

void Follower::relayLost( MonoTime from ) {
    m_relayedUntil = std::min( m_relayedUntil, from );
    m_relayOver.cancel();
}

net::Task<StoreStatus> Follower::list() {
    const auto result = co_await m_client.list( m_settings.kind, m_settings.callLimit );
    if( result.status != StoreStatus::ok ) {
        co_return result.status;
    }
    const auto continuity = decide::continuityOf( m_position, result.position );
    const bool restored = m_known && continuity == Continuity::otherHistory;
    // A relay was faster, or this answer is of a store that has come back from a copy since.
    const bool overtaken = m_listed || result.position.era < m_position.era;
    if( restored || !overtaken ) {
        moveTo( result.position, restored );
        m_handlers.listing( result.objects );
    }
    co_return result.status;
}

net::Task<StoreStatus> Follower::watch() {
    const auto asked = m_position;
    // After trouble the first watch does not wait: its answer tells whether the history goes on.
    const Millis wait = m_reachable && !m_doubted ? m_settings.wait : Millis{ 0 };
    const auto result = co_await m_client.watch( m_settings.kind, asked.revision, wait );
    // A relay that was faster has passed on the same changes, and later ones.
    const bool overtaken = m_position != asked;
    if( overtaken ) {
        co_return result.status;
    }
    if( result.status == StoreStatus::expired ) {
        log::info( "store_history_gone", { { "kind", m_settings.kind } } );
        m_listed = false;
    }
    if( result.status != StoreStatus::ok ) {
        co_return result.status;
    }
    if( result.position.era < asked.era ) {
        co_return StoreStatus::former;
    }
    if( result.position.era > asked.era ) {
        // Its revisions are another history's: what lies between is not among the changes.
        m_listed = false;
        co_return StoreStatus::expired;
    }
    m_position = std::max( m_position, result.position );
    for( const auto& it : result.events ) {
        m_handlers.event( it );
    }
    co_return result.status;
}

net::Task<StoreStatus> Follower::callStore() {
    const auto began = MonoClock::now();
    const auto longest = m_listed ? m_settings.wait : m_settings.callLimit;
    StoreStatus status = StoreStatus::ok;
    if( m_listed ) {
        status = co_await watch();
    } else {
        status = co_await list();
    }
    const auto took = MonoClock::now() - began;
    judge( status, took < longest );
    const bool current = took < m_settings.wait + lateAnswer;
    if( status == StoreStatus::ok && current && m_handlers.synced ) {
        m_handlers.synced( m_position );
    }
    co_return status;
}

//! A store that cuts its callers off once, as when it drops its history, is there again for the
//! next call. One that does not answer in time may have been away for long.
void Follower::judge( StoreStatus status, bool early ) {
    const bool up = status == StoreStatus::ok || status == StoreStatus::expired;
    if( !up && early && m_reachable && !m_doubted ) {
        m_doubted = true;
        return;
    }
    m_doubted = false;
    if( up || MonoClock::now() >= m_relayedUntil ) {
        setReachable( up, nameOf( status ) );
    }
    if( up ) {
        m_retry = firstRetry;
    }
}

Millis Follower::retryDelay() {
    const auto span = static_cast<std::uint64_t>( m_retry.count() );
    const Millis out{ static_cast<std::int64_t>( span / 2 + m_random.below( span ) ) };
    m_retry = std::min( m_retry * 2, lastRetry );
    return out;
}

net::Task<> Follower::run() {
    while( !m_stopped ) {
        if( MonoClock::now() < m_relayedUntil ) {
            m_relayOver.expires_at( std::min( m_relayedUntil, MonoClock::now() + relayLook ) );
            co_await m_relayOver.async_wait( net::tupled );
            continue;
        }
        const auto status = co_await callStore();
        Millis delay{ 0 };
        if( status == StoreStatus::ok ) {
            const bool eager = MonoClock::now() < m_eagerUntil;
            delay = eager ? std::min( m_settings.pause, eagerPause ) : m_settings.pause;
        } else if( status != StoreStatus::expired ) {
            delay = retryDelay();
        }
        if( delay.count() > 0 ) {
            co_await net::pause( m_context, delay );
        }
    }
}

} // namespace coursehead::gateway
