// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_REPORTER_HPP_INCLUDED
#define COURSEHEAD_AGENT_REPORTER_HPP_INCLUDED

#include "coursehead/config/replica.hpp"
#include "coursehead/peer/messages.hpp"
#include "coursehead/peer/stream.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace coursehead::agent {

struct ReporterSettings {
    Millis minReportInterval{ 1000 };   //!< shortest time between two load reports
    Millis fullReportInterval{ 60000 }; //!< longest time between two full reports
    Millis smallChangeInterval{ 5000 }; //!< time between reports of load changes below `loadStep`
    std::uint32_t loadStep = 1; //!< smallest load change that is reported after `minReportInterval`
};

//! The agent's side of the control streams: sends reports, exchanges configuration with entries,
//! and receives plans.
class Reporter {
public:
    using StatusProvider = std::function<peer::AgentStatus()>;
    using PlanHandler = std::function<void( const peer::PlanTargets& plan )>;

    Reporter( ReporterSettings settings, config::Replica& replica, StatusProvider status,
              PlanHandler plans, const Clock& clock );
    ~Reporter();
    Reporter( const Reporter& ) = delete;
    Reporter& operator=( const Reporter& ) = delete;

    void start();
    void stop();
    //! Adds a stream on peer::controlPath.
    void add( std::shared_ptr<peer::Stream> stream );
    //! Schedules a report after a load change; `urgent` reports another change without delay.
    void scheduleReport( bool urgent = false );
    std::size_t streams() const;

private:
    void run();
    void readAll();
    void handleMessage( peer::Stream& stream, const std::string& frame );
    void report();
    std::string encodeNextReport();
    bool isLoadReportDue( const peer::AgentStatus& status, MonoTime now ) const;

    ReporterSettings m_settings;
    config::Replica& m_replica;
    StatusProvider m_makeStatus;
    PlanHandler m_handlePlan;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::vector<std::shared_ptr<peer::Stream>> m_streams;
    bool m_messagePending = false;
    bool m_loadChanged = true;
    bool m_urgent = false;
    bool m_stopping = false;
    std::uint64_t m_sequence = 0;
    MonoTime m_lastReport;
    MonoTime m_lastFull;
    std::uint32_t m_lastLoad = 0;
    std::uint64_t m_lastRevision = 0;
    std::vector<peer::ModelDemand> m_demand; //!< arrivals since the last report that was sent
    MonoTime m_lastSent;
    std::string m_lastStatusWithoutLoad; //!< the last full report, encoded without its load
    bool m_fullReportPending = true;
    std::thread m_thread;
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_REPORTER_HPP_INCLUDED
