// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_SCHEDULE_HPP_INCLUDED
#define COURSEHEAD_SOAK_SCHEDULE_HPP_INCLUDED

#include "soak/deployment.hpp"

#include <string>

namespace coursehead::soak {

//! Draws faults and planned work by the seed, in series and overlapping, with calm stretches in
//! which the bounds in time are checked.
class Schedule {
public:
    explicit Schedule( Deployment& deployment ) : m_deployment( deployment ) {}

    //! Faults for a while; then everything is healed.
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
        storeTrouble,
        configuration,
        killAll,
    };
    static constexpr int faults = 17;

    //! Upstreams name limits now and then, beside all else and by draws of their own.
    net::Task<> nameLimits( Millis length );
    net::Task<> strike( Fault fault );
    net::Task<> strikeProcess( Fault fault, Process& process, Millis length );
    net::Task<> strikeUpstream( Fault fault, Millis length );
    net::Task<> strikeLink( Fault fault, Millis length );
    net::Task<> pauseProcess( Process& process, Millis length );
    net::Task<> breakLink( Link& link, Millis length );
    net::Task<> troubleStore( Millis length );
    void kill( Process& process );
    void killAll();
    void reload( Process& gateway );
    void say( Fault fault, const std::string& what );
    bool isPlanned( Fault fault ) const;
    Process& any( std::vector<std::unique_ptr<Process>>& processes );
    Upstream& anyUpstream();
    Upstream& anyService();

    Deployment& m_deployment;
    MonoTime m_start;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_SCHEDULE_HPP_INCLUDED
