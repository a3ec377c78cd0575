// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ACCEPT_LIMITER_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ACCEPT_LIMITER_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

/**
 * How many new connections a gateway accepts while it has more work than it can carry. A client
 * whose connection is refused has sent nothing and can try another gateway at once, while a request
 * that is read first has already taken its part of the link and the processor.
 */
namespace coursehead::decide {

//! Gateways of one hall as sidecars see them, summed over the sidecars that one of these gateways
//! is connected to.
struct GatewaysSeen {
    int sidecars = 0;
    int connected = 0;  //!< gateways connected to each of them, this one included
    int atCapacity = 0; //!< of those, gateways that have more work than they can carry
};

//! True if a client that is refused here probably finds a gateway with room: the hall has others,
//! and at most half of all are at capacity.
bool othersHaveRoom( const GatewaysSeen& seen );

/**
 * Limits the rate of accepted connections. While the load is high none is accepted, except one a
 * second so that the gateway never looks dead; afterwards the rate starts below the one that led to
 * the high load and grows. The limit ends when connections come more slowly than it allows.
 */
class AcceptLimiter {
public:
    //! Takes a measurement, made every tenth of a second. `load` is the share of what the gateway
    //! can carry. Nothing is limited unless `mayRefuse`. Returns true when the limit begins or
    //! ends.
    bool note( double load, bool mayRefuse, MonoTime now );
    void noteAccepted( MonoTime now );

    bool mayAccept( MonoTime now ) const noexcept;
    bool limits() const noexcept { return m_limits; }
    //! True while connections have been refused for most of the last seconds.
    bool atCapacity() const noexcept;
    //! Connections a second; only meaningful while connections are limited.
    double perS() const noexcept { return m_perS; }

private:
    void adaptRate( double load, double seconds, MonoTime now );

    bool m_limits = false;
    bool m_overloaded = false;  //!< the load has been high and is not low again
    double m_refusingShare = 0; //!< of the last seconds
    double m_perS = 0;
    double m_allowance = 0;    //!< connections that may be accepted now
    double m_acceptedPerS = 0; //!< average over about a second
    int m_accepted = 0;        //!< since the last measurement
    MonoTime m_notedAt{};      //!< last measurement; default value: none yet
    MonoTime m_lastAcceptedAt{};
    MonoTime m_usedUpAt{}; //!< when the allowance was last used up
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ACCEPT_LIMITER_HPP_INCLUDED
