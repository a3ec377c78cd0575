// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_LIMIT_WATCH_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_LIMIT_WATCH_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>

namespace coursehead::support {

//! Bound on the requests that an upstream may receive within any window of this length:
//! `limitWindowFactor` times the number that its limit allows, and `limitWindowExtraRequests`
//! requests more.
inline constexpr Millis limitWindow{ 4000 };
inline constexpr double limitWindowFactor = 1.5;
inline constexpr int limitWindowExtraRequests = 5;

//! Counts the requests that an upstream receives, and compares them with the limit that it has
//! announced.
class LimitWatch {
public:
    //! `grace`: time after an announcement until all gateways have to keep to the limit.
    explicit LimitWatch( Millis grace ) : m_grace( grace ) {}

    //! The upstream announces another limit; nullopt: no limit any more.
    void setLimit( std::optional<double> perS, MonoTime now ) {
        m_perS = perS;
        m_limitSetAt = now;
        m_arrivals.clear();
    }
    std::optional<double> perS() const { return m_perS; }

    //! Counts a request; returns by how many the window that ends now exceeds the bound.
    int countRequest( MonoTime now ) {
        if( !m_perS || now - m_limitSetAt < m_grace ) {
            return 0;
        }
        m_arrivals.push_back( now );
        while( now - m_arrivals.front() > limitWindow ) {
            m_arrivals.pop_front();
        }
        const auto count = static_cast<int>( m_arrivals.size() );
        m_mostInWindow = std::max( m_mostInWindow, count );
        return std::max( count - allowed(), 0 );
    }

    //! Requests that the bound allows in one window.
    int allowed() const {
        const double seconds = std::chrono::duration<double>( limitWindow ).count();
        return static_cast<int>( std::floor( limitWindowFactor * m_perS.value_or( 0 ) * seconds +
                                             limitWindowExtraRequests ) );
    }
    //! The highest number of requests counted in one window.
    int mostInWindow() const { return m_mostInWindow; }

private:
    Millis m_grace;
    std::optional<double> m_perS;
    MonoTime m_limitSetAt;
    std::deque<MonoTime> m_arrivals;
    int m_mostInWindow = 0;
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_LIMIT_WATCH_HPP_INCLUDED
