// SPDX-License-Identifier: BSL-1.0
#include "entry/directory.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>

namespace coursehead::entry {

using peer::ReceiveStatus;
using router::Candidate;
using router::Distance;

namespace {

//! The control thread also looks around without being woken, to catch up on missed news.
constexpr Millis lookInterval{ 1000 };

Distance distanceOf( const Place& place, const platform::Vm& vm ) {
    if( vm.region != place.region ) {
        return Distance::otherRegion;
    }
    return vm.hall == place.hall ? Distance::sameHall : Distance::sameRegion;
}

bool has( const peer::AgentStatus& status, std::string_view kind, std::string_view name,
          bool ready ) {
    return std::any_of( status.items.begin(), status.items.end(), [&]( const auto& it ) {
        return it.kind == kind && it.name == name && it.ready == ready;
    } );
}

bool hasTarget( const peer::AgentStatus& status, const peer::Target& target, bool ready ) {
    if( target.kind == peer::TargetKind::service ) {
        return ready && has( status, "service", "", true );
    }
    if( !target.adapter.empty() ) {
        return has( status, "adapter", target.adapter, ready );
    }
    return has( status, "model", target.name, ready );
}

std::uint64_t drawFrom( void* context, std::uint64_t bound ) {
    return static_cast<RandomSource*>( context )->below( bound );
}

} // namespace

Directory::Directory( Place place, peer::Loop& loop, config::Replica& replica, RandomSource& random,
                      const Clock& clock )
    : m_place( std::move( place ) ), m_loop( loop ), m_replica( replica ), m_random( random ),
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
    m_work = true;
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
        const bool same = old != m_agents.end() && old->second.view.vm.ip == it.ip &&
                          old->second.view.vm.port == it.port;
        if( same ) {
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
    m_work = true;
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
    m_work = true;
    m_changed.notify_all();
}

void Directory::run() {
    for( ;; ) {
        openControls();
        readControls();
        std::unique_lock lock( m_mutex );
        m_changed.wait_for( lock, lookInterval, [this] { return m_work || m_stopping; } );
        // Not only after a quiet interval: a stream of changes wakes us all the time.
        if( m_clock.now() - m_lastSpread >= lookInterval ) {
            m_lastSpread = m_clock.now();
            spreadConfig();
        }
        m_work = false;
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
        agent.control->trySend( encode( peer::Hello{ m_place.vm, m_replica.revision() } ) );
    }
}

//! Passes our configuration to agents that have lagged for a while: their watch may be cut. An
//! agent that only has not reported yet is left alone.
void Directory::spreadConfig() {
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
    std::vector<peer::ConfigNews> news;
    std::unique_lock lock( m_mutex );
    for( auto& [name, agent] : m_agents ) {
        while( agent.control ) {
            const auto got = agent.control->receive( MonoTime{} );
            if( got.status != ReceiveStatus::frame ) {
                break;
            }
            take( agent, got.frame, news );
        }
    }
    // Adopting configuration calls back into services that look at us.
    lock.unlock();
    for( const auto& it : news ) {
        m_replica.offer( it );
    }
}

void Directory::take( Agent& agent, const std::string& frame,
                      std::vector<peer::ConfigNews>& news ) {
    auto decoded = peer::decode( frame );
    if( !decoded.ok ) {
        log::warn( "control_message_malformed",
                   { { "from", agent.view.vm.name }, { "detail", decoded.error.detail } } );
        return;
    }
    if( const auto* status = std::get_if<peer::AgentStatus>( &decoded.message ) ) {
        takeStatus( agent, *status );
    } else if( const auto* load = std::get_if<peer::LoadReport>( &decoded.message ) ) {
        takeLoad( agent, *load );
    } else if( auto* brought = std::get_if<peer::ConfigNews>( &decoded.message ) ) {
        news.push_back( std::move( *brought ) );
    } else if( const auto* ask = std::get_if<peer::ConfigAsk>( &decoded.message ) ) {
        exchangeConfig( agent, ask->revision );
    }
}

void Directory::takeStatus( Agent& agent, const peer::AgentStatus& status ) {
    auto& view = agent.view;
    const bool older = view.reported && view.status.incarnation == status.incarnation &&
                       status.sequence <= view.status.sequence;
    if( older ) {
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

void Directory::takeLoad( Agent& agent, const peer::LoadReport& load ) {
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

void Directory::exchangeConfig( Agent& agent, config::Revision theirs ) {
    if( auto news = m_replica.newsFor( theirs ) ) {
        agent.control->trySend( encode( std::move( *news ) ) );
    } else if( theirs > m_replica.revision() ) {
        agent.control->trySend( encode( peer::ConfigAsk{ m_replica.revision() } ) );
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
    out.distance = distanceOf( m_place, view.vm );
    out.reachable =
        view.up && view.reported && service == ( target.kind == peer::TargetKind::service );
    out.leaving = status.draining || view.vm.state == platform::VmState::leaving;
    out.excluded = std::find( excluded.begin(), excluded.end(), view.vm.name ) != excluded.end();
    out.resident = hasTarget( status, target, true );
    out.loading = hasTarget( status, target, false );
    out.canLoad = canLoad( agent, state, target );
    out.freeBytes = status.freeBytes;
    // What we sent since the report adds to it; what of ours has ended since goes off it.
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
    std::vector<Agent*> owners;
    for( auto& [name, agent] : m_agents ) {
        candidates.push_back( candidate( agent, *state, target, excluded ) );
        owners.push_back( &agent );
    }
    const auto picked =
        router::route( candidates, prefixHash, m_rules, router::Dice{ drawFrom, &m_random } );
    Choice out;
    out.kind = picked.kind;
    if( picked.kind == router::RouteKind::warm || picked.kind == router::RouteKind::cold ) {
        auto& agent = *owners[picked.index];
        ++agent.inFlight;
        out.vm = agent.view.vm.name;
        out.place = { this, [this, vm = out.vm]( void* ) {
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

bool Directory::tell( std::string_view vm, const peer::Message& message ) {
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
