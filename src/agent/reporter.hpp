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
    Millis least{ 1000 };       //!< between two reports of load alone
    Millis most{ 60000 };       //!< between two full reports
    Millis drift{ 5000 };       //!< between two reports of load that changed a little
    std::uint32_t loadStep = 1; //!< a change of load that is reported after `least`
};

//! The agent's side of the control streams: reports out, configuration both ways, plans in.
class Reporter {
public:
    using StatusMaker = std::function<peer::AgentStatus()>;
    using PlanTaker = std::function<void( const peer::PlanTargets& plan )>;

    Reporter( ReporterSettings settings, config::Replica& replica, StatusMaker status,
              PlanTaker plans, const Clock& clock );
    ~Reporter();
    Reporter( const Reporter& ) = delete;
    Reporter& operator=( const Reporter& ) = delete;

    void start();
    void stop();
    //! Takes a stream on peer::controlPath.
    void add( std::shared_ptr<peer::Stream> stream );
    //! Says that the load has changed, or (urgent) something that must be known at once.
    void changed( bool urgent = false );
    std::size_t streams() const;

private:
    void run();
    void readAll();
    void take( peer::Stream& stream, const std::string& frame );
    void report();
    std::string reportBytes();
    bool worthReporting( const peer::AgentStatus& status, MonoTime now ) const;

    ReporterSettings m_settings;
    config::Replica& m_replica;
    StatusMaker m_status;
    PlanTaker m_plans;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::vector<std::shared_ptr<peer::Stream>> m_streams;
    bool m_readable = false;
    bool m_dirty = true;
    bool m_urgent = false;
    bool m_stopping = false;
    std::uint64_t m_sequence = 0;
    MonoTime m_lastReport;
    MonoTime m_lastFull;
    std::uint32_t m_lastLoad = 0;
    std::uint64_t m_lastRevision = 0;
    std::vector<peer::ModelDemand> m_demand; //!< seen since the last report that was sent
    MonoTime m_lastSent;
    std::string m_lastShape; //!< the last full report without its load
    bool m_fullWanted = true;
    std::thread m_thread;
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_REPORTER_HPP_INCLUDED
