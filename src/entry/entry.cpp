// SPDX-License-Identifier: BSL-1.0
#include "entry/entry.hpp"

#include "caller/api.hpp"
#include "config/follower.hpp"
#include "coursehead/http/client.hpp"
#include "coursehead/http/server.hpp"
#include "coursehead/kernel/kernel.hpp"
#include "coursehead/kernel/log.hpp"
#include "coursehead/kernel/signals.hpp"
#include "entry/leader.hpp"
#include "kernel/daemon.hpp"
#include "operator/api.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace coursehead::entry {

using settings::Kind;
using settings::Settings;
using settings::Spec;

namespace {

constexpr std::array<Spec, 9> ownSpecs{ {
    { "listen", Kind::address, "0.0.0.0:8080", "Where callers and operators connect to (IP:PORT)" },
    { "max-sessions", Kind::number, "512", "Requests in progress at once", 1, 20000 },
    { "max-body-bytes", Kind::number, "1048576", "Largest body of a request", 1, 67108864 },
    { "default-deadline-ms", Kind::number, "120000", "Deadline of requests that set none", 1,
      3600000 },
    { "retry-share", Kind::share, "0.1", "Retries as a share of requests" },
    { "lease-ms", Kind::number, "6000", "Length of the planner's lease", 200, 600000 },
    { "plan-interval-ms", Kind::number, "5000", "Time between two plans", 100, 600000 },
    { "operator-token", Kind::optional, "", "Operators' token; empty: no token is required" },
    { "plan", Kind::flag, "true", "Whether this entry may hold the planner's lease" },
} };

//! HTTP threads beyond the session limit, so that refusals and health checks are still answered.
constexpr std::size_t reservedThreads = 64;

class Entry {
public:
    explicit Entry( const Settings& settings );
    int run();

private:
    http::Response handle( const http::Request& request );
    http::Response healthz() const;
    http::Response readyz() const;
    void updateVmList( const std::map<std::string, platform::Object>& objects,
                       std::uint64_t version );
    op::StatementContext world();
    config::CommitResult commit( const config::ChangeSet& set, config::Revision base );
    bool waitForRollout( config::Revision revision, MonoTime deadline );
    bool isRolledOut( config::Revision revision );
    void listen();
    void registerServices();
    void registerGauges();

