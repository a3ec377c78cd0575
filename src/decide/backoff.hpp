// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_BACKOFF_HPP_INCLUDED
#define COURSEHEAD_DECIDE_BACKOFF_HPP_INCLUDED

/**
 * Upstreams that have asked a gateway for a back-off, and what follows on its end. The load that
 * this answers: all upstreams of a service, or all with a model, turn requests away for seconds.
 * Until the end they are as good as gone; behind it a few requests are let through at first, or
 * all that gathered would be turned away together, with a further back-off.
 */
namespace coursehead::decide {

//! Requests that one gateway may have in flight at an upstream whose back-off has ended.
class SlowStart {
public:
    //! It asked for a back-off. `slots` requests run there at once, for `gateways` gateways.
    void begin( int slots, int gateways );
    //! It has served a request, or begun to.
    void noteServed();
    //! True when a further request may go there beside those in flight.
    bool admits( int inFlight ) const noexcept { return m_window == 0 || inFlight < m_window; }

private:
    int m_window = 0; //!< 0: no bound
    int m_slots = 0;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_BACKOFF_HPP_INCLUDED
