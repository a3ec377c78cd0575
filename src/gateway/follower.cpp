// SPDX-License-Identifier: BSL-1.0
#include "gateway/follower.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

namespace {

using platform::StoreStatus;

//! Pause after a failed call: short, since readiness after an outage hangs on it; jittered, since
//! every process retries then.
constexpr Millis firstRetry{ 60 };
constexpr Millis lastRetry{ 400 };
//! After the store's return changes are taken one by one: upstreams come back then.
constexpr Millis eagerTime{ 4000 };
constexpr Millis eagerPause{ 150 };
//! How often a follower looks whether its relay has fallen silent.
constexpr Millis relayLook{ 60 };
//! An answer that took this much longer than asked for is no sign that the store is reachable now:
//! the process may have been stopped meanwhile.
constexpr Millis lateAnswer{ 1000 };

std::string_view nameOf( StoreStatus status ) {
    switch( status ) {
    case StoreStatus::ok:
        return "ok";
    case StoreStatus::expired:
        return "expired";
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
                    FollowSettings settings, RandomSource& random, FollowHandlers handlers )
    : m_context( context ), m_settings( std::move( settings ) ), m_random( random ),
      m_handlers( std::move( handlers ) ), m_client( context, store ), m_retry( firstRetry ) {}

void Follower::setReachable( bool reachable, std::string_view status ) {
    if( reachable == m_reachable ) {
        return;
    }
    m_reachable = reachable;
    m_eagerUntil = MonoClock::now() + eagerTime;
    log::info( reachable ? "store_regained" : "store_lost",
               { { "kind", m_settings.kind },
                 { "status", status },
                 { "revision", static_cast<std::int64_t>( m_revision ) } } );
    m_handlers.reachable( reachable );
}

bool Follower::relayed( std::uint64_t revision, MonoTime until ) {
    if( revision < m_revision ) {
        return false;
    }
    m_revision = revision;
    m_listed = true;
    m_relayedUntil = until;
    m_retry = firstRetry;
    setReachable( true, "relayed" );
    return true;
}

void Follower::relayLost() {
    m_relayedUntil = MonoTime{};
}

net::Task<StoreStatus> Follower::list() {
    const auto result = co_await m_client.list( m_settings.kind, m_settings.callLimit );
    const bool overtaken = m_listed;
    if( result.status == StoreStatus::ok && !overtaken ) {
        m_listed = true;
        m_revision = result.listing.revision;
        m_handlers.listing( result.listing.objects );
    }
    co_return result.status;
}

net::Task<StoreStatus> Follower::watch() {
    const auto asked = m_revision;
    const auto result = co_await m_client.watch( m_settings.kind, asked, m_settings.wait );
    // A relay that was faster has passed on the same changes, and later ones.
    const bool overtaken = m_revision != asked;
    if( result.status == StoreStatus::ok && !overtaken ) {
        m_revision = std::max( m_revision, result.events.revision );
        for( const auto& it : result.events.events ) {
            m_handlers.event( it );
        }
    }
    if( result.status == StoreStatus::expired && !overtaken ) {
        log::info( "store_history_gone", { { "kind", m_settings.kind } } );
        m_listed = false;
    }
    co_return result.status;
}

net::Task<StoreStatus> Follower::callStore() {
    const auto began = MonoClock::now();
    StoreStatus status = StoreStatus::ok;
    if( m_listed ) {
        status = co_await watch();
    } else {
        status = co_await list();
    }
    const auto now = MonoClock::now();
    const bool up = status == StoreStatus::ok || status == StoreStatus::expired;
    if( up || now >= m_relayedUntil ) {
        setReachable( up, nameOf( status ) );
    }
    if( up ) {
        m_retry = firstRetry;
    }
    const bool current = now - began < m_settings.wait + lateAnswer;
    if( status == StoreStatus::ok && current && m_handlers.synced ) {
        m_handlers.synced( m_revision );
    }
    co_return status;
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
            co_await net::pause( m_context, relayLook );
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
