// SPDX-License-Identifier: BSL-1.0
#include "coursehead/planner/plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <queue>
#include <unordered_map>

namespace coursehead::planner {

namespace {

using ModelIndex = std::size_t;

//! Value of a model's first copy and of the further copies up to its replica count. Both are far
//! above the value that demand gives a copy.
constexpr double firstCopyValue = 1e9;
constexpr double replicaValue = 1e6;
constexpr double priorityShare = 0.5;

//! The state of an agent while the plan is computed.
struct AgentState {
    const AgentInput* input = nullptr;
    std::vector<std::uint64_t> free; //!< bytes, by accelerator
    std::vector<ModelIndex> held;
    std::vector<std::vector<std::uint32_t>> placements; //!< accelerators of each held model
    double load = 0; //!< expected parallel requests, for spreading
};

//! The copies to unload so that a new copy fits, and the loss in value.
struct Eviction {
    std::vector<ModelIndex> victims;
    double loss = 0;
};

//! A copy that may be added, with its value.
struct Candidate {
    double copyValue = 0;
    ModelIndex model = 0;
    bool operator<( const Candidate& other ) const {
        return copyValue != other.copyValue ? copyValue < other.copyValue : model > other.model;
    }
};

class Planner {
public:
    Planner( std::span<const AgentInput> agents, std::span<const ModelInput> models,
             const PlanRules& rules )
        : m_models( models ), m_rules( rules ), m_copies( models.size(), 0 ) {
        for( ModelIndex n = 0; n < models.size(); ++n ) {
            m_index.emplace( models[n].name, n );
            m_largest = std::max( m_largest,
                                  static_cast<double>( models[n].bytes ) * models[n].accelerators );
        }
        for( const auto& it : agents ) {
            m_states.push_back( makeState( it ) );
        }
    }

    Plan run() {
        addCopies();
        Plan out;
        out.moves = m_moves;
        out.reasons = std::move( m_reasons );
        for( const auto& it : m_states ) {
            AgentPlan agent{ it.input->vm, {}, {} };
            for( const auto model : it.held ) {
                agent.models.push_back( m_models[model].name );
                if( m_copies[model] > 1 ) {
                    agent.spares.push_back( m_models[model].name );
                }
            }
            std::sort( agent.models.begin(), agent.models.end() );
            out.agents.push_back( std::move( agent ) );
        }
        return out;
    }

private:
    AgentState makeState( const AgentInput& input ) {
        AgentState state;
        state.input = &input;
        state.free.assign( input.usable ? input.accelerators : 0, input.memory );
        std::vector<ModelIndex> resident;
        for( const auto& name : input.models ) {
            const auto found = m_index.find( name );
            if( input.usable && found != m_index.end() ) {
                resident.push_back( found->second );
            }
        }
        // The agent chooses the accelerators of its copies and they are not known here: assume a
        // packing with the largest first.
        std::stable_sort( resident.begin(), resident.end(), [this]( auto a, auto b ) {
            return m_models[a].bytes > m_models[b].bytes;
        } );
        bool packed = true;
        for( const auto it : resident ) {
            placeCopy( state, it );
            packed = packed && !state.placements.back().empty();
        }
        if( !packed ) {
            // The assumed packing differs from the agent's, so its free memory is not known: count
            // none as free.
            std::fill( state.free.begin(), state.free.end(), 0 );
        }
        return state;
    }

    //! The accelerators that a copy would use; empty when it does not fit.
    std::vector<std::uint32_t> placementFor( const AgentState& state, ModelIndex model ) const {
        const auto& it = m_models[model];
        std::vector<std::uint32_t> order( state.free.size() );
        std::iota( order.begin(), order.end(), 0U );
        std::stable_sort( order.begin(), order.end(),
                          [&state]( auto a, auto b ) { return state.free[a] > state.free[b]; } );
        if( order.size() < it.accelerators || state.free[order[it.accelerators - 1]] < it.bytes ) {
            return {};
        }
        order.resize( it.accelerators );
        return order;
    }

    //! Adds a copy. A copy that is already resident is added even if it does not fit.
    void placeCopy( AgentState& state, ModelIndex model ) {
        auto placements = placementFor( state, model );
        for( const auto it : placements ) {
            state.free[it] -= m_models[model].bytes;
        }
        state.held.push_back( model );
        state.placements.push_back( std::move( placements ) );
        state.load += loadPerCopy( model );
        ++m_copies[model];
    }

