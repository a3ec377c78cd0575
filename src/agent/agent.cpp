// SPDX-License-Identifier: BSL-1.0
#include "agent/agent.hpp"

#include "agent/claim_service.hpp"
#include "agent/reporter.hpp"
#include "agent/runner.hpp"
#include "config/follower.hpp"
#include "coursehead/http/server.hpp"
#include "coursehead/kernel/kernel.hpp"
#include "coursehead/kernel/log.hpp"
#include "coursehead/kernel/signals.hpp"
#include "coursehead/platform/vm.hpp"
#include "kernel/daemon.hpp"

#include <algorithm>
#include <array>
#include <memory>

namespace coursehead::agent {

using settings::Kind;
using settings::Settings;
using settings::Spec;

namespace {

constexpr std::array<Spec, 15> ownSpecs{ {
    { "listen", Kind::address, "0.0.0.0:7070", "Where entries connect to (IP:PORT)" },
    { "http-listen", Kind::address, "0.0.0.0:7071", "Where health and metrics are served" },
    { "upstream", Kind::name, "", "Name of the upstream in the configuration" },
    { "upstream-kind", Kind::upstream, "runner", "Kind of the upstream: runner or service" },
    { "upstream-url", Kind::url, "", "The engine's or the service's address" },
    { "max-running", Kind::number, "32", "Requests run on the upstream at once", 1, 4096 },
    { "queue-limit", Kind::number, "64", "Requests that may wait in the queue", 0, 65536 },
    { "min-residency-ms", Kind::number, "10000", "Time before a loaded model may be unloaded", 0,
      3600000 },
    { "cold-patience-ms", Kind::number, "20000", "Longest wait for a model to load", 0, 600000 },
    { "orphan-patience-ms", Kind::number, "5000", "How long an answer without a reader goes on", 0,
      600000 },
    { "engine-silence-ms", Kind::number, "10000", "Longest wait for an engine's next token", 100,
      600000 },
    { "session-keep-ms", Kind::number, "60000", "How long a finished answer can be resumed", 0,
      3600000 },
    { "session-bytes", Kind::number, "16777216", "Bytes of finished answers kept", 0, 1073741824 },
    { "key-window-ms", Kind::number, "600000", "How old an idempotency key may be", 1000,
      86400000 },
    { "clock-skew-ms", Kind::number, "2000", "How far callers' clocks may be off", 0, 600000 },
} };

constexpr Millis cleanupInterval{ 1000 };

//! Owns the components of an agent process. The kernel starts and stops them in order.
class Agent {
public:
    explicit Agent( const Settings& settings );
    int run();

private:
    RunnerSettings runnerSettings() const;
    void makeResidency();
    void registerServices();
    void handleStream( const std::string& path, std::shared_ptr<peer::Stream> stream );
    http::Response handleHttp( const http::Request& request );
    peer::AgentStatus status();
    void onOwnVm( const std::map<std::string, platform::Object>& objects );
    void startDrain( std::string_view why );
    void listenHttp();
    void listenPeers();
    void registerGauges();

