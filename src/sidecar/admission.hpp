// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_ADMISSION_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_ADMISSION_HPP_INCLUDED

#include "decide/cold_gate.hpp"
#include "decide/event_pace.hpp"
#include "decide/speed_meter.hpp"
#include "net/net.hpp"
#include "sidecar/pending_ensure.hpp"
#include "sidecar/prompt_gate.hpp"
#include "sidecar/return_gate.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace coursehead::sidecar {

//! Holds ensure requests whose model and adapter are resident until their prompts may be sent to
//! the engine, and answers them. Drives the prompt gate with a timer.
class Admission {
public:
    //! Functions that the sidecar provides.
    struct Callbacks {
        std::function<bool( const RequiredModel& required )> isResident;
        std::function<void( const PendingEnsure& ensure, gateway::EnsureOutcome outcome,
                            Millis wait, double workMs )>
            answer;
        //! The ensure's model or adapter was unloaded.
        std::function<void( PendingEnsure ensure )> notResident;
        std::function<void( const PendingEnsure& ensure )> admitted; //!< its prompt is admitted now
        //! It is decided whether the engine fetches parts of the prompt. Only called for prompts
        //! that name an engine which has parts.
        std::function<void( const PendingEnsure& ensure, const ReadingPlan& plan )> partsPlanned;
        std::function<void( const decide::StartedFetch& fetch )> fetchFailed;
    };

    Admission( net::asio::io_context& context, Callbacks callbacks );

    void setEngine( std::int64_t cacheTokens, Millis gapTarget );
    //! Sets the link over which the engine may fetch parts; one that is not usable: it fetches
    //! none.
    void setPartLink( decide::PartLink link ) { m_gate.setPartLink( link ); }
    //! Takes from a gateway how long the engine stays cold, and how many prompts a second it may be
    //! sent until then.
    void noteCold( Millis left, double perS, MonoTime now ) {
        m_coldGate.noteCold( left, now );
        m_coldPerS = perS;
    }
    //! Queues the prompt of an ensure request, or answers the request at once.
    void admit( PendingEnsure ensure );
    //! Updates the estimates from the prompts and streams in the engine's report.
    void takeReport( const gateway::EngineReport& report, MonoTime now );
    //! A gateway has cancelled its ensure request, or does not use the permit or the place on
    //! return that it was given.
    void forget( std::uint64_t key );
    //! Cancels all ensure requests of a gateway that has disconnected.
    void forgetPeer( const Peer& peer );
    //! Answers all waiting ensure requests as failed: the engine is unreachable or has restarted,
    //! so neither queued prompts nor those sent before reach it.
    void failAll();
    //! The engine has unloaded a model.
    void dropModel( const std::string& model ) { m_gate.dropModel( model ); }

    //! How fast the engine reads, and its streams' time between events.
    decide::EngineSpeed speed( MonoTime now ) const { return m_speed.speed( now ); }
    Millis typicalWait( MonoTime now ) const { return m_gate.typicalWait( now ); }
    std::size_t promptsWaiting() const noexcept { return m_gate.waiting(); }
    std::size_t promptsUnreported() const noexcept { return m_gate.unreported(); }
    bool busy( MonoTime now ) const { return m_gate.busy( now ); }

private:
    void admitDue();
    void refuse( PendingEnsure ensure, decide::PromptRefusal refusal, Millis wait,
                 const decide::HeldPlace& place );
    void updateReadingLimit();

    Callbacks m_callbacks;
    net::Timer m_timer;
    PromptGate m_gate;
    decide::EventPace m_eventPace;
    decide::SpeedMeter m_speed;
    std::map<std::uint64_t, PendingEnsure> m_waiting; //!< by key
    ReturnGate m_returns{ m_gate };
    decide::ColdGate m_coldGate;
    double m_coldPerS = 0; //!< prompts a second while the engine is cold; 0: no limit
    std::int64_t m_cacheTokens = 0;
    Millis m_gapTarget{ 0 };
    bool m_readingUnlimited = false; //!< reading is not limited: streams meet the gap target anyway
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_ADMISSION_HPP_INCLUDED