    void removeCopy( AgentState& state, ModelIndex model ) {
        removeFrom( state, model );
        state.load -= loadPerCopy( model );
        --m_copies[model];
    }

    double loadPerCopy( ModelIndex model ) const {
        const auto& it = m_models[model];
        return it.rate * it.serviceSeconds / std::max( 1.0, static_cast<double>( it.replicas ) );
    }

    //! Share of the model's requests that `copies` copies answer within target.
    double attainedShare( ModelIndex model, std::uint32_t copies ) const {
        const auto& it = m_models[model];
        const double parallel = it.rate * it.serviceSeconds;
        const double parallelCapacity =
            copies * m_rules.requestsPerCopy * m_rules.plannedUtilisation;
        if( copies == 0 ) {
            return 0;
        }
        return parallel <= parallelCapacity ? 1 : parallelCapacity / parallel;
    }

    //! Value over the horizon of the last of `copies` copies.
    double copyValue( ModelIndex model, std::uint32_t copies ) const {
        const auto& it = m_models[model];
        const double gain = attainedShare( model, copies ) - attainedShare( model, copies - 1 );
        const double weight = 1 + priorityShare * it.priority;
        double out = gain * it.rate * m_rules.horizonSeconds * weight * m_rules.weights.attainment;
        if( copies == 1 ) {
            // The largest models are placed first, as small ones still fit into the remaining
            // memory.
            out += firstCopyValue *
                   ( 1 + static_cast<double>( it.bytes ) * it.accelerators / m_largest );
        } else if( copies <= it.replicas ) {
            out += replicaValue;
        }
        return out;
    }

    double moveCost() const { return m_rules.weights.moves; }

    bool holds( const AgentState& state, ModelIndex model ) const {
        return std::find( state.held.begin(), state.held.end(), model ) != state.held.end();
    }

    void addCopies() {
        std::priority_queue<Candidate> queue;
        for( ModelIndex n = 0; n < m_models.size(); ++n ) {
            queue.push( { copyValue( n, m_copies[n] + 1 ), n } );
        }
        while( !queue.empty() && m_moves < m_rules.moveBudget ) {
            const auto best = queue.top();
            queue.pop();
            if( best.copyValue <= moveCost() ) {
                return;
            }
            // Evictions may have changed the value of the next copy.
            const double now = copyValue( best.model, m_copies[best.model] + 1 );
            if( now < best.copyValue ) {
                queue.push( { now, best.model } );
                continue;
            }
            if( addCopy( best.model, now ) ) {
                queue.push( { copyValue( best.model, m_copies[best.model] + 1 ), best.model } );
            }
        }
    }

    //! Copies of the model in a hall.
    std::uint32_t copiesIn( const std::string& hall, ModelIndex model ) const {
        return static_cast<std::uint32_t>(
            std::count_if( m_states.begin(), m_states.end(), [&]( const AgentState& it ) {
                return it.input->hall == hall && holds( it, model );
            } ) );
    }

    bool addCopy( ModelIndex model, double gain ) {
        AgentState* best = bestWithFreeMemory( model );
        if( best != nullptr ) {
            placeCopy( *best, model );
            ++m_moves;
            addReason( model, *best, "a copy is added: worth " + formatValue( gain ) );
            return true;
        }
        return addByEviction( model, gain );
    }

    //! Bytes that remain free on the accelerators that a copy would use.
    std::uint64_t freeBytesLeft( const AgentState& state, ModelIndex model ) const {
        std::uint64_t out = 0;
        for( const auto it : placementFor( state, model ) ) {
            out += state.free[it] - m_models[model].bytes;
        }
        return out;
    }

    AgentState* bestWithFreeMemory( ModelIndex model ) {
        AgentState* best = nullptr;
        double bestRank = std::numeric_limits<double>::max();
        std::unordered_map<std::string, std::uint32_t> byHall;
        for( auto& it : m_states ) {
            if( holds( it, model ) || placementFor( it, model ).empty() ) {
                continue;
            }
            auto [hall, inserted] = byHall.try_emplace( it.input->hall, 0U );
            if( inserted ) {
                hall->second = copiesIn( it.input->hall, model );
            }
            constexpr double hallWeight = 1e6;
            // The first copy goes where it leaves the least free memory, a further copy to the hall
            // with the fewest copies and there to the agent with the least load.
            const double rank = m_copies[model] == 0
                                    ? static_cast<double>( freeBytesLeft( it, model ) ) / m_largest
                                    : hallWeight * hall->second + it.load;
            if( rank < bestRank ) {
                bestRank = rank;
                best = &it;
            }
        }
        return best;
    }

