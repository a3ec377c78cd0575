// SPDX-License-Identifier: BSL-1.0
#include "gateway/gateway.hpp"

#include "coursehead/kernel/log.hpp"
#include "coursehead/kernel/signals.hpp"
#include "decide/accept_limiter.hpp"
#include "gateway/client_listener.hpp"
#include "gateway/exchange/client_session.hpp"
#include "gateway/exchange/status.hpp"
#include "gateway/links/store_feed.hpp"
#include "gateway/probe_server.hpp"
#include "kernel/hash.hpp"
#include "kernel/platform_role.hpp"
#include "kernel/resident_memory.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <set>

namespace coursehead::gateway {

namespace {

constexpr Millis tickInterval{ 100 };
//! Interval of reading the process's memory: it costs a system call, and grows over seconds.
constexpr Millis memoryReadInterval{ 1000 };
//! Interval of the log line about what clients bring.
constexpr Millis trafficLogInterval{ 1000 };
//! Fewer connections accepted within that interval are not logged.
constexpr int minLoggedConnections = 10;
//! Interval of checks for a changed settings file: it may change without a signal, and a change
//! must take effect within seconds.
constexpr Millis settingsCheckInterval{ 1000 };
//! After SIGTERM clients are still routed to this gateway until two readiness probes, a second
//! apart, have failed.
constexpr Millis handoverDelay{ 2600 };
//! Part of the grace period before SIGKILL that is reserved for an orderly exit.
constexpr Millis exitMargin{ 500 };
//! A request that still waits for a model this long before the drain's end is refused; otherwise
//! its connection would be cut without an answer.
constexpr Millis lastSendMargin{ 1000 };
//! Sends that have no answer yet are broken off this long before the drain's end.
constexpr Millis lastAnswerMargin{ 200 };

//! The gateway process; all its services run on one event loop.
class Gateway {
public:
    explicit Gateway( platform::NodeSettings settings )
        : m_settings( std::move( settings ) ), m_random( systemSeed() ),
          m_fleet( m_context, m_random, fleetSettings() ),
          m_registry( Registry::Settings{} ), m_shared{ m_context, m_fleet,           m_random,
                                                        m_metrics, m_settings.bounds, nullptr,
                                                        {} },
          m_quota( m_context, m_fleet, m_settings.vm, m_settings.bounds ),
          m_limits( m_fleet, m_metrics, m_settings.vm ), m_origins( m_context, m_fleet, m_metrics ),
          m_poison( m_context, m_fleet, m_metrics, m_settings.store ),
          m_feed( m_context, m_settings, m_random, m_metrics, m_fleet, m_registry, feedHandlers() ),
          m_signals( m_context, SIGTERM, SIGINT, SIGHUP ) {}

    int run() {
        m_shared.quota = &m_quota;
        m_shared.limits = &m_limits;
        m_shared.poison = &m_poison;
        m_shared.origins = &m_origins;
        m_fleet.onLimitUpdate( [this]( const decide::LimitUpdate& update ) {
            m_limits.applyUpdate( update, MonoClock::now() );
        } );
        m_shared.listed = false;
        m_listener = std::make_unique<ClientListener>( m_context, m_settings.clientEndpoint,
                                                       listenerHandlers() );
        auto ready = net::listen( m_context, m_settings.ready.ip, m_settings.ready.port );
        auto metrics = net::listen( m_context, m_settings.ip, m_settings.metricsPort );
        m_listener->start();
        net::start(
            m_context,
            serveProbes( std::move( ready ), [this]( std::string_view ) { return readiness(); } ),
            "readiness" );
        net::start( m_context,
                    serveProbes( std::move( metrics ),
                                 [this]( std::string_view path ) {
                                     return metricsAnswer( m_metrics, path );
                                 } ),
                    "metrics" );
        m_metrics.gauge( "reader_held_bytes",
                         [this] { return static_cast<double>( m_shared.readers->heldBytes() ); } );
        m_metrics.gauge( "request_body_bytes", [this] {
            return static_cast<double>( m_shared.bodies->room().heldBytes() );
        } );
        m_metrics.gauge( "loop_delay_ms",
                         [this] { return m_shared.capacity.medianLoopDelayMs(); } );
        m_metrics.gauge( "capacity_level",
                         [this] { return static_cast<double>( m_shared.capacity.level() ); } );
        m_metrics.gauge( "accept_limit_per_s", [this] {
            return m_acceptLimiter.limits() ? m_acceptLimiter.perS() : -1;
        } );
        m_metrics.gauge( "capacity_load", [this] { return m_shared.capacity.load().load; } );
        m_shared.bodies->setLimits( decide::bodyLimits( m_settings.limits.memoryBytes ) );
        m_feed.start();
        net::start( m_context, ticks(), "ticks" );
        net::start( m_context, handleSignals(), "signals" );
        allowReloadSignal();
        log::info( "started", { { "front", m_settings.clientEndpoint.text() },
                                { "hall", m_settings.hall },
                                { "store", m_settings.store.text() } } );
        m_context.run();
        log::info( "stopped", { { "in_flight", static_cast<std::int64_t>( m_shared.inFlight ) } } );
        return 0;
    }

private:
    FleetSettings fleetSettings() {
        FleetSettings out;
        out.vm = m_settings.vm;
        out.hall = m_settings.hall;
        out.sidecarPort = m_settings.firstPort;
        out.ceilingWindow = m_settings.bounds.ceilingWindow;
        out.evacuation = platform::evacuationRule( m_settings.bounds );
        out.cold = platform::coldRule( m_settings.bounds );
        out.regions = m_settings.regions;
        out.metrics = &m_metrics;
        return out;
    }

