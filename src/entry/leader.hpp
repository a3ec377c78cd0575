// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ENTRY_LEADER_HPP_INCLUDED
#define COURSEHEAD_ENTRY_LEADER_HPP_INCLUDED

#include "coursehead/config/committer.hpp"
#include "coursehead/planner/lease.hpp"
#include "entry/plan_service.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

//! Competes for the region's planner lease; assigns claim slots and sends plans while holding it.
namespace coursehead::entry {

struct LeaderSettings {
    Location location;
    Millis leaseLength{ 6000 };
    Millis interval{ 1000 };     //!< between lease checks
    Millis settlingTime{ 3000 }; //!< after winning the lease, before slots are assigned
    Millis planInterval{ 5000 };
};

class Leader {
public:
    Leader( LeaderSettings settings, const platform::ObjectStore& store, Directory& directory,
            config::Replica& replica, RandomSource& random, const Clock& clock );
    ~Leader();
    Leader( const Leader& ) = delete;
    Leader& operator=( const Leader& ) = delete;

    void start();
    void stop();
    //! True while this entry may act as the planner.
    bool leading() const;
    std::uint64_t epoch() const;
    std::vector<std::string> planReasons( const std::string& model ) const {
        return m_plans.reasonsFor( model );
    }

private:
    void run();
    void keepLease();
    void readLease();
    void writeLease( planner::LeaseAction action );
    void assignSlots();

    LeaderSettings m_settings;
    const platform::ObjectStore& m_store;
    Directory& m_directory;
    config::Replica& m_replica;
    RandomSource& m_random;
    const Clock& m_clock;
    std::string m_leaseName;
    PlanService m_plans;
    MonoTime m_plannedAt;
    mutable std::mutex m_mutex; //!< guards the view
    planner::LeaseView m_view;
    std::condition_variable m_wakeup;
    bool m_stopping = false;
    MonoTime m_leaseWonAt;
    std::thread m_thread;
};

} // namespace coursehead::entry

#endif // COURSEHEAD_ENTRY_LEADER_HPP_INCLUDED
