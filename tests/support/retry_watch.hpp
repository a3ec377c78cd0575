// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_RETRY_WATCH_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_RETRY_WATCH_HPP_INCLUDED

#include "decide/retry_budget.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <string>

namespace coursehead::support {

//! Compares the retries that the upstreams of one service receive with the bound, in each window
//! that ends with a retry.
class RetryWatch {
public:
    explicit RetryWatch( decide::RetryBound bound ) : m_bound( bound ) {}

    //! A client sends a request to the service.
    void countRequest( MonoTime now ) {
        m_requests.push_back( now );
        while( now - m_requests.front() > 2 * m_bound.window ) {
            m_requests.pop_front();
        }
    }

    //! An upstream receives a request; returns true if another one has received it before.
    bool countArrival( const std::string& id, MonoTime now ) {
        if( m_arrived.insert( id ).second ) {
            return false;
        }
        countRetry( now );
        return true;
    }

    void countRetry( MonoTime now ) {
        ++m_total;
        m_retries.push_back( now );
        while( now - m_retries.front() > m_bound.window ) {
            m_retries.pop_front();
        }
        const auto count = static_cast<int>( m_retries.size() );
        m_mostInWindow = std::max( m_mostInWindow, count );
        const int excess = count - allowed( now );
        m_maxExcess = std::max( m_maxExcess, excess );
    }

    //! Retries allowed in the window that ends now. The requests are counted in that window, in the
    //! one before it and in the one half a window earlier; the largest number is used.
    int allowed( MonoTime now ) const {
        const auto most = std::max( { requestsUntil( now ), requestsUntil( now - m_bound.window ),
                                      requestsUntil( now - m_bound.window / 2 ) } );
        return static_cast<int>( std::floor( m_bound.ratio * most + m_bound.slack ) );
    }

    //! Largest difference between the retries in a window and the allowed number.
    int maxExcess() const noexcept { return m_maxExcess; }
    int mostInWindow() const noexcept { return m_mostInWindow; }
    //! All retries so far.
    int total() const noexcept { return m_total; }

private:
    double requestsUntil( MonoTime end ) const {
        const auto first =
            std::lower_bound( m_requests.begin(), m_requests.end(), end - m_bound.window );
        const auto last = std::upper_bound( first, m_requests.end(), end );
        return static_cast<double>( last - first );
    }

    decide::RetryBound m_bound;
    std::deque<MonoTime> m_requests;
    std::deque<MonoTime> m_retries;
    std::set<std::string> m_arrived;
    int m_mostInWindow = 0;
    int m_maxExcess = -1000000;
    int m_total = 0;
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_RETRY_WATCH_HPP_INCLUDED