    const Settings& m_settings;
    Clock m_clock = systemClock();
    RandomSource m_random;
    platform::StoreStats m_storeStats;
    platform::ObjectStore m_store;
    metrics::Metrics m_metrics;
    config::Replica m_replica;
    config::Follower m_follower;
    peer::Loop m_loop;
    Directory m_directory;
    platform::Watcher m_vms;
    RetryBudgets m_budgets;
    CallContext m_context;
    Leader m_leader;
    caller::CallerApi m_callers;
    op::OperatorApi m_operators;
    http::Server m_http;
    std::mutex m_mutex;
    std::vector<platform::Vm> m_entries; //!< the other live entries of the VM list
    Kernel m_kernel;
};

Location locationOf( const Settings& settings ) {
    return { settings.text( "vm" ), settings.text( "hall" ), settings.text( "region" ) };
}

LeaderSettings leaderSettings( const Settings& settings ) {
    LeaderSettings out;
    out.location = locationOf( settings );
    out.leaseLength = Millis( settings.number( "lease-ms" ) );
    out.interval = std::min( out.interval, out.leaseLength / 6 );
    out.settlingTime = out.leaseLength / 2;
    out.planInterval = Millis( settings.number( "plan-interval-ms" ) );
    return out;
}

caller::ApiSettings apiSettings( const Settings& settings ) {
    caller::ApiSettings out;
    out.maxSessions = static_cast<std::size_t>( settings.number( "max-sessions" ) );
    out.defaultDeadline = Millis( settings.number( "default-deadline-ms" ) );
    return out;
}

http::ServerLimits httpLimits( const Settings& settings ) {
    http::ServerLimits out;
    out.threads = static_cast<std::size_t>( settings.number( "max-sessions" ) ) + reservedThreads;
    out.bodyBytes = static_cast<std::size_t>( settings.number( "max-body-bytes" ) );
    return out;
}

//! The response to requests that the HTTP layer rejects.
http::Response httpLayerError( int status ) {
    constexpr int tooLarge = 413;
    caller::Failure failure;
    failure.reason = status == tooLarge ? caller::Reason::tooLarge : caller::Reason::badRequest;
    failure.message = status == tooLarge ? "the body is larger than this entry takes"
                                         : "the HTTP request is malformed or too long";
    failure.status = status;
    return caller::errorResponse( failure, "" );
}

Entry::Entry( const Settings& settings )
    : m_settings( settings ), m_random( systemSeed() ),
      m_store( platform::httpStore( settings.text( "store" ), m_storeStats ) ),
      m_follower( m_store, daemon::watchSettings( settings ), m_random, m_replica ),
      m_loop( daemon::loopSettings( settings ),
              []( const std::string&, const std::shared_ptr<peer::Stream>& ) {} ),
      m_directory( locationOf( settings ), m_loop, m_replica, m_random, m_clock ),
      m_vms( m_store, { std::string( platform::vmKind ), "" }, daemon::watchSettings( settings ),
             m_random,
             [this]( const auto& objects, std::uint64_t version ) {
                 updateVmList( objects, version );
             } ),
      m_budgets( settings.share( "retry-share" ) ), m_context{ m_directory, m_replica, m_budgets,
                                                               m_metrics,   m_clock,   {} },
      m_leader( leaderSettings( settings ), m_store, m_directory, m_replica, m_random, m_clock ),
      m_callers( apiSettings( settings ), m_context, m_random ),
      m_operators(
          { settings.text( "operator-token" ) }, world(),
          [this]( auto revision, auto deadline ) { return waitForRollout( revision, deadline ); },
          m_clock ),
      m_http(
          httpLimits( settings ), [this]( const auto& request ) { return handle( request ); },
          httpLayerError ) {
    m_loop.onLinkChange(
        [this]( peer::LinkId link, bool up ) { m_directory.onLinkChange( link, up ); } );
    m_replica.onChange( [this]( const config::State& ) { m_directory.wake(); } );
    registerGauges();
    registerServices();
}

void Entry::registerGauges() {
    daemon::addCommonGauges( m_metrics, m_replica, m_storeStats, m_loop );
    m_metrics.gauge( "in_flight", [this] { return static_cast<double>( m_callers.inFlight() ); } );
    m_metrics.gauge( "agents_up", [this] { return static_cast<double>( m_directory.upCount() ); } );
    m_metrics.gauge( "leading", [this] { return m_leader.leading() ? 1.0 : 0.0; } );
}

void Entry::registerServices() {
    m_kernel.provide( "config", m_replica );
    m_kernel.provide( "directory", m_directory );
    m_kernel.provide( "metrics", m_metrics );
    m_kernel.add( { "peers", [this] { m_loop.start(); },
                    [this] {
                        m_loop.stop();
                    } } );
    m_kernel.add( { "directory", [this] { m_directory.start(); },
                    [this] {
                        m_directory.stop();
                    } } );
    m_kernel.add( { "config", [this] { m_follower.start(); },
                    [this] {
                        m_follower.stop();
                    } } );
    m_kernel.add( { "vms", [this] { m_vms.start(); },
                    [this] {
                        m_vms.stop();
                    } } );
    if( m_settings.flag( "plan" ) ) {
        m_kernel.add( { "leader", [this] { m_leader.start(); },
                        [this] {
                            m_leader.stop();
                        } } );
    }
    m_kernel.add( { "http", [this] { listen(); },
                    [this] {
                        m_http.stop();
                    } } );
}

void Entry::listen() {
    const auto listenAddress = settings::splitAddress( m_settings.text( "listen" ) );
    const int port = m_http.start( listenAddress.host, listenAddress.port );
    if( port < 0 ) {
        throw KernelError( "can't listen on listen = " + m_settings.text( "listen" ) );
    }
    log::info( "http_listening", { { "port", static_cast<std::int64_t>( port ) } } );
}

http::Response Entry::handle( const http::Request& request ) {
    if( request.path == "/healthz" ) {
        return healthz();
    }
    if( request.path == "/readyz" ) {
        return readyz();
    }
    if( request.path == "/metrics" ) {
        http::Response out;
        out.contentType = "text/plain; version=0.0.4";
        out.body = m_metrics.prometheus();
        return out;
    }
    if( request.method == "POST" && request.path == "/operator/v1/command" ) {
        return m_operators.handle( request );
    }
    return m_callers.handle( request );
}

http::Response Entry::healthz() const {
    http::Response out;
    out.body =
        nlohmann::json{ { "revision", m_replica.revision() }, { "leading", m_leader.leading() } }
            .dump();
    return out;
}

http::Response Entry::readyz() const {
    constexpr int unavailable = 503;
    const bool ready = !m_callers.draining() && m_replica.revision() > 0;
    http::Response out;
    out.status = ready ? out.status : unavailable;
    out.body = ready ? R"({"ready":true})" : R"({"ready":false})";
    return out;
}

void Entry::updateVmList( const std::map<std::string, platform::Object>& objects,
                          std::uint64_t version ) {
    std::vector<platform::Vm> vms;
    std::vector<platform::Vm> entries;
    for( const auto& it : objects ) {
        platform::Vm vm;
        if( !platform::readVm( it.second, vm ) ) {
            log::warn( "vm_malformed", { { "name", it.first } } );
            continue;
        }
        const bool self = vm.name == m_settings.text( "vm" );
        if( vm.role == platform::VmRole::entry && !self && vm.state == platform::VmState::live ) {
            entries.push_back( vm );
        }
        vms.push_back( std::move( vm ) );
    }
    m_directory.updateVms( vms, version );
    const std::lock_guard lock( m_mutex );
    m_entries = std::move( entries );
}

op::StatementContext Entry::world() {
    constexpr std::size_t writeIdDigits = 32;
    op::StatementContext out;
    out.state = [this] {
        return m_replica.state();
    };
    out.agents = [this] {
        return m_directory.agents();
    };
    out.planReasons = [this]( const auto& model ) {
        return m_leader.planReasons( model );
    };
    out.commit = [this]( const auto& set, auto base ) {
        return commit( set, base );
    };
    out.makeWriteId = [this] {
        return m_random.hex( writeIdDigits );
    };
    return out;
}

config::CommitResult Entry::commit( const config::ChangeSet& set, config::Revision base ) {
    constexpr Millis commitTimeout{ 5000 };
    const config::CommitContext context{ m_store, m_replica, m_clock };
    return config::commit( context, set, base, m_clock.now() + commitTimeout );
}

bool Entry::waitForRollout( config::Revision revision, MonoTime deadline ) {
    constexpr Millis pollInterval{ 50 };
    while( !isRolledOut( revision ) ) {
        if( m_clock.now() >= deadline ) {
            return false;
        }
        std::this_thread::sleep_for( pollInterval );
    }
    return true;
}

bool Entry::isRolledOut( config::Revision revision ) {
    for( const auto& it : m_directory.agents() ) {
        if( it.up && ( !it.reported || it.status.revision < revision ) ) {
            return false;
        }
    }
    std::vector<platform::Vm> entries;
    {
        const std::lock_guard lock( m_mutex );
        entries = m_entries;
    }
    for( const auto& it : entries ) {
        http::Client client( it.ip + ":" + std::to_string( it.port ), {} );
        http::Request request;
        request.path = "/healthz";
        const auto got = client.call( request );
        const auto body = nlohmann::json::parse( got.response.body, nullptr, false );
        if( got.failure == http::Failure::none && body.is_object() &&
            body.value( "revision", config::Revision{ 0 } ) < revision ) {
            return false;
        }
    }
    return true;
}

int Entry::run() {
    m_kernel.start();
    log::info( "ready", {} );
    waitForStopSignal();
    m_callers.drain();
    log::info( "drain_begins", { { "reason", "stop signal" } } );
    daemon::waitUntilIdle( m_settings, m_clock, [this] { return m_callers.inFlight(); } );
    m_kernel.stop();
    return daemon::exitOk;
}

} // namespace

int runEntry( std::span<const std::string> arguments ) {
    const auto specs = daemon::withCommon( ownSpecs );
    return daemon::runRole( "entry", specs, arguments, []( const Settings& settings ) {
        Entry entry( settings );
        return entry.run();
    } );
}

} // namespace coursehead::entry
