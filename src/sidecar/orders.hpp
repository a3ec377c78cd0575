// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_ORDERS_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_ORDERS_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "decide/order_progress.hpp"
#include "sidecar/engine_client.hpp"
#include "sidecar/engine_view.hpp"

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace coursehead::sidecar {

//! An order that is to be sent to the engine.
struct PlannedOrder {
    Step step;
    std::string upstreamId;
};

/**
 * Sends orders to the engine, and holds the ensure requests that wait for them. An order changes
 * the engine's state, so at most one is sent per report, and the next is chosen from a new report.
 */
class Orders {
public:
    //! Functions that the sidecar provides.
    struct Callbacks {
        std::function<void( const PendingEnsure& ensure, gateway::EnsureOutcome outcome )> answer;
        std::function<void( PendingEnsure ensure )> ready; //!< the model and adapter are resident
        std::function<void()> changed; //!< gateways need a new report of the engine
    };

    Orders( net::asio::io_context& context, const platform::NodeSettings& settings,
            EngineClient& engine, EngineView& view, RandomSource& random, metrics::Metrics& metrics,
            Callbacks callbacks );

    //! Starts to obtain the fencing token; no order is sent without it. On the deployment's first
    //! start the token is a constant, and the store is not called.
    void start();
    //! Queues an ensure request for a model or adapter that is not resident.
    void add( PendingEnsure ensure );
    void forget( std::uint64_t key );
    void forgetPeer( const Peer& peer );
    bool waiting() const noexcept { return !m_waiting.empty(); }

    //! Sets the id of the engine's present start, as reported by gateways.
    void setEngine( const std::string& upstreamId ) { m_engineId = upstreamId; }
    //! Forgets the model order in progress: the engine has restarted.
    void forgetModelOrder() { m_modelOrder.reset(); }
    //! Loads models again that the engine held before it restarted empty.
    void restoreModels( std::vector<decide::PreviousModel> lostModels );
    //! Likewise when this process has just started and did not see what the engine held: takes the
    //! models from the engine's entry in the store.
    void restoreModelsFromStore();
    //! Answers the ensure requests that can be answered now, and returns the next order to send.
    std::optional<PlannedOrder> answerWaiting( MonoTime now );
    net::Task<> sendOrder( PlannedOrder planned );
    //! Fails the ensure requests that have waited too long for an engine that does not answer, so
    //! that gateways try another one.
    void failOverdue();

    //! Time until the model order in progress ends; zero: there is none; nullopt: unknown.
    std::optional<Millis> orderLeft( MonoTime now ) const;

    //! Ids of the engine's earlier starts, oldest first.
    const std::vector<std::string>& formerStarts() const noexcept { return m_formerStarts; }
    //! Milliseconds since the last order was sent; -1 before the first.
    std::int64_t lastOrderAge( MonoTime now ) const {
        return m_lastOrderAt ? millisBetween( *m_lastOrderAt, now ) : -1;
    }

private:
    net::Task<> obtainFencingToken();
    net::Task<> readFormerModels();
    std::optional<Step> modelRestoreStep( const ResidencyState& state, MonoTime now );
    void noteModelOrder( const Step& step );
    Millis loadTime( std::string_view model ) const;
    std::optional<Millis> waitBehindOrder( const PendingEnsure& ensure, const Step& step,
                                           Millis limitLeft, MonoTime now ) const;
    void letIn( std::vector<PendingEnsure> ready, MonoTime now );
    void handleRestart( const std::string& expectedStart, const std::string& actualStart );
    void failMatching( const std::function<bool( const PendingEnsure& ensure )>& matches );

    net::asio::io_context& m_context;
    const platform::NodeSettings& m_settings;
    EngineClient& m_engine;
    EngineView& m_view;
    RandomSource& m_random;
    metrics::Metrics& m_metrics;
    Callbacks m_callbacks;
    std::list<PendingEnsure> m_waiting;
    std::uint64_t m_fencingToken = 0; //!< 0: none yet
    std::string m_engineId;           //!< id of the engine's present start, as far as known
    std::vector<std::string> m_formerStarts;
    std::optional<MonoTime> m_lastOrderAt;          //!< when the last order was sent
    std::optional<decide::ModelOrder> m_modelOrder; //!< last one that the engine may carry out
    decide::ModelRestore m_modelRestore;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_ORDERS_HPP_INCLUDED