    const Settings& m_settings;
    UpstreamKind m_kind;
    Clock m_clock = systemClock();
    RandomSource m_random;
    std::string m_incarnation;
    platform::StoreStats m_storeStats;
    platform::ObjectStore m_store;
    metrics::Metrics m_metrics;
    config::Replica m_replica;
    config::Follower m_follower;
    platform::Watcher m_ownVm;
    Places m_places;
    SessionTable m_sessions;
    std::unique_ptr<Residency> m_residency;
    ClaimService m_claims;
    std::unique_ptr<Runner> m_runner;
    std::unique_ptr<Reporter> m_reporter;
    peer::Loop m_loop;
    http::Server m_http;
    std::thread m_cleanupThread;
    std::mutex m_mutex;
    std::condition_variable m_stopSignal;
    bool m_stopping = false;
    Kernel m_kernel;
};

engine::Endpoint endpointOf( const Settings& settings ) {
    engine::Endpoint out;
    out.url = settings.text( "upstream-url" );
    out.silenceTimeout = Millis( settings.number( "engine-silence-ms" ) );
    return out;
}

claims::ClaimRules claimRules( const Settings& settings ) {
    claims::ClaimRules out;
    out.window = Millis( settings.number( "key-window-ms" ) );
    out.skew = Millis( settings.number( "clock-skew-ms" ) );
    return out;
}

ReporterSettings reporterSettings( std::uint32_t capacity ) {
    constexpr std::uint32_t loadStepsAtCapacity = 8;
    ReporterSettings out;
    out.loadStep = std::max<std::uint32_t>( 1, capacity / loadStepsAtCapacity );
    return out;
}

http::ServerLimits httpLimits() {
    http::ServerLimits out;
    constexpr std::size_t threads = 8;
    out.threads = threads;
    return out;
}

Agent::Agent( const Settings& settings )
    : m_settings( settings ),
      m_kind( settings.text( "upstream-kind" ) == "runner" ? UpstreamKind::runner
                                                           : UpstreamKind::service ),
      m_random( systemSeed() ), m_incarnation( m_random.hex( 16 ) ),
      m_store( platform::httpStore( settings.text( "store" ), m_storeStats ) ),
      m_follower( m_store, daemon::watchSettings( settings ), m_random, m_replica ),
      m_ownVm( m_store, { std::string( platform::vmKind ), settings.text( "vm" ) },
               daemon::watchSettings( settings ), m_random,
               [this]( const auto& objects, std::uint64_t ) { onOwnVm( objects ); } ),
      m_places( static_cast<std::uint32_t>( settings.number( "max-running" ) ),
                static_cast<std::uint32_t>( settings.number( "queue-limit" ) ) ),
      m_sessions( Millis( settings.number( "session-keep-ms" ) ),
                  static_cast<std::size_t>( settings.number( "session-bytes" ) ) ),
      m_claims( settings.text( "vm" ), claimRules( settings ), m_clock ),
      m_loop( daemon::loopSettings( settings ),
              [this]( const std::string& path, std::shared_ptr<peer::Stream> stream ) {
                  handleStream( path, std::move( stream ) );
              } ),
      m_http(
          httpLimits(), [this]( const auto& request ) { return handleHttp( request ); },
          []( int status ) {
              http::Response out;
              out.status = status;
              out.body = "{}";
              return out;
          } ) {
    makeResidency();
    m_runner = std::make_unique<Runner>(
        runnerSettings(),
        RunnerContext{ m_residency.get(), m_places, m_sessions, m_metrics, m_clock } );
    m_reporter = std::make_unique<Reporter>(
        reporterSettings( m_places.capacity() ), m_replica, [this] { return status(); },
        [this]( const peer::PlanTargets& plan ) {
            if( m_residency ) {
                m_residency->setPlan( plan );
            }
        },
        m_clock );
    m_replica.onChange( [this]( const config::State& state ) {
        m_claims.update( state );
        if( m_residency ) {
            m_residency->configChanged();
        }
        m_reporter->scheduleReport();
    } );
    registerGauges();
    registerServices();
}

RunnerSettings Agent::runnerSettings() const {
    RunnerSettings out;
    out.kind = m_kind;
    out.incarnation = m_incarnation;
    out.endpoint = endpointOf( m_settings );
    out.loadTimeout = Millis( m_settings.number( "cold-patience-ms" ) );
    out.orphanTimeout = Millis( m_settings.number( "orphan-patience-ms" ) );
    return out;
}

void Agent::makeResidency() {
    if( m_kind == UpstreamKind::service ) {
        return;
    }
    ResidencySettings out;
    out.vm = m_settings.text( "vm" );
    out.upstream = m_settings.text( "upstream" );
    out.endpoint = endpointOf( m_settings );
    out.minResidency = Millis( m_settings.number( "min-residency-ms" ) );
    m_residency = std::make_unique<Residency>( out, m_store, m_replica, m_metrics, m_clock );
    m_residency->onChange( [this] { m_reporter->scheduleReport( true ); } );
}

void Agent::registerGauges() {
    daemon::addCommonGauges( m_metrics, m_replica, m_storeStats, m_loop );
    m_metrics.gauge( "running", [this] { return m_places.running(); } );
    m_metrics.gauge( "queued", [this] { return m_places.queued(); } );
    m_metrics.gauge( "claim_records",
                     [this] { return static_cast<double>( m_claims.records() ); } );
    m_metrics.gauge( "peer_unauthorized",
                     [this] { return static_cast<double>( m_loop.stats().unauthorized ); } );
    m_metrics.gauge( "peer_protocol_errors",
                     [this] { return static_cast<double>( m_loop.stats().protocolErrors ); } );
}

void Agent::registerServices() {
    m_kernel.provide( "config", m_replica );
    m_kernel.provide( "runner", *m_runner );
    m_kernel.provide( "metrics", m_metrics );
    m_kernel.add( { "http", [this] { listenHttp(); },
                    [this] {
                        m_http.stop();
                    } } );
    m_kernel.add( { "config", [this] { m_follower.start(); },
                    [this] {
                        m_follower.stop();
                    } } );
    m_kernel.add( { "own-vm", [this] { m_ownVm.start(); },
                    [this] {
                        m_ownVm.stop();
                    } } );
    if( m_residency ) {
        m_kernel.add( { "residency", [this] { m_residency->start(); },
                        [this] {
                            m_residency->stop();
                        } } );
    }
    m_kernel.add( { "reporter", [this] { m_reporter->start(); },
                    [this] {
                        m_reporter->stop();
                    } } );
    m_kernel.add( { "peers", [this] { listenPeers(); },
                    [this] {
                        m_loop.stop();
                    } } );
    m_kernel.add( { "tidy",
                    [this] {
                        m_cleanupThread = std::thread( [this] {
                            std::unique_lock lock( m_mutex );
                            while( !m_stopSignal.wait_for( lock, cleanupInterval,
                                                           [this] { return m_stopping; } ) ) {
                                m_runner->removeExpired();
                                m_claims.removeExpired();
                            }
                        } );
                    },
                    [this] {
                        {
                            const std::lock_guard lock( m_mutex );
                            m_stopping = true;
                            m_stopSignal.notify_all();
                        }
                        m_cleanupThread.join();
                    } } );
}

void Agent::listenHttp() {
    const auto listenAddress = settings::splitAddress( m_settings.text( "http-listen" ) );
    const int port = m_http.start( listenAddress.host, listenAddress.port );
    if( port < 0 ) {
        throw KernelError( "can't listen on http-listen = " + m_settings.text( "http-listen" ) );
    }
    log::info( "http_listening", { { "port", static_cast<std::int64_t>( port ) } } );
}

void Agent::listenPeers() {
    const auto listenAddress = settings::splitAddress( m_settings.text( "listen" ) );
    const int port = m_loop.bind( listenAddress.host, listenAddress.port );
    if( port < 0 ) {
        throw KernelError( "can't listen on listen = " + m_settings.text( "listen" ) );
    }
    m_loop.start();
    log::info( "peer_listening", { { "port", static_cast<std::int64_t>( port ) } } );
}

void Agent::handleStream( const std::string& path, std::shared_ptr<peer::Stream> stream ) {
    if( path == peer::runPath ) {
        m_reporter->scheduleReport();
        m_runner->run( std::move( stream ) );
        m_reporter->scheduleReport();
    } else if( path == peer::joinPath ) {
        m_runner->join( *stream );
    } else if( path == peer::barPath ) {
        m_runner->bar( *stream );
    } else if( path == peer::claimPath ) {
        m_claims.serve( *stream );
    } else if( path == peer::controlPath ) {
        m_reporter->add( std::move( stream ) );
    }
}

http::Response Agent::handleHttp( const http::Request& request ) {
    constexpr int notFound = 404;
    constexpr int unavailable = 503;
    http::Response out;
    if( request.path == "/metrics" ) {
        out.contentType = "text/plain; version=0.0.4";
        out.body = m_metrics.prometheus();
    } else if( request.path == "/healthz" ) {
        out.body = "{\"revision\":" + std::to_string( m_replica.revision() ) + "}";
    } else if( request.path == "/readyz" ) {
        out.status = m_runner->draining() ? unavailable : out.status;
        out.body = m_runner->draining() ? "{\"ready\":false}" : "{\"ready\":true}";
    } else {
        out.status = notFound;
        out.body = "{}";
    }
    return out;
}

peer::AgentStatus Agent::status() {
    peer::AgentStatus out;
    out.vm = m_settings.text( "vm" );
    out.hall = m_settings.text( "hall" );
    out.region = m_settings.text( "region" );
    out.upstream = m_settings.text( "upstream" );
    out.incarnation = m_incarnation;
    out.draining = m_runner->draining();
    out.running = m_places.running();
    out.queued = m_places.queued();
    out.capacity = m_places.capacity();
    out.serviceMs = static_cast<std::uint32_t>( m_places.serviceTime().count() );
    out.demand = m_runner->takeDemand();
    out.revision = m_replica.revision();
    if( m_residency ) {
        out.mayOrder = m_residency->mayOrder();
        out.accelerators = m_residency->accelerators();
        out.freeBytes = m_residency->freeBytes();
        out.items = m_residency->items();
    } else {
        out.items.push_back( { "service", "", "", true } );
    }
    return out;
}

void Agent::onOwnVm( const std::map<std::string, platform::Object>& objects ) {
    const auto found = objects.find( m_settings.text( "vm" ) );
    platform::Vm vm;
    if( found != objects.end() && platform::readVm( found->second, vm ) &&
        vm.state == platform::VmState::leaving ) {
        startDrain( "the platform's list says that this VM is leaving" );
    }
}

void Agent::startDrain( std::string_view why ) {
    if( !m_runner->draining() ) {
        m_runner->drain();
        log::info( "drain_begins", { { "reason", why } } );
        m_reporter->scheduleReport( true );
    }
}

int Agent::run() {
    m_kernel.start();
    log::info( "ready", { { "incarnation", m_incarnation } } );
    waitForStopSignal();
    startDrain( "stop signal" );
    daemon::waitUntilIdle( m_settings, m_clock, [this] { return m_runner->inFlight(); } );
    m_kernel.stop();
    return daemon::exitOk;
}

} // namespace

int runAgent( std::span<const std::string> arguments ) {
    const auto specs = daemon::withCommon( ownSpecs );
    return daemon::runRole( "agent", specs, arguments, []( const Settings& settings ) {
        Agent agent( settings );
        return agent.run();
    } );
}

} // namespace coursehead::agent
