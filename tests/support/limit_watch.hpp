// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_LIMIT_WATCH_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_LIMIT_WATCH_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>

namespace coursehead::support {

//! In any such window an upstream bears so much of what its limit allows, and so many requests on
//! top.
inline constexpr Millis limitWindow{ 4000 };
inline constexpr double limitOver = 1.5;
inline constexpr int limitSlack = 5;

//! An upstream's own count of what comes against the limit that it names.
class LimitWatch {
public:
    //! `grace`: from the naming on until everybody has to keep to it.
    explicit LimitWatch( Millis grace ) : m_grace( grace ) {}

    //! It names another limit from now on; nullopt: none any more.
    void name( std::optional<double> perS, MonoTime now ) {
        m_perS = perS;
        m_since = now;
        m_arrived.clear();
    }
    std::optional<double> perS() const { return m_perS; }

    //! A request came. By how many that is too much in the window that ends now.
    int arrived( MonoTime now ) {
        if( !m_perS || now - m_since < m_grace ) {
            return 0;
        }
        m_arrived.push_back( now );
        while( now - m_arrived.front() > limitWindow ) {
            m_arrived.pop_front();
        }
        const auto count = static_cast<int>( m_arrived.size() );
        m_most = std::max( m_most, count );
        return std::max( count - allowed(), 0 );
    }

    int allowed() const {
        const double seconds = std::chrono::duration<double>( limitWindow ).count();
        return static_cast<int>(
            std::floor( limitOver * m_perS.value_or( 0 ) * seconds + limitSlack ) );
    }
    //! The most that came in one window.
    int most() const { return m_most; }

private:
    Millis m_grace;
    std::optional<double> m_perS;
    MonoTime m_since;
    std::deque<MonoTime> m_arrived;
    int m_most = 0;
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_LIMIT_WATCH_HPP_INCLUDED
