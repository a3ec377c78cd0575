// SPDX-License-Identifier: BSL-1.0
#include "simulation.hpp"

#include "coursehead/ledger/steps.hpp"
#include "coursehead/planner/plan.hpp"
#include "coursehead/router/admission.hpp"
#include "coursehead/router/route.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <map>
#include <numbers>
#include <queue>
#include <random>

namespace bench {

using namespace coursehead;

namespace {

constexpr double firstTokenTarget = 0.61;
constexpr double betweenTarget = 0.047;
constexpr double planSeconds = 5;
constexpr double tickSeconds = 1;
constexpr double burstRateFactor = 10;
constexpr double lostOrderShare = 0.02;
constexpr double lostOrderSeconds = 10;
constexpr std::size_t minRequestsForWorstModel = 50;
constexpr double secondsPerHour = 3600;

MonoTime at( double seconds ) {
    return MonoTime{} + std::chrono::hours( 1 ) +
           std::chrono::duration_cast<MonoTime::duration>(
               std::chrono::duration<double>( seconds ) );
}

std::string modelName( std::uint32_t n ) {
    return "m" + std::to_string( n );
}

struct Request {
    std::uint32_t model = 0;
    std::uint64_t prefix = 0;
    double arrived = 0;
};

struct RunnerState {
    ledger::Ledger ledger;
    std::vector<std::uint32_t> planned;
    std::vector<std::uint32_t> spares;
    std::vector<ledger::Item> retiring;
    std::map<std::uint32_t, std::deque<Request>> waiting; //!< wait for a load, by model
    std::deque<Request> queue;                            //!< wait for a slot
    std::uint32_t running = 0;
    std::map<std::uint32_t, std::uint32_t> runningByModel;
    std::map<std::uint32_t, double> lastUsed;
    std::list<std::uint64_t> prefixes; //!< most recent first
    bool alive = true;
    bool orderInProgress = false;
    //! Incremented when the runner is lost, so that pending events of the runner are ignored.
    std::uint32_t generation = 0;
    std::uint32_t reportedLoad = 0;
    std::uint32_t sentSinceReport = 0;
    Millis serviceTime{ 3000 };
};

enum class EventKind { arrival, finish, orderDone, tick, plan, report, loseRunner, restoreRunner };

struct Event {
    double time = 0;
    std::uint64_t sequence = 0;
    EventKind kind = EventKind::tick;
    std::uint32_t runner = 0;
    std::uint32_t generation = 0;
    std::uint32_t model = 0;
    ledger::OrderNumber order = 0;
    bool lost = false;
    double slotSeconds = 0;
    bool operator>( const Event& other ) const {
        return time != other.time ? time > other.time : sequence > other.sequence;
    }
};

struct ModelStats {
    std::uint64_t requests = 0;
    std::uint64_t attained = 0;
};

double percentile( std::vector<double>& values, double share ) {
    if( values.empty() ) {
        return 0;
    }
    const auto n = static_cast<std::size_t>( share * static_cast<double>( values.size() - 1 ) );
    std::nth_element( values.begin(), values.begin() + static_cast<std::ptrdiff_t>( n ),
                      values.end() );
    return values[n];
}

class Simulation {
public:
    Simulation( const Deployment& deployment, const Policy& policy, const Faults& faults,
                std::uint64_t seed )
        : m_deployment( deployment ), m_policy( policy ), m_faults( faults ), m_random( seed ),
          m_runners( deployment.runners ), m_stats( deployment.models ),
          m_rates( deployment.models ), m_arrivals( deployment.models, 0 ) {
        m_rules.affinity = policy.affinity;
        m_rules.twoChoices = policy.twoChoices;
        if( !policy.shedding ) {
            m_maxQueueWait = Millis( 120000 );
            m_rules.busyLoad = m_rules.fullLoad = 3;
        }
        if( !policy.distance ) {
            m_rules.hallCost = 0;
        }
        for( auto& it : m_runners ) {
            it.ledger.capacity.assign( deployment.acceleratorsPerRunner, acceleratorBytes );
        }
        makeShares();
    }

