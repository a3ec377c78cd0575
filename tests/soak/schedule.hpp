// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_SCHEDULE_HPP_INCLUDED
#define COURSEHEAD_SOAK_SCHEDULE_HPP_INCLUDED

#include "soak/deployment.hpp"

#include <string>

namespace coursehead::soak {

//! Draws overlapping faults and planned work from the seed. Series of faults alternate with series
//! of planned work only, in which the time bounds are checked.
class Schedule {
public:
    explicit Schedule( Deployment& deployment ) : m_deployment( deployment ) {}

    //! Injects faults for `length`, then waits until all faults have ended.
    net::Task<> run( Millis length );

private:
    enum class Fault {
        gatewayTerm,
        gatewayKill,
        gatewayPause,
        sidecarTerm,
        sidecarKill,
        sidecarPause,
        reload,
        runnerCrash,
        runnerLeave,
        runnerMode,
        upstreamLink,
        sidecarLink,
        frontLink,
        storeLink,
        storeFault,
        configuration,
        killAll,
    };
    static constexpr int faults = 17;

    //! Lets random upstreams announce limits, in parallel with the faults. Uses a random source of
    //! its own, so that the draws of the faults do not change.
    net::Task<> announceLimits( Millis length );
    //! Lets random plain upstreams send copies of their answers where the next one is due, in
    //! parallel with the faults and with draws of its own.
    net::Task<> sendSurplusAnswers( Millis length );
    //! Lets callers ask for streams with a prompt part that crashes engines, in parallel with the
    //! faults and with draws of its own.
    net::Task<> offerPoisonParts( Millis length );
    net::Task<> inject( Fault fault );
    net::Task<> injectProcessFault( Fault fault, Process& process, Millis length );
    net::Task<> injectUpstreamFault( Fault fault, Millis length );
    net::Task<> injectLinkFault( Fault fault, Millis length );
    net::Task<> pauseProcess( Process& process, Millis length );
    net::Task<> breakLink( Link& link, Millis length );
    net::Task<> disruptStore( Millis length );
    void kill( Process& process );
    void killAll();
    void reload( Process& gateway );
    void logFault( Fault fault, const std::string& what );
    bool isPlanned( Fault fault ) const;
    Process& randomProcess( std::vector<std::unique_ptr<Process>>& processes );
    Upstream& randomUpstream();
    Upstream& randomService( RandomSource& random );

    Deployment& m_deployment;
    MonoTime m_start;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_SCHEDULE_HPP_INCLUDED
