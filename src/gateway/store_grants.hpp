// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_STORE_GRANTS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_STORE_GRANTS_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <deque>
#include <string>

namespace coursehead::gateway {

//! A load from the weight store begins this long after it was allowed at the latest, or not at all:
//! one that waited for its engine began in another window than it was counted in, and twelve loads
//! began where eleven may.
inline constexpr Millis storeGrantLifetime{ 1000 };

//! Loads from the weight store that one gateway allowed within a window of time.
class StoreGrants {
public:
    explicit StoreGrants( Millis window ) : m_window( window ) {}

    //! Allows a load unless `most` are in the window. Requests that wait for the same load share
    //! it.
    bool take( const std::string& upstreamId, const std::string& model, int most, MonoTime now );
    //! A load that was allowed did not begin, and will not.
    void release( const std::string& upstreamId, const std::string& model );

private:
    struct Load {
        MonoTime at;
        std::string upstreamId;
        std::string model;
    };

    Millis m_window;
    std::deque<Load> m_loads; //!< the last one at the end
};

//! One gateway's part of the loads that the weight store allows in a window: at least one, so that
//! no model is out of reach. With more gateways than such loads their sum is above the rate.
int storeShare( double loadsPerS, Millis window, int gateways );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_STORE_GRANTS_HPP_INCLUDED