    Figures run() {
        loadInitialPlan();
        push( { 0, 0, EventKind::arrival } );
        push( { tickSeconds, 0, EventKind::tick } );
        push( { planSeconds, 0, EventKind::plan } );
        push( { m_policy.lagSeconds, 0, EventKind::report } );
        if( m_faults.on ) {
            push( { 0.55 * end(), 0, EventKind::loseRunner, 3 } );
            push( { 0.55 * end() + 600, 0, EventKind::restoreRunner, 3 } );
        }
        while( !m_events.empty() && m_events.top().time < end() ) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            handle( event );
        }
        return figures();
    }

private:
    double end() const { return simulatedHours * secondsPerHour; }

    void push( Event event ) {
        event.sequence = ++m_sequence;
        m_events.push( event );
    }

    double draw() { return std::uniform_real_distribution<double>( 0, 1 )( m_random ); }

    static std::uint64_t drawBelow( void* context, std::uint64_t bound ) {
        auto& self = *static_cast<Simulation*>( context );
        return std::uniform_int_distribution<std::uint64_t>( 0, bound - 1 )( self.m_random );
    }

    // --- demand

    void makeShares() {
        double sum = 0;
        for( std::uint32_t n = 0; n < m_deployment.models; ++n ) {
            m_shares.push_back( 1 / std::pow( n + 1.0, demandSkew ) );
            sum += m_shares.back();
        }
        for( auto& it : m_shares ) {
            it /= sum;
        }
    }

    //! Total demand at a time, as a share of the peak.
    double dayShape( double time ) const {
        const double share = time / end();
        if( m_deployment.shape == Shape::evening ) {
            return 0.45 + 0.55 * std::sin( std::numbers::pi * share );
        }
        return share < 0.1 || share > 0.85 ? 0.08 : 1.0;
    }

    //! Request rate of a model: its share of the demand; every 40 minutes the rate of another model
    //! rises tenfold for 20 minutes.
    double rateOf( std::uint32_t model, double time ) const {
        constexpr double burstPeriod = 2400;
        constexpr double burstLength = 1200;
        const auto burst = static_cast<std::uint32_t>( time / burstPeriod );
        const auto chosen = ( 5 + burst * 7 ) % m_deployment.models;
        const bool on = model == chosen && std::fmod( time, burstPeriod ) < burstLength;
        return m_deployment.peakRate * m_shares[model] * dayShape( time ) *
               ( on ? burstRateFactor : 1 );
    }

    void arrive() {
        // Thinning: draws candidate arrivals at a constant rate above the total rate, and accepts
        // each with the probability of the actual rate.
        const double most = m_deployment.peakRate * 2.5;
        push( { m_now - std::log( 1 - draw() ) / most, 0, EventKind::arrival } );
        double pick = draw() * most;
        for( std::uint32_t n = 0; n < m_deployment.models; ++n ) {
            pick -= rateOf( n, m_now );
            if( pick < 0 ) {
                const auto prefix =
                    1 + static_cast<std::uint64_t>( prefixesPerModel * std::pow( draw(), 2 ) );
                serve( { n, n * 1000ULL + prefix, m_now } );
                return;
            }
        }
    }

    // --- models

    static config::Model model( std::uint32_t n ) {
        config::Model out;
        out.name = modelName( n );
        out.memory = smallestModel + ( n * 3 % modelSizes ) * modelStep;
        out.kv = kvBytes;
        return out;
    }

    static ledger::Footprint footprint( std::uint32_t n ) {
        const auto it = model( n );
        return { { ledger::ItemKind::model, it.name, it.version, "" },
                 config::bytesPerAccelerator( it ),
                 1 };
    }

    const ledger::Charge* charge( const RunnerState& runner, std::uint32_t n ) const {
        return ledger::find( runner.ledger, footprint( n ).item );
    }

    bool resident( const RunnerState& runner, std::uint32_t n ) const {
        const auto* it = charge( runner, n );
        return it != nullptr && it->state == ledger::ChargeState::resident &&
               std::find( runner.retiring.begin(), runner.retiring.end(), it->footprint.item ) ==
                   runner.retiring.end();
    }

    // --- requests

