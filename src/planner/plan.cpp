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

//! Worth of a model's first copy and of those up to its replicas, far above any demand.
constexpr double firstCopyWorth = 1e9;
constexpr double replicaWorth = 1e6;
constexpr double priorityShare = 0.5;

//! An agent while the plan is made.
struct Site {
    const AgentInput* input = nullptr;
    std::vector<std::uint64_t> free; //!< by accelerator
    std::vector<ModelIndex> held;
    std::vector<std::vector<std::uint32_t>> places; //!< accelerators of each held model
    double load = 0;                                //!< expected parallel requests, for spreading
};

//! What would have to go to make room for a copy.
struct Eviction {
    std::vector<ModelIndex> victims;
    double loss = 0;
};

//! A copy that is worth having.
struct Candidate {
    double worth = 0;
    ModelIndex model = 0;
    bool operator<( const Candidate& other ) const {
        return worth != other.worth ? worth < other.worth : model > other.model;
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
            m_sites.push_back( makeSite( it ) );
        }
    }

    Plan run() {
        addCopies();
        Plan out;
        out.moves = m_moves;
        out.reasons = std::move( m_reasons );
        for( const auto& it : m_sites ) {
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
    Site makeSite( const AgentInput& input ) {
        Site site;
        site.input = &input;
        site.free.assign( input.usable ? input.accelerators : 0, input.memory );
        std::vector<ModelIndex> resident;
        for( const auto& name : input.models ) {
            const auto found = m_index.find( name );
            if( input.usable && found != m_index.end() ) {
                resident.push_back( found->second );
            }
        }
        // Where exactly a copy sits is the agent's affair: pack the largest first.
        std::stable_sort( resident.begin(), resident.end(), [this]( auto a, auto b ) {
            return m_models[a].bytes > m_models[b].bytes;
        } );
        bool packed = true;
        for( const auto it : resident ) {
            put( site, it );
            packed = packed && !site.places.back().empty();
        }
        if( !packed ) {
            // Our packing is not the agent's: offer no room that may not be there.
            std::fill( site.free.begin(), site.free.end(), 0 );
        }
        return site;
    }

    //! The accelerators a copy would take; empty when there is no room.
    std::vector<std::uint32_t> roomFor( const Site& site, ModelIndex model ) const {
        const auto& it = m_models[model];
        std::vector<std::uint32_t> order( site.free.size() );
        std::iota( order.begin(), order.end(), 0U );
        std::stable_sort( order.begin(), order.end(),
                          [&site]( auto a, auto b ) { return site.free[a] > site.free[b]; } );
        if( order.size() < it.accelerators || site.free[order[it.accelerators - 1]] < it.bytes ) {
            return {};
        }
        order.resize( it.accelerators );
        return order;
    }

    //! Puts a copy; one that is resident already is taken as it is, even where it does not fit.
    void put( Site& site, ModelIndex model ) {
        auto places = roomFor( site, model );
        for( const auto it : places ) {
            site.free[it] -= m_models[model].bytes;
        }
        site.held.push_back( model );
        site.places.push_back( std::move( places ) );
        site.load += loadPerCopy( model );
        ++m_copies[model];
    }

    void take( Site& site, ModelIndex model ) {
        dropFrom( site, model );
        site.load -= loadPerCopy( model );
        --m_copies[model];
    }

    double loadPerCopy( ModelIndex model ) const {
        const auto& it = m_models[model];
        return it.rate * it.serviceSeconds / std::max( 1.0, static_cast<double>( it.replicas ) );
    }

    //! Share of the model's requests that so many copies answer within target.
    double attained( ModelIndex model, std::uint32_t copies ) const {
        const auto& it = m_models[model];
        const double parallel = it.rate * it.serviceSeconds;
        const double places = copies * m_rules.placesPerCopy * m_rules.fill;
        if( copies == 0 ) {
            return 0;
        }
        return parallel <= places ? 1 : places / parallel;
    }

    //! What the copy that makes it `copies` gains over the horizon.
    double worth( ModelIndex model, std::uint32_t copies ) const {
        const auto& it = m_models[model];
        const double gain = attained( model, copies ) - attained( model, copies - 1 );
        const double weight = 1 + priorityShare * it.priority;
        double out = gain * it.rate * m_rules.horizonSeconds * weight * m_rules.weights.attainment;
        if( copies == 1 ) {
            // The largest first: small ones still fit into what is left.
            out += firstCopyWorth *
                   ( 1 + static_cast<double>( it.bytes ) * it.accelerators / m_largest );
        } else if( copies <= it.replicas ) {
            out += replicaWorth;
        }
        return out;
    }

    double moveCost() const { return m_rules.weights.moves; }

    bool holds( const Site& site, ModelIndex model ) const {
        return std::find( site.held.begin(), site.held.end(), model ) != site.held.end();
    }

    void addCopies() {
        std::priority_queue<Candidate> queue;
        for( ModelIndex n = 0; n < m_models.size(); ++n ) {
            queue.push( { worth( n, m_copies[n] + 1 ), n } );
        }
        while( !queue.empty() && m_moves < m_rules.moveBudget ) {
            const auto best = queue.top();
            queue.pop();
            if( best.worth <= moveCost() ) {
                return;
            }
            // Evictions may have changed what the next copy is worth.
            const double now = worth( best.model, m_copies[best.model] + 1 );
            if( now < best.worth ) {
                queue.push( { now, best.model } );
                continue;
            }
            if( addCopy( best.model, now ) ) {
                queue.push( { worth( best.model, m_copies[best.model] + 1 ), best.model } );
            }
        }
    }

    //! Copies of the model in a hall.
    std::uint32_t copiesIn( const std::string& hall, ModelIndex model ) const {
        return static_cast<std::uint32_t>(
            std::count_if( m_sites.begin(), m_sites.end(), [&]( const Site& it ) {
                return it.input->hall == hall && holds( it, model );
            } ) );
    }

    bool addCopy( ModelIndex model, double gain ) {
        Site* best = bestWithRoom( model );
        if( best != nullptr ) {
            put( *best, model );
            ++m_moves;
            note( model, *best, "a copy is added: worth " + number( gain ) );
            return true;
        }
        return addByEviction( model, gain );
    }

    //! Room that stays on the accelerators a copy would take.
    std::uint64_t leftOver( const Site& site, ModelIndex model ) const {
        std::uint64_t out = 0;
        for( const auto it : roomFor( site, model ) ) {
            out += site.free[it] - m_models[model].bytes;
        }
        return out;
    }

    Site* bestWithRoom( ModelIndex model ) {
        Site* best = nullptr;
        double bestRank = std::numeric_limits<double>::max();
        std::unordered_map<std::string, std::uint32_t> byHall;
        for( auto& it : m_sites ) {
            if( holds( it, model ) || roomFor( it, model ).empty() ) {
                continue;
            }
            auto [hall, fresh] = byHall.try_emplace( it.input->hall, 0U );
            if( fresh ) {
                hall->second = copiesIn( it.input->hall, model );
            }
            constexpr double hallWeight = 1e6;
            // A first copy goes where it leaves the least room over, a further one where it is
            // calm.
            const double rank = m_copies[model] == 0
                                    ? static_cast<double>( leftOver( it, model ) ) / m_largest
                                    : hallWeight * hall->second + it.load;
            if( rank < bestRank ) {
                bestRank = rank;
                best = &it;
            }
        }
        return best;
    }

    bool addByEviction( ModelIndex model, double gain ) {
        Site* best = nullptr;
        Eviction bestEviction;
        bestEviction.loss = gain;
        for( auto& it : m_sites ) {
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
            take( *best, victim );
            ++m_moves;
            note( victim, *best, "its copy goes for " + m_models[model].name );
        }
        put( *best, model );
        ++m_moves;
        note( model, *best, "a copy is added in their place: worth " + number( gain ) );
        return true;
    }

    //! The least valuable copies that make room, when they lose less than `bound` in all.
    std::optional<Eviction> cheapestEviction( const Site& site, ModelIndex model,
                                              double bound ) const {
        Site trial = site;
        Eviction out;
        out.loss = moveCost();
        std::vector<std::uint32_t> gone( m_models.size(), 0 );
        while( roomFor( trial, model ).empty() ) {
            std::optional<ModelIndex> victim;
            double least = bound;
            for( const auto it : trial.held ) {
                // The last copy of a model never goes for a better plan.
                const double loss = m_copies[it] <= 1 ? std::numeric_limits<double>::max()
                                                      : worth( it, m_copies[it] );
                if( loss < least ) {
                    least = loss;
                    victim = it;
                }
            }
            if( !victim ) {
                return std::nullopt;
            }
            dropFrom( trial, *victim );
            out.victims.push_back( *victim );
            out.loss += least + moveCost();
            if( out.loss >= bound ) {
                return std::nullopt;
            }
        }
        return out;
    }

    void dropFrom( Site& site, ModelIndex model ) const {
        const auto at = std::find( site.held.begin(), site.held.end(), model );
        const auto n = static_cast<std::size_t>( at - site.held.begin() );
        for( const auto it : site.places[n] ) {
            site.free[it] += m_models[model].bytes;
        }
        site.held.erase( at );
        site.places.erase( site.places.begin() + static_cast<std::ptrdiff_t>( n ) );
    }

    static std::string number( double value ) {
        return value >= replicaWorth ? "a replica" : std::to_string( std::lround( value ) );
    }

    void note( ModelIndex model, const Site& site, std::string text ) {
        m_reasons.push_back( { m_models[model].name, site.input->vm, std::move( text ) } );
    }

    std::span<const ModelInput> m_models;
    const PlanRules& m_rules;
    std::unordered_map<std::string, ModelIndex> m_index;
    std::vector<Site> m_sites;
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
