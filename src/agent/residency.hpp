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

//! What is resident on the runner beside us: the ledger, and the one thread that gives orders.
namespace coursehead::agent {

struct ResidencySettings {
    std::string vm;
    std::string upstream; //!< the upstream's name in the configuration
    engine::Endpoint endpoint;
    Millis minResidency{ 10000 };
    Millis statusInterval{ 5000 };  //!< how often the engine's own report is compared
    Millis blockedPatience{ 1000 }; //!< how long a load without room is waited for
};

//! A target held in place for a request; see pin().
struct Pin {
    ledger::Item model;
    std::optional<ledger::Item> adapter;
};

enum class ReadyStatus {
    ready,
    impossible, //!< it can't be loaded here now: no orders may be given, or nothing can make room
    timeout,
};

/**
 * Holds the ledger. Orders are given only under an epoch that was taken in the platform's store
 * and only by this class's thread, one at a time.
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
    //! True when the target could be run here now without loading.
    bool resident( const peer::Target& target ) const;

    //! Takes a planner's targets; older epochs and repeated sequences are dropped.
    void setPlan( const peer::PlanTargets& plan );
    void configChanged();
    //! Called whenever the set of items changes. Set before start().
    void onChange( std::function<void()> listener );

    std::vector<peer::ResidentItem> items() const;
    std::uint64_t freeBytes() const;
    std::uint32_t accelerators() const;
    bool mayOrder() const;

private:
    struct Waiting {
        std::uint32_t count = 0;
        bool blocked = false;
        MonoTime blockedSince;
    };
    struct Use {
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
    void carryOut( const ledger::Instruction& instruction );
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
    void changed();

    ResidencySettings m_settings;
    const platform::ObjectStore& m_store;
    config::Replica& m_replica;
    metrics::Metrics& m_metrics;
    const Clock& m_clock;
    MonoTime m_began;
    std::function<void()> m_listener;

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeup;   //!< for the order thread
    std::condition_variable m_progress; //!< for requests that wait
    ledger::OrderProtocol m_protocol;
    bool m_stopping = false;
    bool m_work = false;
    std::map<ledger::Item, Use, ItemLess> m_use;
    std::map<peer::Target, Waiting, TargetLess> m_waiting;
    peer::PlanTargets m_plan;
    std::vector<ledger::Item> m_retiring; //!< busy items that take no new requests
    std::thread m_thread;
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_RESIDENCY_HPP_INCLUDED