    void serve( const Request& request ) {
        ++m_stats[request.model].requests;
        ++m_arrivals[request.model];
        std::vector<router::Candidate> candidates;
        std::vector<std::string> names;
        names.reserve( m_runners.size() );
        for( std::uint32_t n = 0; n < m_runners.size(); ++n ) {
            names.push_back( "r" + std::to_string( n ) );
            candidates.push_back( candidate( n, request.model ) );
            candidates.back().vm = names.back();
        }
        for( int attempt = 0; attempt < 2; ++attempt ) {
            const auto picked =
                router::route( candidates, request.prefix, m_rules, { drawBelow, this } );
            const bool cold = picked.kind == router::RouteKind::cold && m_policy.onDemand;
            if( picked.kind != router::RouteKind::warm && !cold ) {
                break;
            }
            auto& runner = m_runners[picked.index];
            ++runner.sentSinceReport;
            if( accept( static_cast<std::uint32_t>( picked.index ), runner, request ) ) {
                return;
            }
            candidates[picked.index].excluded = true;
        }
        ++m_refused;
    }

    router::Candidate candidate( std::uint32_t n, std::uint32_t wanted ) const {
        const auto& runner = m_runners[n];
        router::Candidate out;
        out.reachable = runner.alive;
        const auto hall = n % m_deployment.halls;
        out.distance =
            hall == m_entryHall ? router::Distance::sameHall : router::Distance::sameRegion;
        const auto* existing = runner.alive ? charge( runner, wanted ) : nullptr;
        out.resident = runner.alive && resident( runner, wanted );
        out.loading = existing != nullptr && existing->state == ledger::ChargeState::loading;
        out.canLoad = true;
        out.freeBytes = ledger::largestFreeBytes( runner.ledger );
        out.reportedLoad = runner.reportedLoad;
        out.ownSinceReport = runner.sentSinceReport;
        out.capacity = slotsPerRunner;
        return out;
    }

    bool accept( std::uint32_t n, RunnerState& runner, const Request& request ) {
        const router::QueueView view{ runner.running,
                                      static_cast<std::uint32_t>( runner.queue.size() ),
                                      slotsPerRunner, queueLimit, runner.serviceTime };
        if( !router::admit( view, 0, m_maxQueueWait ).admitted ) {
            return false;
        }
        if( !resident( runner, request.model ) ) {
            if( !m_policy.onDemand ) {
                return false;
            }
            ++m_coldWaits;
            runner.waiting[request.model].push_back( request );
            stepOrders( n );
            return true;
        }
        enqueue( n, request );
        return true;
    }

    void enqueue( std::uint32_t n, const Request& request ) {
        auto& runner = m_runners[n];
        runner.lastUsed[request.model] = m_now;
        if( runner.running < slotsPerRunner ) {
            start( n, request );
        } else {
            runner.queue.push_back( request );
        }
    }

    bool touchPrefix( RunnerState& runner, std::uint64_t prefix ) {
        const auto it = std::find( runner.prefixes.begin(), runner.prefixes.end(), prefix );
        const bool hit = it != runner.prefixes.end();
        if( hit ) {
            runner.prefixes.erase( it );
        }
        runner.prefixes.push_front( prefix );
        if( runner.prefixes.size() > prefixesCached ) {
            runner.prefixes.pop_back();
        }
        return hit;
    }

    void start( std::uint32_t n, const Request& request ) {
        auto& runner = m_runners[n];
        ++runner.running;
        ++runner.runningByModel[request.model];
        const bool hit = touchPrefix( runner, request.prefix );
        const double step = stepBaseSeconds + stepPerRequest * runner.running;
        const double prefill = hit ? prefillHitSeconds : prefillSeconds;
        const double first = m_now - request.arrived + prefill;
        m_firstTokens.push_back( first );
        m_steps.push_back( step );
        if( first <= firstTokenTarget && step <= betweenTarget ) {
            ++m_stats[request.model].attained;
        }
        const double slotSeconds = prefill + step * tokensPerAnswer;
        Event event{ m_now + slotSeconds, 0, EventKind::finish, n, runner.generation,
                     request.model };
        event.slotSeconds = slotSeconds;
        push( event );
    }

