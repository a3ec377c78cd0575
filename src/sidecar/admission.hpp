// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_ADMISSION_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_ADMISSION_HPP_INCLUDED

#include "decide/cold_gate.hpp"
#include "decide/event_pace.hpp"
#include "net/net.hpp"
#include "sidecar/prompt_gate.hpp"
#include "sidecar/question.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace coursehead::sidecar {

//! Questions whose model and adapter are there, until their prompts may be sent: the prompt gate
//! with a timer and the answers.
class Admission {
public:
    //! What the sidecar does for it.
    struct Callbacks {
        std::function<bool( const RequiredModel& required )> isResident;
        std::function<void( const PendingEnsure& ensure, gateway::EnsureOutcome outcome,
                            Millis wait, double workMs )>
            answer;
        std::function<void( PendingEnsure ensure )> notResident;     //!< what it needs has made way
        std::function<void( const PendingEnsure& ensure )> admitted; //!< it gets leave now
    };

    Admission( net::asio::io_context& context, Callbacks host );

    void setEngine( std::int64_t cacheTokens, Millis gapTarget );
    //! What a gateway knows of the engine's coldness, and what it is sent meanwhile.
    void noteCold( Millis left, double perS, MonoTime now ) {
        m_cold.noteCold( left, now );
        m_coldPerS = perS;
    }
    //! Queues a question's prompt, or answers at once.
    void admit( PendingEnsure ensure );
    //! What the engine's report says of its prompts and streams.
    void takeReport( const gateway::EngineReport& report, MonoTime now );
    //! A gateway has no use for the answer, or for the leave that it was given.
    void forget( std::uint64_t key );
    //! A gateway has gone.
    void forgetPeer( const Peer& peer );
    //! The engine is lost or another one: nothing that waits or was sent reaches it.
    void failAll();
    //! The engine has dropped a model.
    void dropModel( const std::string& model ) { m_gate.dropModel( model ); }

    Millis usualWait( MonoTime now ) const { return m_gate.usualWait( now ); }
    bool busy( MonoTime now ) const { return m_gate.busy( now ); }

private:
    void letThrough();
    void limitReading();

    Callbacks m_host;
    net::Timer m_timer;
    PromptGate m_gate;
    decide::EventPace m_eventPace;
    std::map<std::uint64_t, PendingEnsure> m_waiting; //!< by key
    decide::ColdGate m_cold;
    double m_coldPerS = 0; //!< prompts a second while it is cold; 0: no rule
    std::int64_t m_cacheTokens = 0;
    Millis m_gapTarget{ 0 };
    bool m_readsFreely = false; //!< streams are in time however much is read
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_ADMISSION_HPP_INCLUDED
