// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_RETURN_GATE_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_RETURN_GATE_HPP_INCLUDED

#include "decide/return_places.hpp"
#include "sidecar/prompt_gate.hpp"

namespace coursehead::sidecar {

//! What the gate says about a prompt.
struct ReturnGateAnswer {
    bool accepted = false;
    Millis wait{ 0 }; //!< if not accepted: until the engine could start to read it
    decide::PromptRefusal refusal = decide::PromptRefusal::none; //!< why it is not accepted
    decide::HeldPlace place; //!< if not accepted: the time to tell, and the place held
};

//! The prompt gate with places on return: prompts that return in time find the room that new ones
//! have to leave for them.
class ReturnGate {
public:
    explicit ReturnGate( PromptGate& gate ) : m_gate( gate ) {}

    //! True if the prompt returns at the time that its client was told, see ReturnPlaces.
    decide::ReturnVerdict arrive( decide::Fingerprint content, MonoTime now ) {
        return m_places.arrive( content, now );
    }
    //! Queues a prompt, or refuses it and holds a place for its return.
    ReturnGateAnswer ask( const PromptRequest& request, MonoTime now );
    //! Holds a place for a prompt that the engine could start to read after `wait`.
    decide::HeldPlace refuse( const PromptRequest& request, Millis wait, MonoTime now );
    //! The prompt is admitted, and needs no place any more.
    void noteAdmitted( decide::Fingerprint content ) { m_places.drop( content ); }
    //! The gateway does not need the place that the answer to this ask named.
    void release( std::uint64_t key ) { m_places.release( key ); }
    //! Drops all places: the engine is lost.
    void clear() { m_places.clear(); }

private:
    bool leavesRoom( const PromptRequest& request, MonoTime now ) const;

    PromptGate& m_gate;
    decide::ReturnPlaces m_places;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_RETURN_GATE_HPP_INCLUDED
