// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_METRICS_METRICS_HPP_INCLUDED
#define COURSEHEAD_METRICS_METRICS_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

//! What a process measures: histograms by class and caller, counters and gauges.
namespace coursehead::metrics {

//! The histograms that exist; all in milliseconds.
enum class Series { firstToken, betweenTokens, request };

class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics( const Metrics& ) = delete;
    Metrics& operator=( const Metrics& ) = delete;

    //! Adds a value in milliseconds. Past a bound on distinct callers, further ones count as
    //! "other", so that callers can't fill the memory.
    void observe( Series series, std::string_view requestClass, std::string_view caller,
                  double ms );
    //! Counts one event, or `n` of something, by a reason or outcome.
    void count( std::string_view name, std::string_view reason = {}, std::uint64_t n = 1 );
    //! Registers a value that is read at each scrape.
    void gauge( std::string name, std::function<double()> read );
    //! Everything in Prometheus' text format.
    std::string prometheus() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace coursehead::metrics

#endif // COURSEHEAD_METRICS_METRICS_HPP_INCLUDED