    decide::ReaderLimits readerLimits() const {
        const auto& limits = m_shared.table->configuration().limits;
        return decide::readerLimits( m_settings.limits.memoryBytes, limits.idleTime );
    }

    bool isReady() const {
        return m_shared.table && m_feed.upstreamsListed() && !m_shared.draining && !m_showsNotReady;
    }

    ProbeAnswer readiness() const {
        const bool ready = isReady();
        return { ready ? statusOk : statusUnavailable, ready ? "ready\n" : "not ready\n" };
    }

    ClientListener::Handlers listenerHandlers() {
        ClientListener::Handlers out;
        out.mayAccept = [this] {
            return m_acceptLimiter.mayAccept( MonoClock::now() );
        };
        out.accepted = [this]( net::Socket socket ) {
            serve( std::move( socket ) );
        };
        return out;
    }

    void serve( net::Socket socket ) {
        m_acceptLimiter.noteAccepted( MonoClock::now() );
        ++m_shared.clientTraffic.connections;
        m_metrics.count( "client_connections" );
        auto& highest = m_shared.descriptors;
        // The kernel gives the lowest free number, so all below it are in use.
        highest = std::max( highest, static_cast<std::uint64_t>( socket.native_handle() ) + 1 );
        auto task = serveClient( std::move( socket ), m_shared );
        net::start( m_context, std::move( task ), "client" );
    }

    StoreFeedHandlers feedHandlers() {
        StoreFeedHandlers out;
        out.configuration = [this]( std::string_view json ) {
            applyConfiguration( json );
        };
        out.upstreams = [this] {
            syncFleet();
        };
        out.quarantines = [this]( std::span<const decide::Quarantine> entries ) {
            m_poison.applyUpdate( entries, "store" );
        };
        out.partCleared = [this]( const decide::Quarantine& removed ) {
            m_poison.parts().applyRemoval( removed );
        };
        out.evacuations = [this]( const std::set<std::string>& halls ) {
            m_fleet.setEvacuations( halls, MonoClock::now() );
        };
        out.evacuation = [this]( const std::string& hall, bool evacuated ) {
            m_fleet.setEvacuation( hall, evacuated, MonoClock::now() );
        };
        return out;
    }

    void applyConfiguration( std::string_view json ) {
        std::string problem;
        auto read = platform::readConfiguration( json, problem );
        if( !read ) {
            log::error( "configuration_unreadable", { { "detail", problem } } );
            return;
        }
        const auto currentVersion = m_shared.table ? m_shared.table->configuration().version : 0;
        if( m_shared.table && read->version <= currentVersion ) {
            return;
        }
        log::info( "configuration",
                   { { "version", static_cast<std::int64_t>( read->version ) },
                     { "before", static_cast<std::int64_t>( currentVersion ) },
                     { "routes", static_cast<std::int64_t>( read->routes.size() ) } } );
        warnUnknownHomeRegions( *read );
        m_shared.table = std::make_shared<RouteTable>( std::move( *read ) );
        m_fleet.setConfiguration( m_shared.table, MonoClock::now() );
        m_quota.setConfiguration( m_shared.table->configuration() );
        m_shared.readers->setLimits( readerLimits() );
        m_shared.capacity.setLimits( capacityLimits() );
        m_shared.priorities = priorities();
    }