    void finish( const Event& event ) {
        auto& runner = m_runners[event.runner];
        if( runner.generation != event.generation ) {
            return;
        }
        --runner.running;
        --runner.runningByModel[event.model];
        runner.lastUsed[event.model] = m_now;
        runner.serviceTime = router::smooth(
            runner.serviceTime, Millis( static_cast<std::int64_t>( event.slotSeconds * 1000 ) ) );
        if( !runner.queue.empty() ) {
            const auto next = runner.queue.front();
            runner.queue.pop_front();
            start( event.runner, next );
        }
        if( !runner.waiting.empty() || !runner.retiring.empty() ) {
            stepOrders( event.runner );
        }
    }

    // --- orders

    std::vector<ledger::Wanted> wanted( const RunnerState& runner ) const {
        std::vector<ledger::Wanted> out;
        for( const auto& it : runner.waiting ) {
            out.push_back( { footprint( it.first ), true } );
        }
        for( const auto it : runner.planned ) {
            if( !runner.waiting.contains( it ) ) {
                out.push_back( { footprint( it ), false } );
            }
        }
        for( auto& it : out ) {
            const auto n =
                static_cast<std::uint32_t>( std::stoul( it.footprint.item.name.substr( 1 ) ) );
            it.spare =
                std::find( runner.spares.begin(), runner.spares.end(), n ) != runner.spares.end();
        }
        return out;
    }

    std::vector<ledger::Usage> usage( const RunnerState& runner ) const {
        std::vector<ledger::Usage> out;
        for( const auto& [n, time] : runner.lastUsed ) {
            const auto running = runner.runningByModel.find( n );
            out.push_back( { footprint( n ).item,
                             running == runner.runningByModel.end() ? 0 : running->second, 0,
                             at( time ) } );
        }
        return out;
    }

    void stepOrders( std::uint32_t n ) {
        auto& runner = m_runners[n];
        if( runner.orderInProgress || !runner.alive ) {
            return;
        }
        const auto wantedNow = wanted( runner );
        const auto usageNow = usage( runner );
        const auto order = ledger::nextStep( runner.ledger, wantedNow, usageNow, {}, at( m_now ) );
        if( !order ) {
            runner.retiring.clear();
            if( m_policy.planner && m_policy.retiring ) {
                runner.retiring =
                    ledger::retiring( runner.ledger, wantedNow, usageNow, {}, at( m_now ) );
            }
            return;
        }
        m_breaches += ledger::withinCapacity( runner.ledger ) ? 0 : 1;
        ++m_moves;
        runner.orderInProgress = true;
        const bool lost = m_faults.on && draw() < lostOrderShare;
        double seconds = unloadSeconds;
        if( order->action == ledger::OrderAction::load ) {
            seconds = loadTime( order->footprint.bytes );
        }
        Event event{ m_now + ( lost ? lostOrderSeconds : seconds ), 0, EventKind::orderDone, n,
                     runner.generation };
        event.order = order->number;
        event.lost = lost;
        push( event );
    }

    //! Time until a load ends; the weight store limits the loads started per second and the loads
    //! that run at once.
    double loadTime( std::uint64_t bytes ) {
        std::erase_if( m_loadEnds, [this]( double it ) { return it <= m_now; } );
        double begin = std::max( m_now, m_nextLoad );
        if( m_loadEnds.size() >= loadsAtOnce ) {
            auto sorted = m_loadEnds;
            std::sort( sorted.begin(), sorted.end() );
            begin = std::max( begin, sorted[sorted.size() - loadsAtOnce] );
        }
        m_nextLoad = begin + 1 / loadsPerSecond;
        const double gibs = static_cast<double>( bytes - kvBytes ) / static_cast<double>( gib );
        m_loadEnds.push_back( begin + loadBaseSeconds + loadSecondsPerGib * gibs );
        return m_loadEnds.back() - m_now;
    }

    void orderDone( const Event& event ) {
        auto& runner = m_runners[event.runner];
        if( runner.generation != event.generation ) {
            return;
        }
        runner.orderInProgress = false;
        if( event.lost ) {
            // Fencing and the runner's report have shown that the order had no effect.
            ledger::withdraw( runner.ledger, event.order );
        } else {
            ledger::confirm( runner.ledger, event.order );
        }
        releaseWaiting( event.runner );
        stepOrders( event.runner );
    }

