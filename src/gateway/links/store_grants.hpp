// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_STORE_GRANTS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_STORE_GRANTS_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <deque>
#include <string>

namespace coursehead::gateway {

//! A granted load from the weight store must start within this time or not at all. Otherwise a load
//! that waited for its engine starts in a later window than the one it was counted in, and the rate
//! is exceeded: twelve loads start in a window that permits eleven.
inline constexpr Millis storeGrantLifetime{ 1000 };

//! Loads from the weight store that this gateway granted within a sliding window.
class StoreGrants {
public:
    explicit StoreGrants( Millis window ) : m_window( window ) {}

    //! Grants a load unless the window holds `maxLoads` already. Requests that wait for the same
    //! load share its grant.
    bool take( const std::string& upstreamId, const std::string& model, int maxLoads,
               MonoTime now );
    //! Removes the grant of a load that has not started and will not.
    void release( const std::string& upstreamId, const std::string& model );

private:
    struct Load {
        MonoTime at;
        std::string upstreamId;
        std::string model;
    };

    Millis m_window;
    std::deque<Load> m_loads; //!< in the order of their grants
};

//! One gateway's share of the loads that the weight store permits in a window. At least one, so
//! that every model can be loaded; with more gateways than permitted loads the sum exceeds the
//! rate.
int storeShare( double loadsPerS, Millis window, int gateways );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_STORE_GRANTS_HPP_INCLUDED
