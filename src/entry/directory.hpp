// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ENTRY_DIRECTORY_HPP_INCLUDED
#define COURSEHEAD_ENTRY_DIRECTORY_HPP_INCLUDED

#include "coursehead/config/replica.hpp"
#include "coursehead/kernel/random.hpp"
#include "coursehead/peer/loop.hpp"
#include "coursehead/peer/messages.hpp"
#include "coursehead/platform/vm.hpp"
#include "coursehead/router/route.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <span>
#include <thread>
#include <vector>

//! What an entry knows of the agents: the platform's list, the connections and their reports.
namespace coursehead::entry {

//! Where an entry stands.
struct Place {
    std::string vm;
    std::string hall;
    std::string region;
};

//! An agent as shown to operators and the planner.
struct AgentView {
    platform::Vm vm;
    bool up = false;
    bool reported = false; //!< `status` is the current process's own report
    peer::AgentStatus status;
    MonoTime reportedAt;
};

//! The agent chosen for an attempt.
struct Choice {
    router::RouteKind kind = router::RouteKind::nowhere;
    std::string vm;
    std::string incarnation;
    std::shared_ptr<void> place; //!< counts the request as being there until it is let go
};

/**
 * Keeps a connection and a control stream to each agent of the list, takes their reports, and
 * passes configuration on in both directions.
 */
class Directory {
public:
    Directory( Place place, peer::Loop& loop, config::Replica& replica, RandomSource& random,
               const Clock& clock );
    ~Directory();
    Directory( const Directory& ) = delete;
    Directory& operator=( const Directory& ) = delete;

    void start();
    void stop();

    //! Takes the platform's list at a version of the store.
    void updateVms( std::span<const platform::Vm> vms, std::uint64_t version );
    //! To be called when a link changes; any thread.
    void onLinkChange( peer::LinkId link, bool up );

    //! Chooses an agent for a target and counts the request as on its way there.
    Choice choose( const peer::Target& target, std::uint64_t prefixHash,
                   std::span<const std::string> excluded );
    //! Opens a stream to an agent, waiting for the connection until the deadline; nullptr if down.
    std::shared_ptr<peer::Stream> open( std::string_view vm, std::string_view path,
                                        MonoTime deadline );
    //! Sends a message on the agent's control stream; false when it can't be taken now.
    bool tell( std::string_view vm, const peer::Message& message );

    std::vector<AgentView> agents() const;
    //! The version of the platform's list in use; 0 before the first.
    std::uint64_t listVersion() const;
    //! Arrivals by model since the last call, as the agents reported them.
    std::vector<peer::ModelDemand> takeDemand();
    //! Makes the control thread look around now.
    void wake();
    //! Connections that are up.
    std::size_t upCount() const;

private:
    struct Agent {
        AgentView view;
        peer::LinkId link = 0;
        std::shared_ptr<peer::Stream> control;
        bool lagging = false;               //!< was behind our revision at the last look
        std::uint32_t inFlight = 0;         //!< requests of this entry that are there
        std::uint32_t inFlightAtReport = 0; //!< the same when the agent last reported
    };

    void release( const std::string& vm );
    void run();
    void openControls();
    void readControls();
    void take( Agent& agent, const std::string& frame, std::vector<peer::ConfigNews>& news );
    void spreadConfig();
    void takeStatus( Agent& agent, const peer::AgentStatus& status );
    void takeLoad( Agent& agent, const peer::LoadReport& load );
    void exchangeConfig( Agent& agent, config::Revision theirs );
    router::Candidate candidate( const Agent& agent, const config::State& state,
                                 const peer::Target& target,
                                 std::span<const std::string> excluded ) const;
    bool canLoad( const Agent& agent, const config::State& state,
                  const peer::Target& target ) const;

    Place m_place;
    peer::Loop& m_loop;
    config::Replica& m_replica;
    RandomSource& m_random;
    const Clock& m_clock;
    router::RoutingRules m_rules;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Agent, std::less<>> m_agents;
    std::uint64_t m_listVersion = 0;
    std::map<std::string, std::uint32_t> m_demand;
    MonoTime m_lastSpread;
    bool m_work = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace coursehead::entry

#endif // COURSEHEAD_ENTRY_DIRECTORY_HPP_INCLUDED