    void releaseWaiting( std::uint32_t n ) {
        auto& runner = m_runners[n];
        for( auto it = runner.waiting.begin(); it != runner.waiting.end(); ) {
            if( !resident( runner, it->first ) ) {
                ++it;
                continue;
            }
            const auto ready = std::move( it->second );
            it = runner.waiting.erase( it );
            for( const auto& request : ready ) {
                enqueue( n, request );
            }
        }
    }

    // --- the planner

    std::vector<planner::ModelInput> modelInputs( bool mean ) const {
        std::vector<planner::ModelInput> out;
        for( std::uint32_t n = 0; n < m_deployment.models; ++n ) {
            const auto it = model( n );
            planner::ModelInput input;
            input.name = it.name;
            input.bytes = config::bytesPerAccelerator( it );
            input.serviceSeconds = tokensPerAnswer * ( stepBaseSeconds + 8 * stepPerRequest );
            constexpr double ahead = 60;
            if( mean ) {
                input.rate = m_deployment.peakRate * m_shares[n] * 0.8;
            } else {
                input.rate = m_policy.oracle
                                 ? std::max( rateOf( n, m_now ), rateOf( n, m_now + ahead ) )
                                 : planner::estimate( m_rates[n] );
            }
            out.push_back( input );
        }
        return out;
    }

    std::vector<planner::AgentInput> agentInputs() const {
        std::vector<planner::AgentInput> out;
        for( std::uint32_t n = 0; n < m_runners.size(); ++n ) {
            const auto& runner = m_runners[n];
            planner::AgentInput input;
            input.vm = "r" + std::to_string( n );
            input.hall = "h" + std::to_string( n % m_deployment.halls );
            input.accelerators = m_deployment.acceleratorsPerRunner;
            input.memory = acceleratorBytes;
            input.usable = runner.alive;
            for( const auto& it : runner.ledger.charges ) {
                if( it.state != ledger::ChargeState::unloading ) {
                    input.models.push_back( it.footprint.item.name );
                }
            }
            out.push_back( std::move( input ) );
        }
        return out;
    }

    planner::PlanRules planRules() const {
        planner::PlanRules out;
        out.weights = m_deployment.weights;
        if( m_policy.movesWeight >= 0 ) {
            out.weights.moves = m_policy.movesWeight;
        }
        return out;
    }

    void applyPlan( const planner::Plan& made ) {
        for( std::uint32_t n = 0; n < m_runners.size(); ++n ) {
            m_runners[n].planned.clear();
            m_runners[n].spares.clear();
            for( const auto& name : made.agents[n].spares ) {
                m_runners[n].spares.push_back(
                    static_cast<std::uint32_t>( std::stoul( name.substr( 1 ) ) ) );
            }
            for( const auto& name : made.agents[n].models ) {
                m_runners[n].planned.push_back(
                    static_cast<std::uint32_t>( std::stoul( name.substr( 1 ) ) ) );
            }
        }
    }

    //! Gives all policies the same start: the models of a plan for the mean demand are resident
    //! before the first request.
    void loadInitialPlan() {
        auto rules = planRules();
        rules.moveBudget = 1000;
        applyPlan( planner::plan( agentInputs(), modelInputs( true ), rules ) );
        for( auto& runner : m_runners ) {
            for( const auto it : runner.planned ) {
                if( const auto order =
                        ledger::startLoad( runner.ledger, footprint( it ), MonoTime{} ) ) {
                    ledger::confirm( runner.ledger, order->number );
                }
            }
            if( !m_policy.fixedPlacement ) {
                runner.planned.clear();
            }
        }
    }

    //! True while the store is down for an hour, and while the planner is paused past its lease.
    bool plannerUnavailable() const {
        const bool outage = m_now > 0.3 * end() && m_now < 0.3 * end() + secondsPerHour;
        const bool paused = m_now > 0.8 * end() && m_now < 0.8 * end() + 30;
        return m_faults.on && ( outage || paused );
    }