    bool addByEviction( ModelIndex model, double gain ) {
        AgentState* best = nullptr;
        Eviction bestEviction;
        bestEviction.loss = gain;
        for( auto& it : m_states ) {
            if( holds( it, model ) || it.free.size() < m_models[model].accelerators ) {
                continue;
            }
            if( auto found = cheapestEviction( it, model, bestEviction.loss ) ) {
                bestEviction = std::move( *found );
                best = &it;
            }
        }
        if( best == nullptr ) {
            return false;
        }
        for( const auto victim : bestEviction.victims ) {
            removeCopy( *best, victim );
            ++m_moves;
            addReason( victim, *best, "its copy goes for " + m_models[model].name );
        }
        placeCopy( *best, model );
        ++m_moves;
        addReason( model, *best, "a copy is added in their place: worth " + formatValue( gain ) );
        return true;
    }

    //! The least valuable copies whose eviction frees enough memory; empty when the total loss,
    //! moves included, is not less than `bound`.
    std::optional<Eviction> cheapestEviction( const AgentState& state, ModelIndex model,
                                              double bound ) const {
        AgentState trial = state;
        Eviction out;
        out.loss = moveCost();
        std::vector<std::uint32_t> gone( m_models.size(), 0 );
        while( placementFor( trial, model ).empty() ) {
            std::optional<ModelIndex> victim;
            double leastLoss = bound;
            for( const auto it : trial.held ) {
                // The last copy of a model is never evicted.
                const double loss = m_copies[it] <= 1 ? std::numeric_limits<double>::max()
                                                      : copyValue( it, m_copies[it] );
                if( loss < leastLoss ) {
                    leastLoss = loss;
                    victim = it;
                }
            }
            if( !victim ) {
                return std::nullopt;
            }
            removeFrom( trial, *victim );
            out.victims.push_back( *victim );
            out.loss += leastLoss + moveCost();
            if( out.loss >= bound ) {
                return std::nullopt;
            }
        }
        return out;
    }

    void removeFrom( AgentState& state, ModelIndex model ) const {
        const auto at = std::find( state.held.begin(), state.held.end(), model );
        const auto n = static_cast<std::size_t>( at - state.held.begin() );
        for( const auto it : state.placements[n] ) {
            state.free[it] += m_models[model].bytes;
        }
        state.held.erase( at );
        state.placements.erase( state.placements.begin() + static_cast<std::ptrdiff_t>( n ) );
    }

    static std::string formatValue( double value ) {
        return value >= replicaValue ? "a replica" : std::to_string( std::lround( value ) );
    }

    void addReason( ModelIndex model, const AgentState& state, std::string text ) {
        m_reasons.push_back( { m_models[model].name, state.input->vm, std::move( text ) } );
    }

    std::span<const ModelInput> m_models;
    const PlanRules& m_rules;
    std::unordered_map<std::string, ModelIndex> m_index;
    std::vector<AgentState> m_states;
    std::vector<std::uint32_t> m_copies;
    std::vector<PlanReason> m_reasons;
    std::uint32_t m_moves = 0;
    double m_largest = 1; //!< bytes of the largest model on all its accelerators
};

} // namespace

Plan plan( std::span<const AgentInput> agents, std::span<const ModelInput> models,
           const PlanRules& rules ) {
    return Planner( agents, models, rules ).run();
}

void observe( DemandRate& rate, double arrivals, double seconds ) {
    constexpr double fastSeconds = 30;
    constexpr double slowSeconds = 600;
    if( seconds <= 0 ) {
        return;
    }
    const double now = arrivals / seconds;
    rate.fast += ( now - rate.fast ) * ( 1 - std::exp( -seconds / fastSeconds ) );
    rate.slow += ( now - rate.slow ) * ( 1 - std::exp( -seconds / slowSeconds ) );
}

double estimate( const DemandRate& rate ) {
    return std::max( rate.fast, rate.slow );
}

} // namespace coursehead::planner
