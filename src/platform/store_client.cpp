// SPDX-License-Identifier: BSL-1.0
#include "platform/store_client.hpp"

namespace coursehead::platform {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusCreated = 201;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusGone = 410;

StoreStatus statusOf( const net::JsonAnswer& answer ) {
    if( answer.end != net::CallEnd::answered ) {
        return StoreStatus::unreachable;
    }
    if( answer.status == statusGone ) {
        return StoreStatus::expired;
    }
    return answer.status == statusOk ? StoreStatus::ok : StoreStatus::refused;
}

} // namespace

StoreClient::StoreClient( net::asio::io_context& context, const Endpoint& store )
    : m_http( context, store.ip, store.port ) {}

net::Task<ListResult> StoreClient::list( std::string_view kind, Millis limit, ListAge age ) {
    ListResult out;
    std::string after;
    for( bool first = true;; first = false ) {
        net::JsonCall call;
        call.target = listPath( kind, after, age );
        call.limit = limit;
        ++m_calls;
        const auto answer = co_await m_http.call( call );
        out.status = statusOf( answer );
        if( out.status != StoreStatus::ok ) {
            co_return out;
        }
        auto page = readPage( answer.body );
        if( !page ) {
            out.status = StoreStatus::malformed;
            co_return out;
        }
        if( first ) {
            out.listing.revision = page->revision;
        }
        for( auto& it : page->objects ) {
            out.listing.objects.push_back( std::move( it ) );
        }
        if( !page->more || page->objects.empty() ) {
            co_return out;
        }
        after = out.listing.objects.back().name;
    }
}

net::Task<WatchResult> StoreClient::watch( std::string_view kind, std::uint64_t revision,
                                           Millis wait ) {
    WatchResult out;
    net::JsonCall call;
    call.target = watchPath( kind, revision, wait );
    call.limit = wait + watchSlack;
    ++m_calls;
    const auto answer = co_await m_http.call( call );
    out.status = statusOf( answer );
    if( out.status != StoreStatus::ok ) {
        co_return out;
    }
    auto events = readEvents( answer.body );
    if( !events ) {
        out.status = StoreStatus::malformed;
        co_return out;
    }
    out.events = std::move( *events );
    co_return out;
}

net::Task<StoreStatus> StoreClient::create( std::string_view kind, std::string body,
                                            Millis limit ) {
    net::JsonCall call;
    call.method = "POST";
    call.target = listPath( kind, "", ListAge::now );
    call.body = std::move( body );
    call.limit = limit;
    ++m_calls;
    const auto answer = co_await m_http.call( call );
    const bool made = answer.end == net::CallEnd::answered &&
                      ( answer.status == statusCreated || answer.status == statusConflict );
    co_return made ? StoreStatus::ok : statusOf( answer );
}

net::Task<StoreStatus> StoreClient::remove( std::string_view kind, std::string_view name,
                                            Millis limit ) {
    net::JsonCall call;
    call.method = "DELETE";
    call.target = objectPath( kind, name );
    call.limit = limit;
    ++m_calls;
    const auto answer = co_await m_http.call( call );
    co_return statusOf( answer );
}

} // namespace coursehead::platform
