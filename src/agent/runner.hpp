// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_RUNNER_HPP_INCLUDED
#define COURSEHEAD_AGENT_RUNNER_HPP_INCLUDED

#include "agent/places.hpp"
#include "agent/residency.hpp"
#include "agent/session.hpp"
#include "coursehead/claims/attempts.hpp"

#include <atomic>

//! Runs requests on the agent's upstream.
namespace coursehead::agent {

enum class UpstreamKind { runner, service };

struct RunnerSettings {
    UpstreamKind kind = UpstreamKind::runner;
    std::string incarnation; //!< identifies this agent process
    engine::Endpoint endpoint;
    Millis loadTimeout{ 20000 };       //!< the longest wait for a model to be loaded
    Millis orphanTimeout{ 5000 };      //!< how long an answer without a reader goes on
    Millis attemptRetention{ 600000 }; //!< how long attempts are kept for barring
    std::uint32_t localRetries = 1;    //!< continuations of a cut generation on the same engine
};

//! The components of the agent that the runner uses.
struct RunnerContext {
    Residency* residency = nullptr; //!< nullptr if the upstream is a service
    Places& places;
    SessionTable& sessions;
    metrics::Metrics& metrics;
    const Clock& clock;
};

class Runner {
public:
    Runner( RunnerSettings settings, RunnerContext context );

    //! Serves a stream on peer::runPath, on the calling thread.
    void run( std::shared_ptr<peer::Stream> stream );
    //! Serves a stream on peer::joinPath.
    void join( peer::Stream& stream );
    //! Serves a stream on peer::barPath.
    void bar( peer::Stream& stream );

    //! Refuses new requests from now on.
    void drain() noexcept { m_draining = true; }
    bool draining() const noexcept { return m_draining; }
    //! Requests in progress, including queued ones.
    std::uint32_t inFlight() const noexcept { return m_inFlight; }
    //! Returns the arrivals by model since the last call.
    std::vector<peer::ModelDemand> takeDemand();
    //! Removes old attempts and sessions.
    void removeExpired();

private:
    //! The state of one request while it runs.
    struct Job {
        peer::RunRequest request;
        std::shared_ptr<peer::Stream> stream;
        MonoTime deadline;
        MonoTime orphanedAt;
        std::shared_ptr<Session> session;
    };

    std::string refusalReason( const peer::RunRequest& request ) const;
    void refuse( Job& job, std::string reason, Millis retryAfter );
    void serve( Job& job );
    void startAndRun( Job& job, const Pin* pin );
    void runModel( Job& job, const Pin& pin );
    void runService( Job& job );
    void finish( Job& job, const peer::Message& end );
    bool forwardText( Job& job, std::string_view text );
    bool isOrphaned( Job& job );
    engine::GenerationResult generateOnce( Job& job, const Pin& pin );
    void countDemand( const peer::RunRequest& request );

    RunnerSettings m_settings;
    RunnerContext m_context;
    std::atomic<bool> m_draining{ false };
    std::atomic<std::uint32_t> m_inFlight{ 0 };
    std::mutex m_mutex; //!< guards m_attempts and m_demand
    claims::AttemptTable m_attempts;
    std::map<std::string, std::uint32_t> m_demand;
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_RUNNER_HPP_INCLUDED
