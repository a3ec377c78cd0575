// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_STORE_CLIENT_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_STORE_CLIENT_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "net/json_client.hpp"
#include "platform/node_settings.hpp"
#include "platform/store_wire.hpp"

#include <string_view>

namespace coursehead::platform {

//! Time added to a watch's duration before its connection is considered dead.
inline constexpr Millis watchSlack{ 600 };

enum class StoreStatus {
    ok,
    expired,     //!< the watch's revision is not in the store's history; list again
    former,      //!< the response is older than the store's last restore from a backup
    refused,     //!< the store rejected the call and did nothing
    unreachable, //!< no response
    malformed,   //!< the response can't be parsed
};

struct ListResult {
    StoreStatus status = StoreStatus::unreachable;
    std::vector<StoreObject> objects;
    decide::StorePosition position; //!< position of the first page
};
struct WatchResult {
    StoreStatus status = StoreStatus::unreachable;
    std::vector<StoreEvent> events;
    decide::StorePosition position; //!< start of the next watch
};

//! Client of the platform's store. Calls share a persistent connection and run one at a time.
class StoreClient {
public:
    //! `metrics` counts the calls; may be null.
    StoreClient( net::asio::io_context& context, const Endpoint& store,
                 metrics::Metrics* metrics = nullptr );

    //! Lists all objects of a kind, page by page.
    net::Task<ListResult> list( std::string_view kind, Millis limit, ListAge age = ListAge::now );
    //! Lists only the first page of a kind, at most some hundred objects.
    net::Task<ListResult> firstPage( std::string_view kind, Millis limit, ListAge age );
    //! Waits up to `wait` for changes after a revision.
    net::Task<WatchResult> watch( std::string_view kind, std::uint64_t revision, Millis wait );

    std::uint64_t calls() const noexcept { return m_calls; }
    //! The newest era seen in the store's responses; 0 if none.
    std::uint64_t era() const noexcept { return m_era; }

    //! Creates an object from `body`; also ok if the object already exists.
    net::Task<StoreStatus> create( std::string_view kind, std::string body, Millis limit );
    //! Creates an object from `body`; `refused` if it already exists.
    net::Task<StoreStatus> createNew( std::string_view kind, std::string body, Millis limit );
    net::Task<StoreStatus> remove( std::string_view kind, std::string_view name, Millis limit );

private:
    net::Task<net::JsonResponse> call( net::JsonCall call );
    net::Task<net::JsonResponse> post( std::string_view kind, std::string body, Millis limit );
    net::Task<ListResult> listPages( std::string_view kind, Millis limit, ListAge age,
                                     std::size_t maxPages );
    //! Records the era of a response; false if the response is from an earlier era.
    bool updateEra( const net::JsonResponse& response );

    void count( std::string_view operation, std::string_view kind ) const;

    net::JsonClient m_http;
    metrics::Metrics* m_metrics;
    std::uint64_t m_calls = 0;
    std::uint64_t m_era = 0;
};

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_STORE_CLIENT_HPP_INCLUDED
