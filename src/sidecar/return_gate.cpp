// SPDX-License-Identifier: BSL-1.0
#include "sidecar/return_gate.hpp"

#include <algorithm>

namespace coursehead::sidecar {

ReturnGateAnswer ReturnGate::ask( const PromptRequest& request, MonoTime now ) {
    if( !request.returning && !leavesRoom( request, now ) ) {
        const auto wait = m_gate.typicalWait( now );
        return { false, wait, refuse( request, wait, now ) };
    }
    const auto verdict = m_gate.ask( request, now );
    if( !verdict.accepted ) {
        return { false, verdict.wait, refuse( request, verdict.wait, now ) };
    }
    return { true, {}, {} };
}

decide::HeldPlace ReturnGate::refuse( const PromptRequest& request, Millis wait, MonoTime now ) {
    const decide::RefusedPrompt refused{ request.prompt.content, request.key,
                                         request.prompt.urgency, m_gate.uncachedWorkMs( request ),
                                         wait };
    return m_places.hold( refused, now );
}

//! True unless the prompt could start in time only in the room of prompts that return.
bool ReturnGate::leavesRoom( const PromptRequest& request, MonoTime now ) const {
    const auto startAt = now + m_gate.typicalWait( now );
    const auto reservedMs = m_places.reservedMs( request.prompt.urgency, startAt );
    if( reservedMs <= 0 ) {
        return true;
    }
    const auto longest = request.prompt.mayStartLate
                             ? request.limit
                             : std::min( Millis( request.prompt.goalMs ), request.limit );
    const Millis reserved{ static_cast<std::int64_t>( reservedMs ) };
    return startAt + reserved <= request.since + longest;
}

} // namespace coursehead::sidecar
