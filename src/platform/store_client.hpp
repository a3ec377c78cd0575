// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_STORE_CLIENT_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_STORE_CLIENT_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "net/json_client.hpp"
#include "platform/node_settings.hpp"
#include "platform/store_wire.hpp"

#include <string_view>

namespace coursehead::platform {

//! How much longer than asked a watch may take before its connection is taken for dead.
inline constexpr Millis watchSlack{ 600 };

enum class StoreStatus {
    ok,
    expired,     //!< the watch's revision is not in the store's history: list again
    former,      //!< an answer of before the store came back from a copy
    refused,     //!< the store turned the call away, nothing was done
    unreachable, //!< no answer
    malformed,   //!< an answer that can't be read
};

struct ListResult {
    StoreStatus status = StoreStatus::unreachable;
    std::vector<StoreObject> objects;
    decide::StorePosition position; //!< the first page's
};
struct WatchResult {
    StoreStatus status = StoreStatus::unreachable;
    std::vector<StoreEvent> events;
    decide::StorePosition position; //!< where the next watch goes on
};

//! Calls to the platform's store on one kept connection, one at a time.
class StoreClient {
public:
    //! `metrics` counts the calls; null: nobody does.
    StoreClient( net::asio::io_context& context, const Endpoint& store,
                 metrics::Metrics* metrics = nullptr );

    //! Lists a kind, page by page.
    net::Task<ListResult> list( std::string_view kind, Millis limit, ListAge age = ListAge::now );
    //! The first page of a kind alone: some hundred objects at the most.
    net::Task<ListResult> firstPage( std::string_view kind, Millis limit, ListAge age );
    //! Waits up to `wait` for changes behind a revision.
    net::Task<WatchResult> watch( std::string_view kind, std::uint64_t revision, Millis wait );

    std::uint64_t calls() const noexcept { return m_calls; }
    //! The newest era that the store has told of here; 0: none.
    std::uint64_t era() const noexcept { return m_era; }

    //! Makes an object of `body`; ok too when it is there already.
    net::Task<StoreStatus> create( std::string_view kind, std::string body, Millis limit );
    net::Task<StoreStatus> remove( std::string_view kind, std::string_view name, Millis limit );

private:
    net::Task<net::JsonResponse> call( net::JsonCall call );
    net::Task<ListResult> listPages( std::string_view kind, Millis limit, ListAge age,
                                     std::size_t most );
    //! Takes note of an answer's era; false when the answer is of a former one.
    bool takeEra( const net::JsonResponse& answer );

    void count( std::string_view what, std::string_view kind ) const;

    net::JsonClient m_http;
    metrics::Metrics* m_metrics;
    std::uint64_t m_calls = 0;
    std::uint64_t m_era = 0;
};

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_STORE_CLIENT_HPP_INCLUDED
