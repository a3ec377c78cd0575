// SPDX-License-Identifier: BSL-1.0
#include "platform/store_client.hpp"

#include "coursehead/kernel/log.hpp"

#include <array>
#include <limits>
#include <set>

namespace coursehead::platform {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusCreated = 201;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusGone = 410;

StoreStatus statusOf( const net::JsonResponse& response ) {
    if( response.outcome != net::CallOutcome::answered ) {
        return StoreStatus::unreachable;
    }
    if( response.status == statusGone ) {
        return StoreStatus::expired;
    }
    return response.status == statusOk ? StoreStatus::ok : StoreStatus::refused;
}

//! Sorts behind the other characters of ASCII.
constexpr char lastCharacter = '\x7f';

//! Position in a list, as a name that the next page follows.
struct ListPosition {
    std::string after;
    std::set<std::string> passed; //!< the names so far; one that comes again makes no progress
};

//! Moves behind a page; false if nothing on the page tells where the next one begins. Without any
//! name on it, that is behind all names that begin with the last known one.
bool moveBehind( ListPosition& position, const StorePage& page ) {
    const std::string& after = position.after;
    std::array candidates{ page.lastName, page.lastNumber > after ? page.lastNumber : "",
                           after.ends_with( lastCharacter ) ? "" : after + lastCharacter };
    for( auto& it : candidates ) {
        if( !it.empty() && position.passed.insert( it ).second ) {
            position.after = std::move( it );
            return true;
        }
    }
    return false;
}

} // namespace

StoreClient::StoreClient( net::asio::io_context& context, const Endpoint& store,
                          metrics::Metrics* metrics )
    : m_http( context, store.ip, store.port ), m_metrics( metrics ) {}

void StoreClient::count( std::string_view operation, std::string_view kind ) const {
    if( m_metrics != nullptr ) {
        m_metrics->count( "store_calls", std::string( operation ) + " " + std::string( kind ) );
    }
}

net::Task<net::JsonResponse> StoreClient::call( net::JsonCall call ) {
    call.responseHeader = std::string( eraHeader );
    ++m_calls;
    co_return co_await m_http.call( call );
}

bool StoreClient::updateEra( const net::JsonResponse& response ) {
    if( response.responseHeader.empty() ) {
        return true;
    }
    const auto era = readEra( response.responseHeader );
    if( !era ) {
        log::warn( "store_era_unreadable",
                   { { "field", eraHeader }, { "value", response.responseHeader } } );
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
                                              std::size_t maxPages ) {
    ListResult out;
    ListPosition position;
    for( std::size_t pages = 0;; ++pages ) {
        const bool first = pages == 0;
        count( age == ListAge::now ? "list" : "list_old", kind );
        net::JsonCall request;
        request.target = listPath( kind, position.after, age );
        request.limit = limit;
        const auto response = co_await call( std::move( request ) );
        out.status = statusOf( response );
        if( out.status == StoreStatus::ok && !updateEra( response ) ) {
            out.status = StoreStatus::former;
        }
        if( out.status != StoreStatus::ok ) {
            co_return out;
        }
        auto page = readPage( response.body );
        if( !page ) {
            out.status = StoreStatus::malformed;
            co_return out;
        }
        if( first ) {
            out.position = { m_era, page->revision };
        } else if( out.position.era != m_era ) {
            // The store was restored between two pages, so the earlier pages belong to another
            // history.
            out.status = StoreStatus::expired;
            co_return out;
        }
        for( auto& it : page->objects ) {
            it.era = m_era;
            out.objects.push_back( std::move( it ) );
        }
        if( !page->more || pages + 1 >= maxPages ) {
            co_return out;
        }
        if( !moveBehind( position, *page ) ) {
            log::warn( "store_list_incomplete",
                       { { "kind", kind },
                         { "after", position.after },
                         { "objects", static_cast<std::int64_t>( out.objects.size() ) } } );
            co_return out;
        }
    }
}

net::Task<WatchResult> StoreClient::watch( std::string_view kind, std::uint64_t revision,
                                           Millis wait ) {
    WatchResult out;
    count( "watch", kind );
    net::JsonCall request;
    request.target = watchPath( kind, revision, wait );
    request.limit = wait + watchSlack;
    const auto response = co_await call( std::move( request ) );
    out.status = statusOf( response );
    if( out.status == StoreStatus::ok && !updateEra( response ) ) {
        out.status = StoreStatus::former;
    }
    if( out.status != StoreStatus::ok ) {
        co_return out;
    }
    auto parsed = readEvents( response.body );
    if( !parsed ) {
        out.status = StoreStatus::malformed;
        co_return out;
    }
    out.position = { m_era, parsed->revision };
    for( auto& it : parsed->events ) {
        it.object.era = m_era;
    }
    out.events = std::move( parsed->events );
    co_return out;
}

net::Task<net::JsonResponse> StoreClient::post( std::string_view kind, std::string body,
                                                Millis limit ) {
    count( "create", kind );
    net::JsonCall request;
    request.method = "POST";
    request.target = listPath( kind, "", ListAge::now );
    request.body = std::move( body );
    request.limit = limit;
    co_return co_await call( std::move( request ) );
}

net::Task<StoreStatus> StoreClient::create( std::string_view kind, std::string body,
                                            Millis limit ) {
    const auto response = co_await post( kind, std::move( body ), limit );
    const bool exists = response.outcome == net::CallOutcome::answered &&
                        ( response.status == statusCreated || response.status == statusConflict );
    co_return exists ? StoreStatus::ok : statusOf( response );
}

net::Task<StoreStatus> StoreClient::createNew( std::string_view kind, std::string body,
                                               Millis limit ) {
    const auto response = co_await post( kind, std::move( body ), limit );
    const bool created =
        response.outcome == net::CallOutcome::answered && response.status == statusCreated;
    co_return created ? StoreStatus::ok : statusOf( response );
}

net::Task<StoreStatus> StoreClient::remove( std::string_view kind, std::string_view name,
                                            Millis limit ) {
    count( "remove", kind );
    net::JsonCall request;
    request.method = "DELETE";
    request.target = objectPath( kind, name );
    request.limit = limit;
    const auto response = co_await call( std::move( request ) );
    co_return statusOf( response );
}

} // namespace coursehead::platform
