// SPDX-License-Identifier: BSL-1.0
#include "standin.hpp"

#include <chrono>
#include <thread>

// Stand-ins for a plain service, which counts its runs by idempotency key, and for the weight
// store. Faults of the service: die_before (response cut off before the run), die_after (response
// cut off after the run), slow_ms.

namespace standin {

using coursehead::http::Request;
using coursehead::http::Response;
using std::chrono::milliseconds;

namespace {

class PlainService {
public:
    explicit PlainService( std::shared_ptr<Faults> faults ) : m_faults( std::move( faults ) ) {}

    Response handle( const Request& request ) {
        if( request.path == "/runs" ) {
            const std::lock_guard lock( m_mutex );
            return reply( 200, m_runs );
        }
        if( m_faults->consume( "die_before" ) ) {
            return cutResponse();
        }
        const std::string key( request.header( "Idempotency-Key", "none" ) );
        std::uint64_t runs = 0;
        {
            const std::lock_guard lock( m_mutex );
            runs = m_runs.value( key, std::uint64_t{ 0 } ) + 1;
            m_runs[key] = runs;
        }
        std::this_thread::sleep_for( milliseconds( m_faults->number( "slow_ms" ) ) );
        if( m_faults->consume( "die_after" ) ) {
            return cutResponse();
        }
        return reply( 200, { { "ran", runs }, { "key", key }, { "path", request.path } } );
    }

private:
    std::shared_ptr<Faults> m_faults;
    std::mutex m_mutex;
    Json m_runs = Json::object();
};

//! Serves weights at a limited rate, to a limited number of concurrent requests.
class WeightStore {
public:
    explicit WeightStore( const Options& options )
        : m_interval( 1000 /
                      std::max<std::int64_t>( 1, numberOption( options, "per-second", 2 ) ) ),
          m_maxConcurrent( numberOption( options, "at-once", 8 ) ) {}

    Response handle( const Request& request ) {
        std::chrono::steady_clock::time_point startAt;
        {
            const std::lock_guard lock( m_mutex );
            if( m_waiting >= m_maxConcurrent ) {
                return reply( 503, { { "error", "too many at once" } } );
            }
            ++m_waiting;
            startAt = std::max( m_nextStart, std::chrono::steady_clock::now() );
            m_nextStart = startAt + m_interval;
        }
        std::this_thread::sleep_until( startAt );
        const std::lock_guard lock( m_mutex );
        --m_waiting;
        return reply( 200, { { "weights", request.path } } );
    }

private:
    milliseconds m_interval;
    std::int64_t m_maxConcurrent;
    std::mutex m_mutex;
    std::int64_t m_waiting = 0;
    std::chrono::steady_clock::time_point m_nextStart;
};

} // namespace

Handler makeService( const Options& ) {
    auto faults = std::make_shared<Faults>();
    auto service = std::make_shared<PlainService>( faults );
    return withFaults( faults, [service]( const Request& it ) { return service->handle( it ); } );
}

Handler makeWeights( const Options& options ) {
    auto store = std::make_shared<WeightStore>( options );
    return [store]( const Request& it ) {
        return store->handle( it );
    };
}

} // namespace standin