    //! Warns of home regions that don't exist: no upstream can serve a request whose home regions
    //! are all unknown.
    void warnUnknownHomeRegions( const Configuration& configuration ) const {
        std::set<std::string> known;
        for( const auto& it : m_settings.regions ) {
            known.insert( it.second );
        }
        const auto warnUnknown = [&known]( std::string_view kind, const std::string& name,
                                           std::span<const std::string> homes ) {
            for( const auto& it : homes ) {
                if( !known.contains( it ) ) {
                    log::warn( "home_unknown",
                               { { "kind", kind }, { "name", name }, { "home_region", it } } );
                }
            }
        };
        for( const auto& it : configuration.routes ) {
            warnUnknown( "route", it.name, it.homeRegions );
        }
        for( const auto& it : configuration.organisations ) {
            warnUnknown( "organisation", it.name, it.homeRegions );
        }
    }

    void syncFleet() {
        m_shared.listed = m_feed.upstreamsListed();
        m_fleet.sync( m_registry.members(), m_registry.takeChanged(), MonoClock::now() );
    }

    net::Task<> ticks() {
        for( ;; ) {
            const auto due = MonoClock::now() + tickInterval;
            co_await net::pause( m_context, tickInterval );
            const auto now = MonoClock::now();
            m_loopDelay = std::max( now - due, MonoClock::duration{ 0 } );
            const auto before = m_registry.members().size();
            m_registry.expire( now );
            if( m_registry.members().size() != before ) {
                syncFleet();
            }
            m_fleet.tick( now );
            m_feed.tick( now );
            m_quota.tick( now );
            m_limits.tick( now );
            m_origins.tick( m_feed.configurationCurrent(), now );
            cutReaders( now );
            measureCapacity( now );
            logTraffic( now );
            m_shared.listed = m_feed.upstreamsListed();
            m_shared.configurationUpToDate = m_feed.configurationCurrent();
            if( now - m_settingsCheckedAt >= settingsCheckInterval ) {
                m_settingsCheckedAt = now;
                if( m_settingsWatch.changed() ) {
                    reload();
                }
            }
        }
    }

    std::vector<int> priorities() const {
        std::set<int> out;
        for( const auto& it : m_shared.table->configuration().routes ) {
            out.insert( it.priority );
        }
        return { out.begin(), out.end() };
    }

    decide::CapacityLimits capacityLimits() const {
        decide::CapacityLimits out;
        out.memoryBytes = m_settings.limits.memoryBytes;
        out.descriptors = m_settings.limits.descriptors;
        out.linkBytesPerS = m_settings.limits.linkBytesPerS;
        for( const auto& it : m_shared.table->configuration().routes ) {
            const bool shorter = out.shortestGoal.count() == 0 || it.goal < out.shortestGoal;
            out.shortestGoal = shorter ? it.goal : out.shortestGoal;
        }
        return out;
    }

    decide::CapacityMeasure capacityMeasure( MonoTime now ) {
        decide::CapacityMeasure out;
        out.loopDelayMs = std::chrono::duration<double, std::milli>( m_loopDelay ).count();
        const auto use = std::exchange( m_shared.linkUse, {} );
        m_loggedUse.add( use );
        const std::chrono::duration<double> passed = now - m_measuredAt;
        const auto bytes = static_cast<double>( use.busierDirection() );
        out.linkBytesPerS = bytes / std::max( passed.count(), 0.05 );
        out.descriptors = m_shared.descriptors;
        if( now - m_memoryReadAt >= memoryReadInterval ) {
            m_memoryReadAt = now;
            m_memoryBytes = m_settings.limits.memoryBytes > 0 ? residentBytes() : 0;
            m_shared.descriptors = 0;
        }
        out.memoryBytes = m_memoryBytes;
        m_measuredAt = now;
        return out;
    }

