// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_METRICS_METRICS_HPP_INCLUDED
#define COURSEHEAD_METRICS_METRICS_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

//! The metrics of a process: histograms by class and caller, counters and gauges.
namespace coursehead::metrics {

//! The histograms; all values are in milliseconds.
enum class Series { firstToken, betweenTokens, request };

class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics( const Metrics& ) = delete;
    Metrics& operator=( const Metrics& ) = delete;

    //! Adds a value in milliseconds. The number of distinct callers is bounded, so that callers
    //! can't exhaust the memory; further callers count as "other".
    void observe( Series series, std::string_view requestClass, std::string_view caller,
                  double ms );
    //! Adds `n` to a counter, labelled with a reason or outcome.
    void count( std::string_view name, std::string_view reason = {}, std::uint64_t n = 1 );
    //! Registers a gauge whose value is read at each scrape.
    void gauge( std::string name, std::function<double()> read );
    //! All metrics in the Prometheus text format.
    std::string prometheus() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace coursehead::metrics

#endif // COURSEHEAD_METRICS_METRICS_HPP_INCLUDED
