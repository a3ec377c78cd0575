// SPDX-License-Identifier: BSL-1.0
#include "soak/schedule.hpp"

#include <array>
#include <csignal>
#include <iostream>

namespace coursehead::soak {

namespace {

constexpr int shortestFaultMs = 300;
constexpr int faultSpanMs = 3000;
//! Longest time between the starts of two faults; shorter than most faults, so that faults overlap.
constexpr int maxFaultGapMs = 1200;
//! After this many faults of any kind, `plannedInSeries` faults of planned work follow.
constexpr int faultsInSeries = 6;
constexpr int plannedInSeries = 6;
//! Time that connections, reports and readiness need to settle after a disturbance.
constexpr Millis settlingTime{ 4000 };

} // namespace

bool Schedule::isPlanned( Fault fault ) const {
    return fault == Fault::gatewayTerm || fault == Fault::sidecarTerm || fault == Fault::reload ||
           fault == Fault::runnerLeave || fault == Fault::configuration;
}

Process& Schedule::randomProcess( std::vector<std::unique_ptr<Process>>& processes ) {
    return *processes[m_deployment.random().below( processes.size() )];
}

Upstream& Schedule::randomUpstream() {
    auto& all = m_deployment.upstreams();
    return all[m_deployment.random().below( all.size() )];
}

Upstream& Schedule::randomService( RandomSource& random ) {
    const auto& options = m_deployment.options();
    const auto n = random.below( static_cast<std::uint64_t>( options.services ) );
    return m_deployment.upstreams()[static_cast<std::size_t>( options.engines ) + n];
}

void Schedule::logFault( Fault fault, const std::string& what ) {
    static constexpr std::array<const char*, faults> names{
        "SIGTERM", "SIGKILL",    "SIGSTOP", "SIGTERM",       "SIGKILL",       "SIGSTOP",
        "SIGHUP",  "crash",      "leave",   "mode",          "link",          "link",
        "link",    "store link", "store",   "configuration", "SIGKILL to all" };
    const auto at = std::chrono::duration<double>( MonoClock::now() - m_start );
    std::cout << at.count() << " s: " << names[static_cast<std::size_t>( fault )] << " " << what
              << std::endl;
}

void Schedule::kill( Process& process ) {
    process.down = true;
    process.child->signal( SIGKILL );
}

net::Task<> Schedule::pauseProcess( Process& process, Millis length ) {
    if( process.paused || process.down ) {
        co_return;
    }
    process.paused = true;
    process.child->signal( SIGSTOP );
    co_await net::pause( m_deployment.context(), length );
    process.child->signal( SIGCONT );
    process.paused = false;
}

net::Task<> Schedule::breakLink( Link& link, Millis length ) {
    static constexpr std::array modes{ LinkMode::delayed, LinkMode::reset,
                                       LinkMode::responsesBlocked, LinkMode::silent };
    link.setMode( modes[m_deployment.random().below( modes.size() )] );
    co_await net::pause( m_deployment.context(), length );
    link.setMode( LinkMode::pass );
}

net::Task<> Schedule::disruptStore( Millis length ) {
    using support::StoreMode;
    static constexpr std::array modes{ StoreMode::silent, StoreMode::busy, StoreMode::reset,
                                       StoreMode::up };
    auto& store = m_deployment.store();
    const auto mode = modes[m_deployment.random().below( modes.size() )];
    constexpr Millis slow{ 250 };
    store.setMode( mode );
    store.setDelay( mode == StoreMode::up ? slow : Millis{ 0 } );
    co_await net::pause( m_deployment.context(), length );
    store.setDelay( Millis{ 0 } );
    if( m_deployment.random().below( 2 ) == 0 ) {
        store.discardHistory();
    }
    store.setMode( StoreMode::up );
}

net::Task<> Schedule::inject( Fault fault ) {
    auto& random = m_deployment.random();
    const Millis length( shortestFaultMs +
                         static_cast<std::int64_t>( random.below( faultSpanMs ) ) );
    if( !isPlanned( fault ) ) {
        m_deployment.record().markDisturbed( MonoClock::now() + length + settlingTime );
    }
    switch( fault ) {
    case Fault::gatewayTerm:
    case Fault::gatewayKill:
    case Fault::gatewayPause:
        co_await injectProcessFault( fault, randomProcess( m_deployment.gateways() ), length );
        break;
    case Fault::sidecarTerm:
    case Fault::sidecarKill:
    case Fault::sidecarPause:
        co_await injectProcessFault( fault, randomProcess( m_deployment.sidecars() ), length );
        break;
    case Fault::runnerCrash:
    case Fault::runnerLeave:
    case Fault::runnerMode:
        co_await injectUpstreamFault( fault, length );
        break;
    case Fault::upstreamLink:
    case Fault::sidecarLink:
    case Fault::frontLink:
    case Fault::storeLink:
        co_await injectLinkFault( fault, length );
        break;
    case Fault::storeFault:
        logFault( fault, "in trouble" );
        co_await disruptStore( length );
        break;
    case Fault::reload:
        reload( randomProcess( m_deployment.gateways() ) );
        break;
    case Fault::configuration:
        logFault( fault, "changes" );
        m_deployment.changeConfiguration();
        break;
    case Fault::killAll:
        killAll();
        break;
    }
}

net::Task<> Schedule::injectProcessFault( Fault fault, Process& process, Millis length ) {
    const bool stops = fault == Fault::gatewayTerm || fault == Fault::sidecarTerm;
    if( process.down || ( stops && process.stopRequestedAt != MonoTime{} ) ) {
        co_return;
    }
    logFault( fault, process.name );
    if( stops ) {
        process.stopRequestedAt = MonoClock::now();
        process.child->signal( SIGTERM );
    } else if( fault == Fault::gatewayKill || fault == Fault::sidecarKill ) {
        kill( process );
    } else {
        co_await pauseProcess( process, length );
    }
}

net::Task<> Schedule::injectUpstreamFault( Fault fault, Millis length ) {
    auto& random = m_deployment.random();
    auto& upstream = randomUpstream();
    if( fault == Fault::runnerLeave ) {
        logFault( fault, "of an upstream" );
        upstream.runner->leave();
        co_return;
    }
    if( fault == Fault::runnerCrash ) {
        logFault( fault, "of an upstream" );
        upstream.starting = true;
        upstream.runner->crash();
        co_await net::pause( m_deployment.context(), length );
        upstream.starting = false;
        co_return;
    }
    // Only services receive requests that may run at most once; services are therefore chosen at
    // least as often as all engines together.
    constexpr std::uint64_t modes = 7;
    const bool service = random.below( 2 ) == 0;
    auto& target = service ? randomService( m_deployment.random() ) : upstream;
    logFault( fault, service ? "of a service" : "of an upstream" );
    target.runner->setMode( static_cast<RunnerMode>( 1 + random.below( modes ) ) );
    co_await net::pause( m_deployment.context(), length );
    target.runner->setMode( RunnerMode::normal );
}

net::Task<> Schedule::injectLinkFault( Fault fault, Millis length ) {
    auto& gateway = randomProcess( m_deployment.gateways() );
    auto& sidecar = randomProcess( m_deployment.sidecars() );
    if( fault == Fault::upstreamLink ) {
        logFault( fault, "to an upstream" );
        co_await breakLink( *randomUpstream().toIt, length );
    } else if( fault == Fault::sidecarLink ) {
        logFault( fault, "to " + sidecar.name );
        co_await breakLink( *sidecar.toIt, length );
    } else if( fault == Fault::frontLink ) {
        logFault( fault, "from callers to " + gateway.name );
        co_await breakLink( *gateway.toIt, length );
    } else {
        auto& process = m_deployment.random().below( 2 ) == 0 ? gateway : sidecar;
        logFault( fault, "of " + process.name );
        co_await breakLink( *process.toStore, length );
    }
}

void Schedule::reload( Process& gateway ) {
    logFault( Fault::reload, gateway.name );
    m_deployment.rewriteSettings( gateway );
    gateway.child->signal( SIGHUP );
}

void Schedule::killAll() {
    logFault( Fault::killAll, "processes" );
    for( auto& it : m_deployment.gateways() ) {
        kill( *it );
    }
    for( auto& it : m_deployment.sidecars() ) {
        kill( *it );
    }
}

net::Task<> Schedule::announceLimits( Millis length ) {
    constexpr std::uint64_t stream = 0x11417;
    constexpr std::uint64_t pauseMs = 4000;
    constexpr std::uint64_t shortestMs = 2000;
    constexpr std::uint64_t spanMs = 8000;
    constexpr double highestPerS = 8;
    RandomSource random( m_deployment.options().seed ^ stream );
    const auto draw = [&random]( std::uint64_t most ) {
        return Millis( static_cast<std::int64_t>( random.below( most ) ) );
    };
    const auto end = MonoClock::now() + length;
    while( MonoClock::now() < end ) {
        co_await net::pause( m_deployment.context(), draw( pauseMs ) );
        auto& all = m_deployment.upstreams();
        auto& runner = *all[random.below( all.size() )].runner;
        const double perS = random.unit() * highestPerS;
        const auto at = std::chrono::duration<double>( MonoClock::now() - m_start );
        std::cout << at.count() << " s: an upstream names a limit of " << perS << " a second"
                  << std::endl;
        m_deployment.record().count( "limits named" );
        runner.nameLimit( perS );
        const Millis shortest( shortestMs );
        co_await net::pause( m_deployment.context(), shortest + draw( spanMs ) );
        runner.nameLimit( std::nullopt );
    }
}

net::Task<> Schedule::sendSurplusAnswers( Millis length ) {
    constexpr std::uint64_t stream = 0x50b1;
    constexpr std::uint64_t pauseMs = 3000;
    constexpr Millis duration{ 2000 };
    constexpr double maxShare = 0.5;
    constexpr std::uint64_t maxSlots = 4; // so few that requests are refused
    RandomSource random( m_deployment.options().seed ^ stream );
    const auto end = MonoClock::now() + length;
    while( MonoClock::now() < end ) {
        const Millis pause( static_cast<std::int64_t>( random.below( pauseMs ) ) );
        co_await net::pause( m_deployment.context(), pause );
        if( MonoClock::now() >= end ) {
            break;
        }
        auto& runner = *randomService( random ).runner;
        const SurplusAnswers surplus{ random.unit() * maxShare, random.below( 2 ) == 0,
                                      random.below( 3 ) > 0 };
        runner.setSurplus( surplus );
        runner.setSlots( 1 + random.below( maxSlots ) );
        co_await net::pause( m_deployment.context(), duration );
        runner.setSurplus( {} );
        runner.setSlots( engineSlots );
    }
}

net::Task<> Schedule::offerPoisonParts( Millis length ) {
    constexpr std::uint64_t stream = 0x9a27;
    constexpr std::uint64_t pauseMs = 6000;
    constexpr Millis offered{ 2000 };
    RandomSource random( m_deployment.options().seed ^ stream );
    const auto end = MonoClock::now() + length;
    int offers = 0;
    while( MonoClock::now() < end ) {
        const Millis pause( static_cast<std::int64_t>( random.below( pauseMs ) ) );
        co_await net::pause( m_deployment.context(), pause );
        if( MonoClock::now() + offered > end ) {
            // An engine that crashes later would end streams without length between two events,
            // where nothing shows that they are incomplete.
            co_return;
        }
        m_deployment.record().markDisturbed( MonoClock::now() + offered + settlingTime );
        const auto at = std::chrono::duration<double>( MonoClock::now() - m_start );
        std::cout << at.count() << " s: a prompt part that crashes engines" << std::endl;
        m_deployment.offerPoisonPart( "bad" + std::to_string( ++offers ) );
        co_await net::pause( m_deployment.context(), offered );
        m_deployment.offerPoisonPart( "" );
    }
}

net::Task<> Schedule::run( Millis length ) {
    m_start = MonoClock::now();
    net::start( m_deployment.context(), announceLimits( length ), "limits" );
    net::start( m_deployment.context(), offerPoisonParts( length ), "poison parts" );
    net::start( m_deployment.context(), sendSurplusAnswers( length ), "surplus answers" );
    auto& random = m_deployment.random();
    int faultIndex = 0;
    while( MonoClock::now() - m_start < length ) {
        const Millis pause( static_cast<std::int64_t>( random.below( maxFaultGapMs ) ) );
        co_await net::pause( m_deployment.context(), pause );
        const bool plannedOnly =
            faultIndex % ( faultsInSeries + plannedInSeries ) >= faultsInSeries;
        auto fault = static_cast<Fault>( random.below( faults ) );
        while( plannedOnly && !isPlanned( fault ) ) {
            fault = static_cast<Fault>( random.below( faults ) );
        }
        const bool first = faultIndex % ( faultsInSeries + plannedInSeries ) == faultsInSeries;
        if( first ) {
            co_await net::pause( m_deployment.context(), settlingTime + Millis( faultSpanMs ) );
        }
        ++faultIndex;
        net::start( m_deployment.context(), inject( fault ), "fault" );
    }
    const Millis last( shortestFaultMs + faultSpanMs );
    co_await net::pause( m_deployment.context(), last );
}

} // namespace coursehead::soak