    void measureCapacity( MonoTime now ) {
        auto& capacity = m_shared.capacity;
        const auto measure = capacityMeasure( now );
        const bool changed = capacity.note( measure, now );
        limitConnections( now );
        const bool wasNotReady = m_showsNotReady;
        if( capacity.level() > 0 || wasNotReady ) {
            m_showsNotReady = m_readinessRule.showsNotReady( capacity, m_fleet.gateways(),
                                                             systemClock().wall(), now );
        }
        if( m_showsNotReady && !wasNotReady ) {
            m_metrics.count( "not_ready", decide::capacityCauseText( capacity.load().cause ) );
        }
        if( changed || m_showsNotReady != wasNotReady ) {
            logCapacity( measure );
        }
    }

    //! Opens or closes the listening socket according to the load.
    void limitConnections( MonoTime now ) {
        const auto& load = m_shared.capacity.recentLoad();
        const auto seen = m_fleet.gatewaysSeen( now );
        if( m_acceptLimiter.note( load.load, decide::othersHaveRoom( seen ), now ) ) {
            const bool limits = m_acceptLimiter.limits();
            m_shared.capacity.setConnectionsRefused( limits );
            if( limits ) {
                m_metrics.count( "accept_limits", decide::capacityCauseText( load.cause ) );
            }
            log::info( "accept_limit",
                       { { "limits", limits ? "yes" : "no" },
                         { "cause", decide::capacityCauseText( load.cause ) },
                         { "load", log::decimal( load.load ) },
                         { "per_s", log::decimal( m_acceptLimiter.perS() ) },
                         { "sidecars", static_cast<std::int64_t>( seen.sidecars ) },
                         { "seen", static_cast<std::int64_t>( seen.connected ) },
                         { "at_capacity", static_cast<std::int64_t>( seen.atCapacity ) } } );
        }
        m_fleet.setAtCapacity( m_acceptLimiter.atCapacity() || m_shared.capacity.level() > 0 );
        m_listener->update();
    }

    void logCapacity( const decide::CapacityMeasure& measure ) const {
        const auto& capacity = m_shared.capacity;
        log::info( "capacity",
                   { { "level", static_cast<std::int64_t>( capacity.level() ) },
                     { "ready", m_showsNotReady ? "no" : "yes" },
                     { "cause", decide::capacityCauseText( capacity.load().cause ) },
                     { "load", log::decimal( capacity.load().load ) },
                     { "loop_delay_ms", log::decimal( capacity.medianLoopDelayMs() ) },
                     { "link_bytes_per_s", static_cast<std::int64_t>( measure.linkBytesPerS ) },
                     { "descriptors", static_cast<std::int64_t>( measure.descriptors ) },
                     { "memory_bytes", static_cast<std::int64_t>( measure.memoryBytes ) },
                     { "in_flight", static_cast<std::int64_t>( m_shared.inFlight ) },
                     { "gateways", static_cast<std::int64_t>( m_fleet.gateways() ) } } );
    }

    //! Logs once in a while how many connections and requests clients have brought, and what that
    //! took of the link.
    void logTraffic( MonoTime now ) {
        if( now - m_trafficLoggedAt < trafficLogInterval ) {
            return;
        }
        const auto traffic = std::exchange( m_shared.clientTraffic, {} );
        const auto use = std::exchange( m_loggedUse, {} );
        const std::chrono::duration<double> passed = now - m_trafficLoggedAt;
        m_trafficLoggedAt = now;
        const bool limited = m_acceptLimiter.limits();
        if( traffic.connections < minLoggedConnections && !limited ) {
            return;
        }
        const auto perS = [&passed]( std::uint64_t bytes ) {
            return static_cast<std::int64_t>( static_cast<double>( bytes ) / passed.count() );
        };
        log::info(
            "client_traffic",
            { { "connections", static_cast<std::int64_t>( traffic.connections ) },
              { "requests", static_cast<std::int64_t>( traffic.requests ) },
              { "clients_left", static_cast<std::int64_t>( traffic.left ) },
              { "in_flight", static_cast<std::int64_t>( m_shared.inFlight ) },
              { "link_in_bytes_per_s", perS( use.received ) },
              { "link_out_bytes_per_s", perS( use.sent ) },
              { "accept_limit_per_s", limited ? log::decimal( m_acceptLimiter.perS() ) : "-1" },
              { "level", static_cast<std::int64_t>( m_shared.capacity.level() ) },
              { "cause", decide::capacityCauseText( m_shared.capacity.load().cause ) },
              { "load", log::decimal( m_shared.capacity.load().load ) },
              { "loop_delay_ms", log::decimal( m_shared.capacity.medianLoopDelayMs() ) } } );
    }

