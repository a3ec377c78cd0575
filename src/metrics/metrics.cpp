// SPDX-License-Identifier: BSL-1.0
#include "coursehead/metrics/metrics.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <utility>

namespace coursehead::metrics {

namespace bh = boost::histogram;

namespace {

constexpr std::size_t maxCallers = 200;
constexpr std::size_t seriesCount = 3;
constexpr std::array<std::string_view, seriesCount> seriesNames{
    "coursehead_first_token_ms",
    "coursehead_between_tokens_ms",
    "coursehead_request_ms",
};

using Labels = bh::axis::category<std::string, bh::use_default, bh::axis::option::growth_t>;
using Bounds = bh::axis::variable<double>;

auto makeHistogram() {
    // The usual latency targets are bucket bounds: 47 ms between tokens, 610 ms to the first token.
    return bh::make_histogram( Labels{}, Labels{},
                               Bounds{ 0, 1, 2, 5, 10, 20, 47, 100, 200, 400, 610, 1000, 2000, 5000,
                                       10000, 30000, 60000, 120000 } );
}
using Histogram = decltype( makeHistogram() );

struct CounterKey {
    std::string name;
    std::string reason;
    auto operator<=>( const CounterKey& ) const = default;
};

std::string escape( std::string_view text ) {
    std::string out;
    for( const char c : text ) {
        if( c == '"' || c == '\\' ) {
            out.push_back( '\\' );
        }
        out.push_back( c == '\n' ? ' ' : c );
    }
    return out;
}

} // namespace

struct Metrics::Impl {
    mutable std::mutex mutex;
    std::array<Histogram, seriesCount> histograms{ makeHistogram(), makeHistogram(),
                                                   makeHistogram() };
    std::array<std::map<CounterKey, double>, seriesCount> sums; //!< by class and caller
    std::set<std::string, std::less<>> callers;
    std::map<CounterKey, std::uint64_t> counters;
    std::map<std::string, std::function<double()>> gauges;

    void print( std::ostream& out, std::size_t series ) const;
};

Metrics::Metrics() : m_impl( std::make_unique<Impl>() ) {}
Metrics::~Metrics() = default;

void Metrics::observe( Series series, std::string_view requestClass, std::string_view caller,
                       double ms ) {
    const std::lock_guard lock( m_impl->mutex );
    std::string callerLabel( caller );
    if( !m_impl->callers.contains( callerLabel ) ) {
        if( m_impl->callers.size() >= maxCallers ) {
            callerLabel = "other";
        }
        m_impl->callers.insert( callerLabel );
    }
    const auto n = static_cast<std::size_t>( series );
    const std::string name( requestClass );
    m_impl->histograms[n]( name, callerLabel, ms );
    m_impl->sums[n][{ name, callerLabel }] += ms;
}

void Metrics::count( std::string_view name, std::string_view reason, std::uint64_t n ) {
    const std::lock_guard lock( m_impl->mutex );
    m_impl->counters[{ std::string( name ), std::string( reason ) }] += n;
}

void Metrics::gauge( std::string name, std::function<double()> read ) {
    const std::lock_guard lock( m_impl->mutex );
    m_impl->gauges[std::move( name )] = std::move( read );
}

void Metrics::Impl::print( std::ostream& out, std::size_t series ) const {
    const auto& histogram = histograms[series];
    const auto& classAxis = histogram.axis( std::integral_constant<unsigned, 0>{} );
    const auto& callerAxis = histogram.axis( std::integral_constant<unsigned, 1>{} );
    const auto& boundAxis = histogram.axis( std::integral_constant<unsigned, 2>{} );
    const auto name = seriesNames[series];
    out << "# TYPE " << name << " histogram\n";
    for( int c = 0; c < classAxis.size(); ++c ) {
        for( int w = 0; w < callerAxis.size(); ++w ) {
            const std::string labels = "class=\"" + escape( classAxis.value( c ) ) +
                                       "\",caller=\"" + escape( callerAxis.value( w ) ) + "\"";
            double total = histogram.at( c, w, -1 );
            std::ostringstream buckets;
            for( int b = 0; b < boundAxis.size(); ++b ) {
                total += histogram.at( c, w, b );
                buckets << name << "_bucket{" << labels << ",le=\"" << boundAxis.value( b + 1 )
                        << "\"} " << total << "\n";
            }
            total += histogram.at( c, w, boundAxis.size() );
            if( total <= 0 ) {
                continue;
            }
            const auto sum =
                sums[series].find( CounterKey{ classAxis.value( c ), callerAxis.value( w ) } );
            out << buckets.str() << name << "_bucket{" << labels << ",le=\"+Inf\"} " << total
                << "\n"
                << name << "_sum{" << labels << "} "
                << ( sum == sums[series].end() ? 0.0 : sum->second ) << "\n"
                << name << "_count{" << labels << "} " << total << "\n";
        }
    }
}

std::string Metrics::prometheus() const {
    std::ostringstream out;
    std::map<std::string, std::function<double()>> gauges;
    {
        const std::lock_guard lock( m_impl->mutex );
        for( std::size_t n = 0; n < seriesCount; ++n ) {
            m_impl->print( out, n );
        }
        for( const auto& [key, value] : m_impl->counters ) {
            out << "coursehead_" << key.name << "_total";
            if( !key.reason.empty() ) {
                out << "{reason=\"" << escape( key.reason ) << "\"}";
            }
            out << " " << value << "\n";
        }
        gauges = m_impl->gauges;
    }
    for( const auto& [name, read] : gauges ) {
        out << "coursehead_" << name << " " << read() << "\n";
    }
    return out.str();
}

} // namespace coursehead::metrics
