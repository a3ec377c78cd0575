// SPDX-License-Identifier: BSL-1.0
#include "platform/store_client.hpp"

#include "coursehead/kernel/log.hpp"

#include <limits>

namespace coursehead::platform {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusCreated = 201;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusGone = 410;

StoreStatus statusOf( const net::JsonResponse& answer ) {
    if( answer.end != net::CallOutcome::answered ) {
        return StoreStatus::unreachable;
    }
    if( answer.status == statusGone ) {
        return StoreStatus::expired;
    }
    return answer.status == statusOk ? StoreStatus::ok : StoreStatus::refused;
}

} // namespace

StoreClient::StoreClient( net::asio::io_context& context, const Endpoint& store,
                          metrics::Metrics* metrics )
    : m_http( context, store.ip, store.port ), m_metrics( metrics ) {}

void StoreClient::count( std::string_view what, std::string_view kind ) const {
    if( m_metrics != nullptr ) {
        m_metrics->count( "store_calls", std::string( what ) + " " + std::string( kind ) );
    }
}

net::Task<net::JsonResponse> StoreClient::call( net::JsonCall call ) {
    call.responseHeader = std::string( eraHeader );
    ++m_calls;
    co_return co_await m_http.call( call );
}

bool StoreClient::takeEra( const net::JsonResponse& answer ) {
    if( answer.responseHeader.empty() ) {
        return true;
    }
    const auto era = readEra( answer.responseHeader );
    if( !era ) {
        log::warn( "store_era_unreadable",
                   { { "field", eraHeader }, { "value", answer.responseHeader } } );
        return true;
    }
    if( *era < m_era ) {
        return false;
    }
    m_era = *era;
    return true;
}

net::Task<ListResult> StoreClient::list( std::string_view kind, Millis limit, ListAge age ) {
    co_return co_await listPages( kind, limit, age, std::numeric_limits<std::size_t>::max() );
}

net::Task<ListResult> StoreClient::firstPage( std::string_view kind, Millis limit, ListAge age ) {
    co_return co_await listPages( kind, limit, age, 1 );
}

net::Task<ListResult> StoreClient::listPages( std::string_view kind, Millis limit, ListAge age,
                                              std::size_t most ) {
    ListResult out;
    std::string after;
    for( std::size_t pages = 0;; ++pages ) {
        const bool first = pages == 0;
        count( age == ListAge::now ? "list" : "list_old", kind );
        net::JsonCall page;
        page.target = listPath( kind, after, age );
        page.limit = limit;
        const auto answer = co_await call( std::move( page ) );
        out.status = statusOf( answer );
        if( out.status == StoreStatus::ok && !takeEra( answer ) ) {
            out.status = StoreStatus::former;
        }
        if( out.status != StoreStatus::ok ) {
            co_return out;
        }
        auto got = readPage( answer.body );
        if( !got ) {
            out.status = StoreStatus::malformed;
            co_return out;
        }
        if( first ) {
            out.position = { m_era, got->revision };
        } else if( out.position.era != m_era ) {
            // The pages before are of another history.
            out.status = StoreStatus::expired;
            co_return out;
        }
        for( auto& it : got->objects ) {
            it.era = m_era;
            out.objects.push_back( std::move( it ) );
        }
        if( !got->more || got->objects.empty() || pages + 1 >= most ) {
            co_return out;
        }
        after = out.objects.back().name;
    }
}

net::Task<WatchResult> StoreClient::watch( std::string_view kind, std::uint64_t revision,
                                           Millis wait ) {
    WatchResult out;
    count( "watch", kind );
    net::JsonCall watching;
    watching.target = watchPath( kind, revision, wait );
    watching.limit = wait + watchSlack;
    const auto answer = co_await call( std::move( watching ) );
    out.status = statusOf( answer );
    if( out.status == StoreStatus::ok && !takeEra( answer ) ) {
        out.status = StoreStatus::former;
    }
    if( out.status != StoreStatus::ok ) {
        co_return out;
    }
    auto got = readEvents( answer.body );
    if( !got ) {
        out.status = StoreStatus::malformed;
        co_return out;
    }
    out.position = { m_era, got->revision };
    for( auto& it : got->events ) {
        it.object.era = m_era;
    }
    out.events = std::move( got->events );
    co_return out;
}

net::Task<StoreStatus> StoreClient::create( std::string_view kind, std::string body,
                                            Millis limit ) {
    count( "create", kind );
    net::JsonCall making;
    making.method = "POST";
    making.target = listPath( kind, "", ListAge::now );
    making.body = std::move( body );
    making.limit = limit;
    const auto answer = co_await call( std::move( making ) );
    const bool made = answer.end == net::CallOutcome::answered &&
                      ( answer.status == statusCreated || answer.status == statusConflict );
    co_return made ? StoreStatus::ok : statusOf( answer );
}

net::Task<StoreStatus> StoreClient::remove( std::string_view kind, std::string_view name,
                                            Millis limit ) {
    count( "remove", kind );
    net::JsonCall removing;
    removing.method = "DELETE";
    removing.target = objectPath( kind, name );
    removing.limit = limit;
    const auto answer = co_await call( std::move( removing ) );
    co_return statusOf( answer );
}

} // namespace coursehead::platform