    void cutReaders( MonoTime now ) {
        for( const auto it : m_shared.readers->cutReaders( now ) ) {
            m_metrics.count( "readers_cut", decide::readerCutText( it ) );
        }
    }

    net::Task<> handleSignals() {
        for( ;; ) {
            const auto [ec, number] = co_await m_signals.async_wait( net::tupled );
            if( ec ) {
                co_return;
            }
            if( number == SIGHUP ) {
                m_settingsWatch.changed();
                reload();
                continue;
            }
            break;
        }
        m_shared.draining = true;
        log::info( "leaving", { { "in_flight", static_cast<std::int64_t>( m_shared.inFlight ) } } );
        const auto start = MonoClock::now();
        const auto limit = start + m_settings.bounds.grace - exitMargin;
        m_shared.stopAt = limit;
        closeIdleClients();
        co_await net::pause( m_context, handoverDelay );
        // Where every gateway drains, clients still connect to this one. Their requests are served
        // if their deadline is before the stop.
        m_shared.pastHandover = true;
        closeIdleClients();
        while( m_shared.inFlight > 0 && MonoClock::now() < limit ) {
            constexpr Millis step{ 20 };
            if( !m_shared.sendsStopped && MonoClock::now() >= limit - lastSendMargin ) {
                m_shared.sendsStopped = true;
                m_fleet.cancelModelWaits();
            }
            if( !m_shared.sendsBrokenOff && MonoClock::now() >= limit - lastAnswerMargin ) {
                breakOffSends( m_shared );
            }
            co_await net::pause( m_context, step );
        }
        m_context.stop();
    }

    //! Closes client connections without a request: their clients would otherwise use them until
    //! the process stops.
    void closeIdleClients() {
        net::ErrorCode ec;
        for( auto* it : m_shared.idleClients ) {
            it->close( ec );
        }
    }

    void reload() {
        const auto path = platform::settingsPath();
        const auto read = platform::readNodeSettings( path );
        for( const auto& it : read.problems ) {
            log::error( "settings_refused", { { "problem", it } } );
        }
        if( !read.problems.empty() ) {
            return;
        }
        m_shared.bounds = read.settings.bounds;
        m_quota.setBounds( read.settings.bounds );
        m_settings.bounds = read.settings.bounds;
        m_settings.limits = read.settings.limits;
        m_shared.bodies->setLimits( decide::bodyLimits( m_settings.limits.memoryBytes ) );
        if( m_shared.table ) {
            m_shared.readers->setLimits( readerLimits() );
            m_shared.capacity.setLimits( capacityLimits() );
        }
        log::info( "settings_reloaded", { { "path", path } } );
    }

    net::asio::io_context m_context{ 1 };
    platform::NodeSettings m_settings;
    RandomSource m_random;
    metrics::Metrics m_metrics;
    Fleet m_fleet;
    Registry m_registry;
    SharedState m_shared;
    QuotaClient m_quota;
    LimitClient m_limits;
    OriginClient m_origins;
    PoisonGuard m_poison;
    StoreFeed m_feed;
    net::asio::signal_set m_signals;
    std::unique_ptr<ClientListener> m_listener;
    decide::AcceptLimiter m_acceptLimiter;
    platform::SettingsWatch m_settingsWatch{ platform::settingsPath() };
    MonoTime m_settingsCheckedAt;
    decide::ReadinessRule m_readinessRule{ hash64( m_settings.vm ) };
    bool m_showsNotReady = false; //!< because of the load
    MonoClock::duration m_loopDelay{};
    MonoTime m_measuredAt = MonoClock::now();
    MonoTime m_memoryReadAt{};
    MonoTime m_trafficLoggedAt = MonoClock::now();
    LinkUse m_loggedUse; //!< since then
    std::uint64_t m_memoryBytes = 0;
};

} // namespace

int runGateway( std::span<const std::string> arguments ) {
    return daemon::runPlatformRole( "gateway", arguments,
                                    []( const platform::NodeSettings& settings ) {
                                        Gateway gateway( settings );
                                        return gateway.run();
                                    } );
}

} // namespace coursehead::gateway
