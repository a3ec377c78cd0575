// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_SMOOTHED_RATE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_SMOOTHED_RATE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cmath>

namespace coursehead::decide {

//! Exponentially smoothed rate: the sum of amounts a second, with older amounts weighted less.
class SmoothedRate {
public:
    //! An amount of age `memory` counts with about a third of its weight.
    explicit SmoothedRate( Millis memory ) : m_memory( memory ) {}

    void note( double amount, MonoTime now ) {
        m_perS = perS( now ) + amount / std::chrono::duration<double>( m_memory ).count();
        m_at = now;
    }
    double perS( MonoTime now ) const {
        const std::chrono::duration<double, std::milli> age = now - m_at;
        return m_perS * std::exp( -age.count() / static_cast<double>( m_memory.count() ) );
    }

private:
    Millis m_memory;
    double m_perS = 0; //!< at `m_at`
    MonoTime m_at;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_SMOOTHED_RATE_HPP_INCLUDED
