// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_BACKOFF_HPP_INCLUDED
#define COURSEHEAD_DECIDE_BACKOFF_HPP_INCLUDED

/**
 * Slow start of upstreams whose back-off has ended. It is designed for a load in which all
 * upstreams of a service, or all with one model, refuse requests for seconds. During the back-off
 * an upstream gets no requests. Afterwards a gateway sends it only a few at first: if all queued
 * requests were sent at once, the upstream would refuse them together and ask for another back-off.
 */
namespace coursehead::decide {

//! Requests that one gateway may have in flight at an upstream whose back-off has ended.
class SlowStart {
public:
    //! The upstream asked for a back-off. It runs `slots` requests at once, shared by `gateways`
    //! gateways.
    void begin( int slots, int gateways );
    //! The upstream has served a request, or started to serve one.
    void noteServed();
    //! True when another request may be sent while `inFlight` are in flight.
    bool admits( int inFlight ) const noexcept {
        return m_maxInFlight == 0 || inFlight < m_maxInFlight;
    }

private:
    int m_maxInFlight = 0; //!< requests that may be in flight; 0: no bound
    int m_slots = 0;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_BACKOFF_HPP_INCLUDED
