// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_ORDERS_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_ORDERS_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "sidecar/engine_client.hpp"
#include "sidecar/engine_view.hpp"

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace coursehead::sidecar {

/**
 * The orders that an engine is given, and the questions that wait for them. An order moves the
 * engine's state, so there is one a round, and the next rests on a new report.
 */
class Orders {
public:
    //! What the sidecar does for it.
    struct Callbacks {
        std::function<void( const PendingEnsure& ensure, gateway::EnsureOutcome outcome )> answer;
        std::function<void( PendingEnsure ensure )> ready; //!< what it waited for is there
        std::function<void()> changed;                     //!< gateways should hear of the engine
    };

    Orders( net::asio::io_context& context, const platform::NodeSettings& settings,
            EngineClient& engine, EngineView& view, RandomSource& random, metrics::Metrics& metrics,
            Callbacks host );

    //! Begins to obtain the fencing token; no order is given without. On the deployment's first
    //! start the store is not asked for it.
    void start();
    //! Queues a question for a model or adapter that is not there.
    void add( PendingEnsure ensure );
    void forget( std::uint64_t key );
    void forgetPeer( const Peer& peer );
    bool waiting() const noexcept { return !m_wants.empty(); }

    //! The engine's present start, as gateways know it.
    void setEngine( const std::string& upstreamId ) { m_engineId = upstreamId; }
    //! The engine has come back empty.
    void modelRestore( std::vector<decide::PreviousModel> lost );
    //! The same, and this process has just started: the store's list says what the engine held.
    void recallFromStore();
    //! Answers what can be answered, and gives the next order.
    net::Task<> serve();
    //! The engine does not answer: what waits goes elsewhere.
    void dropOld();

    //! Earlier starts of the engine, oldest first.
    const std::vector<std::string>& former() const noexcept { return m_former; }
    //! Milliseconds since the last order was given; -1 before the first.
    std::int64_t lastOrderAge( MonoTime now ) const {
        return m_orderAt ? millisBetween( *m_orderAt, now ) : -1;
    }

private:
    net::Task<> obtainFence();
    net::Task<> readFormer();
    std::optional<Step> recallStep( const ResidencyState& held, MonoTime now );
    net::Task<> give( Step step, std::string upstreamId );
    void noteMoved( const std::string& meant, const std::string& actual );
    void fail( const std::function<bool( const PendingEnsure& ensure )>& which );

    net::asio::io_context& m_context;
    const platform::NodeSettings& m_settings;
    EngineClient& m_engine;
    EngineView& m_view;
    RandomSource& m_random;
    metrics::Metrics& m_metrics;
    Callbacks m_host;
    std::list<PendingEnsure> m_wants;
    std::uint64_t m_fence = 0; //!< 0: none yet
    std::string m_engineId;    //!< the engine's present start, as far as known
    std::vector<std::string> m_former;
    std::optional<MonoTime> m_orderAt; //!< when the last order was given
    decide::ModelRestore m_recall;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_ORDERS_HPP_INCLUDED
