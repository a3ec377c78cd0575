// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/follower.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

namespace {

using decide::Continuity;
using decide::StorePosition;
using platform::StoreStatus;

//! Delay after a failed call. It is short, because a process is not ready after an outage before a
//! call succeeds, and jittered, because all processes retry at that time.
constexpr Millis firstRetryDelay{ 60 };
constexpr Millis maxRetryDelay{ 400 };
//! For this long after the store answers again the pause between watch calls is shorter, because
//! upstreams write their entries again then.
constexpr Millis recoveryTime{ 4000 };
constexpr Millis recoveryPause{ 150 };
//! Longest time between two checks whether the relay's delivery is still current. It can be long,
//! because relayLost() ends the wait.
constexpr Millis relayCheckInterval{ 60000 };
//! An answer that took this much longer than the requested wait doesn't show that the store is
//! reachable now, because the process may have been stopped in between.
constexpr Millis lateAnswerSlack{ 1000 };

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
      m_retryDelay( firstRetryDelay ), m_relayTimer( context ) {}

void Follower::setReachable( bool reachable, std::string_view status ) {
    if( reachable == m_reachable ) {
        return;
    }
    m_reachable = reachable;
    m_recoveryUntil = MonoClock::now() + recoveryTime;
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
    m_hasPosition = true;
    m_listed = true;
}

bool Follower::acceptRelayed( StorePosition position, bool complete, MonoTime until ) {
    const auto continuity = decide::continuityOf( m_position, position );
    const bool restored = m_hasPosition && continuity == Continuity::otherHistory;
    if( continuity == Continuity::former || ( restored && !complete ) ) {
        return false;
    }
    moveTo( position, restored );
    m_relayedUntil = until;
    m_retryDelay = firstRetryDelay;
    setReachable( true, "relayed" );
    return true;
}

void Follower::relayLost( MonoTime from ) {
    m_relayedUntil = std::min( m_relayedUntil, from );
    m_relayTimer.cancel();
}

net::Task<StoreStatus> Follower::list() {
    const auto result = co_await m_client.list( m_settings.kind, m_settings.callLimit );
    if( result.status != StoreStatus::ok ) {
        co_return result.status;
    }
    const auto continuity = decide::continuityOf( m_position, result.position );
    const bool restored = m_hasPosition && continuity == Continuity::otherHistory;
    // A relay was faster, or the store has been restored from a copy since this answer.
    const bool overtaken = m_listed || result.position.era < m_position.era;
    if( restored || !overtaken ) {
        moveTo( result.position, restored );
        m_handlers.listing( result.objects );
    }
    co_return result.status;
}

net::Task<StoreStatus> Follower::watch() {
    const auto startPosition = m_position;
    // After an outage or a doubtful call the watch doesn't wait, to find out at once whether the
    // store still has the same history.
    const Millis wait = m_reachable && !m_lastCallCutShort ? m_settings.wait : Millis{ 0 };
    const auto result = co_await m_client.watch( m_settings.kind, startPosition.revision, wait );
    // A relay was faster, and has delivered these changes and later ones.
    const bool overtaken = m_position != startPosition;
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
    if( result.position.era < startPosition.era ) {
        co_return StoreStatus::former;
    }
    if( result.position.era > startPosition.era ) {
        // The revisions belong to another history, so the events don't hold all changes in between.
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
    const auto startedAt = MonoClock::now();
    const auto timeLimit = m_listed ? m_settings.wait : m_settings.callLimit;
    StoreStatus status = StoreStatus::ok;
    if( m_listed ) {
        status = co_await watch();
    } else {
        status = co_await list();
    }
    const auto elapsed = MonoClock::now() - startedAt;
    recordCall( status, elapsed < timeLimit );
    const bool current = elapsed < m_settings.wait + lateAnswerSlack;
    if( status == StoreStatus::ok && current && m_handlers.synced ) {
        m_handlers.synced( m_position );
    }
    co_return status;
}

//! A store that cuts off its callers once, for example because it drops its history, answers the
//! next call, so one failure before the time limit doesn't count as an outage. A store that doesn't
//! answer in time may have been away for long.
void Follower::recordCall( StoreStatus status, bool beforeLimit ) {
    const bool answered = status == StoreStatus::ok || status == StoreStatus::expired;
    if( !answered && beforeLimit && m_reachable && !m_lastCallCutShort ) {
        m_lastCallCutShort = true;
        return;
    }
    m_lastCallCutShort = false;
    if( answered || MonoClock::now() >= m_relayedUntil ) {
        setReachable( answered, nameOf( status ) );
    }
    if( answered ) {
        m_retryDelay = firstRetryDelay;
    }
}

Millis Follower::retryDelay() {
    const auto span = static_cast<std::uint64_t>( m_retryDelay.count() );
    const Millis out{ static_cast<std::int64_t>( span / 2 + m_random.below( span ) ) };
    m_retryDelay = std::min( m_retryDelay * 2, maxRetryDelay );
    return out;
}

net::Task<> Follower::run() {
    while( !m_stopped ) {
        if( MonoClock::now() < m_relayedUntil ) {
            m_relayTimer.expires_at(
                std::min( m_relayedUntil, MonoClock::now() + relayCheckInterval ) );
            co_await m_relayTimer.async_wait( net::tupled );
            continue;
        }
        const auto status = co_await callStore();
        Millis delay{ 0 };
        if( status == StoreStatus::ok ) {
            const bool recovering = MonoClock::now() < m_recoveryUntil;
            delay = recovering ? std::min( m_settings.pause, recoveryPause ) : m_settings.pause;
        } else if( status != StoreStatus::expired ) {
            delay = retryDelay();
        }
        if( delay.count() > 0 ) {
            co_await net::pause( m_context, delay );
        }
    }
}

} // namespace coursehead::gateway