    void makePlan() {
        push( { m_now + planSeconds, 0, EventKind::plan } );
        for( std::uint32_t n = 0; n < m_deployment.models; ++n ) {
            planner::observe( m_rates[n], static_cast<double>( m_arrivals[n] ), planSeconds );
            m_arrivals[n] = 0;
        }
        if( !m_policy.planner || plannerUnavailable() ) {
            return;
        }
        applyPlan( planner::plan( agentInputs(), modelInputs( false ), planRules() ) );
        for( std::uint32_t n = 0; n < m_runners.size(); ++n ) {
            stepOrders( n );
        }
    }

    // --- events

    void handle( const Event& event ) {
        switch( event.kind ) {
        case EventKind::arrival:
            m_entryHall = ( m_entryHall + 1 ) % m_deployment.halls;
            return arrive();
        case EventKind::finish:
            return finish( event );
        case EventKind::orderDone:
            return orderDone( event );
        case EventKind::tick:
            return tick();
        case EventKind::plan:
            return makePlan();
        case EventKind::report:
            return report();
        case EventKind::loseRunner:
            return loseRunner( event.runner );
        case EventKind::restoreRunner:
            m_runners[event.runner].alive = true;
            return;
        }
    }

    void tick() {
        push( { m_now + tickSeconds, 0, EventKind::tick } );
        for( std::uint32_t n = 0; n < m_runners.size(); ++n ) {
            auto& runner = m_runners[n];
            for( auto& it : runner.waiting ) {
                while( !it.second.empty() &&
                       m_now - it.second.front().arrived > coldWaitTimeoutSeconds ) {
                    it.second.pop_front();
                    ++m_refused;
                }
            }
            std::erase_if( runner.waiting, []( const auto& it ) { return it.second.empty(); } );
            if( !runner.waiting.empty() ) {
                stepOrders( n );
            }
        }
    }

    void report() {
        push( { m_now + m_policy.lagSeconds, 0, EventKind::report } );
        for( auto& it : m_runners ) {
            it.reportedLoad = it.running + static_cast<std::uint32_t>( it.queue.size() );
            it.sentSinceReport = 0;
        }
    }

    void loseRunner( std::uint32_t n ) {
        auto& runner = m_runners[n];
        const auto generation = runner.generation + 1;
        const auto capacity = runner.ledger.capacity;
        runner = RunnerState{};
        runner.ledger.capacity = capacity;
        runner.generation = generation;
        runner.alive = false;
    }

    Figures figures() {
        Figures out;
        for( const auto& it : m_stats ) {
            out.requests += it.requests;
            out.attained += it.attained;
            if( it.requests >= minRequestsForWorstModel ) {
                out.worstModel = std::min( out.worstModel, static_cast<double>( it.attained ) /
                                                               static_cast<double>( it.requests ) );
            }
        }
        constexpr double share = 0.95;
        out.refused = m_refused;
        out.coldWaits = m_coldWaits;
        out.moves = m_moves;
        out.breaches = m_breaches;
        out.p95FirstToken = percentile( m_firstTokens, share );
        out.p95Between = percentile( m_steps, share );
        out.hours = simulatedHours;
        out.accelerators = m_deployment.runners * m_deployment.acceleratorsPerRunner;
        return out;
    }

    const Deployment& m_deployment;
    const Policy& m_policy;
    const Faults& m_faults;
    std::mt19937_64 m_random;
    std::vector<RunnerState> m_runners;
    std::vector<ModelStats> m_stats;
    std::vector<planner::DemandRate> m_rates;
    std::vector<std::uint64_t> m_arrivals;
    std::vector<double> m_shares;
    router::RoutingRules m_rules;
    Millis m_maxQueueWait{ 610 };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
    double m_now = 0;
    std::uint32_t m_entryHall = 0;
    double m_nextLoad = 0;
    std::vector<double> m_loadEnds;
    std::uint64_t m_refused = 0;
    std::uint64_t m_coldWaits = 0;
    std::uint64_t m_moves = 0;
    std::uint64_t m_breaches = 0;
    std::vector<double> m_firstTokens;
    std::vector<double> m_steps;
};

} // namespace

Figures simulate( const Deployment& deployment, const Policy& policy, const Faults& faults,
                  std::uint64_t seed ) {
    return Simulation( deployment, policy, faults, seed ).run();
}

} // namespace bench
