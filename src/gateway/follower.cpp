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

//! What a follower has seen of the store lately.
struct Progress {
    bool listed = false;
    bool reachable = false;
    std::uint64_t revision = 0;
    Millis retry{ firstRetry };
    MonoTime eagerUntil;
};

void noteStatus( const std::string& kind, StoreStatus status, Progress& progress,
                 const FollowHandlers& handlers ) {
    const bool up = status == StoreStatus::ok || status == StoreStatus::expired;
    if( up != progress.reachable ) {
        progress.reachable = up;
        progress.eagerUntil = std::chrono::steady_clock::now() + eagerTime;
        log::info( up ? "store_regained" : "store_lost",
                   { { "kind", kind },
                     { "status", nameOf( status ) },
                     { "revision", static_cast<std::int64_t>( progress.revision ) } } );
        handlers.reachable( up );
    }
    if( up ) {
        progress.retry = firstRetry;
    }
}

} // namespace

net::Task<> follow( net::asio::io_context& context, platform::Endpoint store,
                    FollowSettings settings, RandomSource& random, FollowHandlers handlers ) {
    platform::StoreClient client( context, store );
    Progress progress;
    for( ;; ) {
        StoreStatus status = StoreStatus::ok;
        if( !progress.listed ) {
            const auto result = co_await client.list( settings.kind, settings.callLimit );
            status = result.status;
            noteStatus( settings.kind, status, progress, handlers );
            if( status == StoreStatus::ok ) {
                progress.listed = true;
                progress.revision = result.listing.revision;
                handlers.listing( result.listing.objects );
            }
        } else {
            const auto result =
                co_await client.watch( settings.kind, progress.revision, settings.wait );
            status = result.status;
            noteStatus( settings.kind, status, progress, handlers );
            if( status == StoreStatus::ok ) {
                progress.revision = std::max( progress.revision, result.events.revision );
                for( const auto& it : result.events.events ) {
                    handlers.event( it );
                }
            }
            if( status == StoreStatus::expired ) {
                log::info( "store_history_gone", { { "kind", settings.kind } } );
                progress.listed = false;
                continue;
            }
        }
        if( status == StoreStatus::ok ) {
            const bool eager = std::chrono::steady_clock::now() < progress.eagerUntil;
            const auto pause = eager ? std::min( settings.pause, eagerPause ) : settings.pause;
            if( pause.count() > 0 ) {
                co_await net::pause( context, pause );
            }
            continue;
        }
        const auto span = static_cast<std::uint64_t>( progress.retry.count() );
        const Millis delay{ static_cast<std::int64_t>( span / 2 + random.below( span ) ) };
        progress.retry = std::min( progress.retry * 2, lastRetry );
        co_await net::pause( context, delay );
    }
}

} // namespace coursehead::gateway
