// SPDX-License-Identifier: BSL-1.0
#include "entry/directory.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>

namespace coursehead::entry {

using peer::ReceiveStatus;
using router::Candidate;
using router::Distance;

namespace {

//! The control thread also runs at this interval without a wake-up, to catch up on missed updates.
constexpr Millis pollInterval{ 1000 };

Distance distanceOf( const Location& location, const platform::Vm& vm ) {
    if( vm.region != location.region ) {
        return Distance::otherRegion;
    }
    return vm.hall == location.hall ? Distance::sameHall : Distance::sameRegion;
}

bool hasItem( const peer::AgentStatus& status, std::string_view kind, std::string_view name,
              bool ready ) {
    return std::any_of( status.items.begin(), status.items.end(), [&]( const auto& it ) {
        return it.kind == kind && it.name == name && it.ready == ready;
    } );
}

bool hasTarget( const peer::AgentStatus& status, const peer::Target& target, bool ready ) {
    if( target.kind == peer::TargetKind::service ) {
        return ready && hasItem( status, "service", "", true );
    }
    if( !target.adapter.empty() ) {
        return hasItem( status, "adapter", target.adapter, ready );
    }
    return hasItem( status, "model", target.name, ready );
}

std::uint64_t randomBelow( void* context, std::uint64_t bound ) {
    return static_cast<RandomSource*>( context )->below( bound );
}

} // namespace

Directory::Directory( Location location, peer::Loop& loop, config::Replica& replica,
                      RandomSource& random, const Clock& clock )
    : m_location( std::move( location ) ), m_loop( loop ), m_replica( replica ), m_random( random ),
      m_clock( clock ) {}

Directory::~Directory() {
    stop();
}

void Directory::start() {
    m_thread = std::thread( [this] { run(); } );
}

void Directory::stop() {
    {
        const std::lock_guard lock( m_mutex );
        m_stopping = true;
        m_changed.notify_all();
    }
    if( m_thread.joinable() ) {
        m_thread.join();
    }
    const std::lock_guard lock( m_mutex );
    for( auto& it : m_agents ) {
        it.second.control.reset();
    }
}

void Directory::wake() {
    const std::lock_guard lock( m_mutex );
    m_workPending = true;
    m_changed.notify_all();
}

void Directory::updateVms( std::span<const platform::Vm> vms, std::uint64_t version ) {
    const std::lock_guard lock( m_mutex );
    m_listVersion = std::max( m_listVersion, version );
    std::map<std::string, Agent, std::less<>> next;
    for( const auto& it : vms ) {
        if( it.role == platform::VmRole::entry ) {
            continue;
        }
        auto old = m_agents.find( it.name );
        const bool sameAddress = old != m_agents.end() && old->second.view.vm.ip == it.ip &&
                                 old->second.view.vm.port == it.port;
        if( sameAddress ) {
            next[it.name] = std::move( old->second );
            m_agents.erase( old );
        } else {
            next[it.name].link = m_loop.connect( it.ip, it.port );
        }
        next[it.name].view.vm = it;
    }
    for( auto& it : m_agents ) {
        m_loop.disconnect( it.second.link );
    }
    m_agents = std::move( next );
    m_workPending = true;
    m_changed.notify_all();
}

void Directory::onLinkChange( peer::LinkId link, bool up ) {
    const std::lock_guard lock( m_mutex );
    for( auto& it : m_agents ) {
        if( it.second.link == link ) {
            it.second.view.up = up;
            it.second.view.reported = false;
        }
    }
    m_workPending = true;
    m_changed.notify_all();
}

void Directory::run() {
    for( ;; ) {
        openControls();
        readControls();
        std::unique_lock lock( m_mutex );
        m_changed.wait_for( lock, pollInterval, [this] { return m_workPending || m_stopping; } );
        // Compare with the time of the last push instead of waiting for a timeout: a steady stream
        // of changes wakes the thread before each timeout, and no push would ever happen.
        if( m_clock.now() - m_lastConfigPush >= pollInterval ) {
            m_lastConfigPush = m_clock.now();
            pushConfigToLaggingAgents();
        }
        m_workPending = false;
        if( m_stopping ) {
            return;
        }
    }
}

void Directory::openControls() {
    const std::lock_guard lock( m_mutex );
    for( auto& [name, agent] : m_agents ) {
        if( agent.control && agent.control->ended() ) {
            agent.control.reset();
            agent.view.reported = false;
        }
        if( agent.control ) {
            continue;
        }
        agent.control = m_loop.open( agent.link, peer::controlPath );
        if( !agent.control ) {
            continue;
        }
        agent.control->listen( [this] { wake(); } );
        agent.control->trySend( encode( peer::Hello{ m_location.vm, m_replica.revision() } ) );
    }
}

//! Sends the configuration to agents whose reported revision was behind at two checks in a row:
//! their watch of the store may be cut. Agents that haven't reported yet are skipped.
void Directory::pushConfigToLaggingAgents() {
    const auto revision = m_replica.revision();
    for( auto& [name, agent] : m_agents ) {
        if( !agent.control || !agent.view.reported || agent.view.status.revision >= revision ) {
            agent.lagging = false;
            continue;
        }
        if( agent.lagging ) {
            exchangeConfig( agent, agent.view.status.revision );
        }
        agent.lagging = true;
    }
}

void Directory::readControls() {
    std::vector<peer::ConfigUpdate> updates;
    std::unique_lock lock( m_mutex );
    for( auto& [name, agent] : m_agents ) {
        while( agent.control ) {
            const auto got = agent.control->receive( MonoTime{} );
            if( got.status != ReceiveStatus::frame ) {
                break;
            }
            handleMessage( agent, got.frame, updates );
        }
    }
    // Adopting a configuration runs callbacks that take this lock, so release it first.
    lock.unlock();
    for( const auto& it : updates ) {
        m_replica.offer( it );
    }
}

void Directory::handleMessage( Agent& agent, const std::string& frame,
                               std::vector<peer::ConfigUpdate>& updates ) {
    auto decoded = peer::decode( frame );
    if( !decoded.ok ) {
        log::warn( "control_message_malformed",
                   { { "from", agent.view.vm.name }, { "detail", decoded.error.detail } } );
        return;
    }
    if( const auto* status = std::get_if<peer::AgentStatus>( &decoded.message ) ) {
        handleStatus( agent, *status );
    } else if( const auto* load = std::get_if<peer::LoadReport>( &decoded.message ) ) {
        handleLoad( agent, *load );
    } else if( auto* update = std::get_if<peer::ConfigUpdate>( &decoded.message ) ) {
        updates.push_back( std::move( *update ) );
    } else if( const auto* request = std::get_if<peer::ConfigRequest>( &decoded.message ) ) {
        exchangeConfig( agent, request->revision );
    }
}

void Directory::handleStatus( Agent& agent, const peer::AgentStatus& status ) {
    auto& view = agent.view;
    const bool staleReport = view.reported && view.status.incarnation == status.incarnation &&
                             status.sequence <= view.status.sequence;
    if( staleReport ) {
        return;
    }
    for( const auto& it : status.demand ) {
        m_demand[it.model] += it.arrivals;
    }
    view.status = status;
    view.reported = true;
    view.reportedAt = m_clock.now();
    agent.inFlightAtReport = agent.inFlight;
    exchangeConfig( agent, status.revision );
}

void Directory::handleLoad( Agent& agent, const peer::LoadReport& load ) {
    auto& view = agent.view;
    if( !view.reported || load.sequence <= view.status.sequence ) {
        return;
    }
    for( const auto& it : load.demand ) {
        m_demand[it.model] += it.arrivals;
    }
    view.status.sequence = load.sequence;
    view.status.running = load.running;
    view.status.queued = load.queued;
    view.status.revision = load.revision;
    view.reportedAt = m_clock.now();
    agent.inFlightAtReport = agent.inFlight;
    exchangeConfig( agent, load.revision );
}

void Directory::exchangeConfig( Agent& agent, config::Revision agentRevision ) {
    if( auto update = m_replica.updateFor( agentRevision ) ) {
        agent.control->trySend( encode( std::move( *update ) ) );
    } else if( agentRevision > m_replica.revision() ) {
        agent.control->trySend( encode( peer::ConfigRequest{ m_replica.revision() } ) );
    }
}

bool Directory::canLoad( const Agent& agent, const config::State& state,
                         const peer::Target& target ) const {
    const auto& status = agent.view.status;
    const auto* model = config::findByName( state.models, target.name );
    const auto* upstream = config::findByName( state.upstreams, status.upstream );
    return target.kind == peer::TargetKind::model && status.mayOrder && model != nullptr &&
           upstream != nullptr && upstream->accelerators >= model->accelerators &&
           upstream->memory >= config::bytesPerAccelerator( *model );
}

Candidate Directory::candidate( const Agent& agent, const config::State& state,
                                const peer::Target& target,
                                std::span<const std::string> excluded ) const {
    const auto& view = agent.view;
    const auto& status = view.status;
    const bool service = view.vm.role == platform::VmRole::service;
    Candidate out;
    out.vm = view.vm.name;
    out.distance = distanceOf( m_location, view.vm );
    out.reachable =
        view.up && view.reported && service == ( target.kind == peer::TargetKind::service );
    out.leaving = status.draining || view.vm.state == platform::VmState::leaving;
    out.excluded = std::find( excluded.begin(), excluded.end(), view.vm.name ) != excluded.end();
    out.resident = hasTarget( status, target, true );
    out.loading = hasTarget( status, target, false );
    out.canLoad = canLoad( agent, state, target );
    out.freeBytes = status.freeBytes;
    // Adjust the reported load by this entry's own requests: add those sent since the report and
    // subtract those ended since.
    const auto reported = status.running + status.queued;
    const auto ended = agent.inFlightAtReport - std::min( agent.inFlightAtReport, agent.inFlight );
    out.reportedLoad = reported - std::min( reported, ended );
    out.ownSinceReport = agent.inFlight - std::min( agent.inFlight, agent.inFlightAtReport );
    out.capacity = std::max<std::uint32_t>( status.capacity, 1 );
    return out;
}

Choice Directory::choose( const peer::Target& target, std::uint64_t prefixHash,
                          std::span<const std::string> excluded ) {
    const auto state = m_replica.state();
    const std::lock_guard lock( m_mutex );
    std::vector<Candidate> candidates;
    std::vector<Agent*> candidateAgents;
    for( auto& [name, agent] : m_agents ) {
        candidates.push_back( candidate( agent, *state, target, excluded ) );
        candidateAgents.push_back( &agent );
    }
    const auto picked = router::route( candidates, prefixHash, m_rules,
                                       router::BoundedRandom{ randomBelow, &m_random } );
    Choice out;
    out.kind = picked.kind;
    if( picked.kind == router::RouteKind::warm || picked.kind == router::RouteKind::cold ) {
        auto& agent = *candidateAgents[picked.index];
        ++agent.inFlight;
        out.vm = agent.view.vm.name;
        out.inFlightHold = { this, [this, vm = out.vm]( void* ) {
                                release( vm );
                            } };
        out.incarnation = agent.view.status.incarnation;
    }
    return out;
}

void Directory::release( const std::string& vm ) {
    const std::lock_guard lock( m_mutex );
    const auto found = m_agents.find( vm );
    if( found != m_agents.end() && found->second.inFlight > 0 ) {
        --found->second.inFlight;
    }
}

std::shared_ptr<peer::Stream> Directory::open( std::string_view vm, std::string_view path,
                                               MonoTime deadline ) {
    std::unique_lock lock( m_mutex );
    for( ;; ) {
        const auto found = m_agents.find( vm );
        if( found == m_agents.end() ) {
            return nullptr;
        }
        if( auto stream = m_loop.open( found->second.link, path ) ) {
            return stream;
        }
        if( m_stopping || m_clock.now() >= deadline ) {
            return nullptr;
        }
        m_changed.wait_until( lock, deadline );
    }
}

bool Directory::sendControl( std::string_view vm, const peer::Message& message ) {
    const std::lock_guard lock( m_mutex );
    const auto found = m_agents.find( vm );
    return found != m_agents.end() && found->second.control &&
           found->second.control->trySend( encode( message ) );
}

std::vector<AgentView> Directory::agents() const {
    const std::lock_guard lock( m_mutex );
    std::vector<AgentView> out;
    for( const auto& it : m_agents ) {
        out.push_back( it.second.view );
    }
    return out;
}

std::uint64_t Directory::listVersion() const {
    const std::lock_guard lock( m_mutex );
    return m_listVersion;
}

std::vector<peer::ModelDemand> Directory::takeDemand() {
    const std::lock_guard lock( m_mutex );
    std::vector<peer::ModelDemand> out;
    for( const auto& it : m_demand ) {
        out.push_back( { it.first, it.second } );
    }
    m_demand.clear();
    return out;
}

std::size_t Directory::upCount() const {
    const std::lock_guard lock( m_mutex );
    return static_cast<std::size_t>( std::count_if(
        m_agents.begin(), m_agents.end(), []( const auto& it ) { return it.second.view.up; } ) );
}

} // namespace coursehead::entry
