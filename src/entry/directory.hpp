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

//! An entry's view of the agents: the platform's VM list, the connections and the agents' reports.
namespace coursehead::entry {

//! An entry's VM, hall and region.
struct Location {
    std::string vm;
    std::string hall;
    std::string region;
};

//! An agent as shown to operators and the planner.
struct AgentView {
    platform::Vm vm;
    bool up = false;
    bool reported = false; //!< the current agent process has sent `status`
    peer::AgentStatus status;
    MonoTime reportedAt;
};

//! The agent chosen for an attempt.
struct Choice {
    router::RouteKind kind = router::RouteKind::unavailable;
    std::string vm;
    std::string incarnation;
    //! Counts the request as in flight at the agent until released.
    std::shared_ptr<void> inFlightHold;
};

/**
 * Keeps a connection and a control stream to each agent of the list, receives the agents' reports,
 * and exchanges configuration with them in both directions.
 */
class Directory {
public:
    Directory( Location location, peer::Loop& loop, config::Replica& replica, RandomSource& random,
               const Clock& clock );
    ~Directory();
    Directory( const Directory& ) = delete;
    Directory& operator=( const Directory& ) = delete;

    void start();
    void stop();

    //! Applies the platform's VM list at a version of the store.
    void updateVms( std::span<const platform::Vm> vms, std::uint64_t version );
    //! Must be called when a link goes up or down; may be called from any thread.
    void onLinkChange( peer::LinkId link, bool up );

    //! Chooses an agent for a target and counts the request as in flight there.
    Choice choose( const peer::Target& target, std::uint64_t prefixHash,
                   std::span<const std::string> excluded );
    //! Opens a stream to an agent, waiting for the connection until the deadline; nullptr if down.
    std::shared_ptr<peer::Stream> open( std::string_view vm, std::string_view path,
                                        MonoTime deadline );
    //! Sends a message on the agent's control stream; false when it can't be sent now.
    bool sendControl( std::string_view vm, const peer::Message& message );

    std::vector<AgentView> agents() const;
    //! The version of the platform's VM list in use; 0 before the first list.
    std::uint64_t listVersion() const;
    //! Returns the arrivals by model that agents have reported since the last call.
    std::vector<peer::ModelDemand> takeDemand();
    //! Wakes the control thread.
    void wake();
    //! The number of connections that are up.
    std::size_t upCount() const;

private:
    struct Agent {
        AgentView view;
        peer::LinkId link = 0;
        std::shared_ptr<peer::Stream> control;
        bool lagging = false;               //!< was behind this entry's revision at the last check
        std::uint32_t inFlight = 0;         //!< this entry's requests at the agent
        std::uint32_t inFlightAtReport = 0; //!< the same when the agent last reported
    };

    void release( const std::string& vm );
    void run();
    void openControls();
    void readControls();
    void handleMessage( Agent& agent, const std::string& frame,
                        std::vector<peer::ConfigUpdate>& updates );
    void pushConfigToLaggingAgents();
    void handleStatus( Agent& agent, const peer::AgentStatus& status );
    void handleLoad( Agent& agent, const peer::LoadReport& load );
    void exchangeConfig( Agent& agent, config::Revision agentRevision );
    router::Candidate candidate( const Agent& agent, const config::State& state,
                                 const peer::Target& target,
                                 std::span<const std::string> excluded ) const;
    bool canLoad( const Agent& agent, const config::State& state,
                  const peer::Target& target ) const;

    Location m_location;
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
    MonoTime m_lastConfigPush;
    bool m_workPending = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace coursehead::entry

#endif // COURSEHEAD_ENTRY_DIRECTORY_HPP_INCLUDED
