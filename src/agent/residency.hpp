// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_RESIDENCY_HPP_INCLUDED
#define COURSEHEAD_AGENT_RESIDENCY_HPP_INCLUDED

#include "coursehead/config/replica.hpp"
#include "coursehead/engine/engine.hpp"
#include "coursehead/ledger/protocol.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "coursehead/platform/store.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

//! Residency of models and adapters on the agent's runner: the ledger, and the one thread that
//! sends orders to the engine.
namespace coursehead::agent {

struct ResidencySettings {
    std::string vm;
    std::string upstream; //!< the upstream's name in the configuration
    engine::Endpoint endpoint;
    Millis minResidency{ 10000 };
    Millis statusInterval{ 5000 }; //!< time between comparisons with the engine's own report
    Millis blockedTimeout{ 1000 }; //!< longest wait for a load that lacks free memory
};

//! The items that a request keeps resident; see pin().
struct Pin {
    ledger::Item model;
    std::optional<ledger::Item> adapter;
};

enum class ReadyStatus {
    ready,
    impossible, //!< no load is possible now: orders aren't allowed, or no memory can be freed
    timeout,
};

/**
 * Holds the ledger. Only this class's thread sends orders, one at a time, and only under an epoch
 * that it has taken in the platform's store.
 */
class Residency {
public:
    Residency( ResidencySettings settings, const platform::ObjectStore& store,
               config::Replica& replica, metrics::Metrics& metrics, const Clock& clock );
    ~Residency();
    Residency( const Residency& ) = delete;
    Residency& operator=( const Residency& ) = delete;

    void start();
    void stop();

    //! Waits until the target is resident and keeps it there until unpin().
    ReadyStatus pin( const peer::Target& target, MonoTime deadline,
                     const std::function<bool()>& abandoned, Pin& out );
    void unpin( const Pin& pin );
    //! True when the target can run on this upstream now without a load.
    bool resident( const peer::Target& target ) const;

    //! Applies a planner's targets; drops older epochs and, within an epoch, old or repeated
    //! sequence numbers.
    void setPlan( const peer::PlanTargets& plan );
    void configChanged();
    //! Called whenever the set of items changes. Set before start().
    void onChange( std::function<void()> listener );

    std::vector<peer::ResidentItem> items() const;
    std::uint64_t freeBytes() const;
    std::uint32_t accelerators() const;
    bool mayOrder() const;

private:
    struct WaitingRequests {
        std::uint32_t count = 0;
        bool blocked = false;
        MonoTime blockedSince;
    };
    struct ItemUse {
        std::uint32_t running = 0;
        MonoTime lastUsed;
    };
    struct ItemLess {
        bool operator()( const ledger::Item& a, const ledger::Item& b ) const;
    };
    struct TargetLess {
        bool operator()( const peer::Target& a, const peer::Target& b ) const;
    };

    void run();
    bool findUpstream();
    ledger::Instruction nextInstruction();
    void perform( const ledger::Instruction& instruction );
    bool takeEpoch();
    bool fence( ledger::OrderNumber number );
    bool readReport();
    void execute( const ledger::Order& order );
    std::vector<ledger::Wanted> wanted( const config::State& state ) const;
    std::vector<ledger::Usage> usage() const;
    std::vector<ledger::Item> deleted( const config::State& state ) const;
    void markBlocked();
    void chooseRetiring( std::span<const ledger::Wanted> wanted, const ledger::StepRules& rules );
    bool isRetiring( const ledger::Item& item ) const;
    std::optional<Pin> findPin( const peer::Target& target ) const;
    bool pause( Millis length );
    bool stopping() const;
    void notifyChange();

    ResidencySettings m_settings;
    const platform::ObjectStore& m_store;
    config::Replica& m_replica;
    metrics::Metrics& m_metrics;
    const Clock& m_clock;
    MonoTime m_startedAt;
    std::function<void()> m_listener;

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeup;   //!< wakes the order thread
    std::condition_variable m_progress; //!< wakes the requests that wait for residency
    ledger::OrderProtocol m_protocol;
    bool m_stopping = false;
    bool m_workPending = false;
    std::map<ledger::Item, ItemUse, ItemLess> m_itemUse;
    std::map<peer::Target, WaitingRequests, TargetLess> m_waiting;
    peer::PlanTargets m_plan;
    std::vector<ledger::Item> m_retiring; //!< busy items that take no new requests
    std::thread m_thread;
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_RESIDENCY_HPP_INCLUDED
