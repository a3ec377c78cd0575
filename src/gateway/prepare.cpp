// SPDX-License-Identifier: BSL-1.0
// What a request needs at the upstream that was chosen for it, before it is sent there.
#include "coursehead/kernel/log.hpp"
#include "gateway/exchange.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Engines that are asked for room before the goal; then a late answer is better than none. Each
//! question costs a round trip, and the next engine is a worse one.
constexpr int inTimeAsks = 2;
//! Until a sidecar that was not connected to has spoken; it takes some milliseconds.
constexpr Millis openLimit{ 150 };
//! Pause until it is looked again whether an upstream that was in a back-off takes one more.
constexpr Millis turnLook{ 25 };
//! Leave to send to an upstream with a limit is used within this, or asked for anew.
constexpr Millis roomLife{ 250 };
//! Pause until the weight store's rate is asked for again.
constexpr Millis storePoll{ 150 };

} // namespace

net::Task<Exchange::Next> Exchange::prepare( Choice& choice ) {
    if( !choice.node->slowStart.admits( choice.node->inFlight ) ) {
        co_return co_await waitForTurn( choice );
    }
    if( m_need.generation == nullptr || !choice.node->engine ) {
        co_return sendUnasked( *choice.node );
    }
    const auto now = MonoClock::now();
    const auto link = choice.node->sidecar;
    if( link && link->reachabilityUnknown( now ) && timeLeft( now ) ) {
        const bool reached = co_await link->waitUntilOpen( openLimit );
        if( reached ) {
            co_return Next::again;
        }
    }
    const bool holds = choice.holdsModel && choice.holdsAdapter;
    if( !holds && choice.node->awaitsFirstReport( now ) && timeLeft( now ) ) {
        co_await net::pause( m_shared.context, startLook );
        co_return Next::again;
    }
    if( !holds && tooLateThere( choice, now ) ) {
        co_return Next::stop;
    }
    if( choice.node->sidecarAdmitsPrompts( now ) ) {
        co_return co_await askSidecar( choice );
    }
    // Without a sidecar nobody orders loads there, and this gateway keeps its own budget.
    const auto wait = paceWait( choice, now );
    if( holds && wait.count() > 0 ) {
        co_await net::pause( m_shared.context, wait );
        co_return Next::again;
    }
    m_lastFailure = holds ? m_lastFailure : "model not ready";
    co_return holds ? sendUnasked( *choice.node ) : Next::elsewhere;
}

//! Where nobody beside the upstream counts for all gateways, each has its part of what a cold one
//! bears. Half of it: parts that each let through by itself come together now and then.
Exchange::Next Exchange::sendUnasked( Node& node ) {
    constexpr double unaskedPart = 0.5;
    const auto now = MonoClock::now();
    const auto share = unaskedPart * node.coldPerS / std::max( m_shared.fleet.gateways(), 1 );
    const auto wait = node.cold.wait( share, now );
    if( wait.count() > 0 ) {
        m_lastFailure = "upstreams are cold";
        m_retryAfter = std::max( m_retryAfter, std::min( wait, modelRetryAfter ) );
        return Next::elsewhere;
    }
    if( node.cold.isCold( now ) ) {
        node.cold.take( now );
    }
    return Next::send;
}

net::Task<bool> Exchange::obtainRoom( const Choice& choice ) {
    const bool limited = m_shared.limits != nullptr && choice.node->limit.known.perS();
    if( !limited ) {
        co_return true;
    }
    const auto asked = MonoClock::now();
    NodePtr node = choice.node;
    const auto decision = co_await m_shared.limits->obtain( std::move( node ) );
    log::info( "limit_ask",
               { { "id", m_request.head.requestId },
                 { "upstream", choice.node->upstream.id },
                 { "limit_per_s", log::decimal( choice.node->limit.known.perS().value_or( -1 ) ) },
                 { "outcome", decide::nameOf( decision.outcome ) },
                 { "wait_ms", decision.wait.count() },
                 { "took_ms", millisBetween( asked, MonoClock::now() ) } } );
    if( decision.outcome == decide::LimitOutcome::granted ) {
        m_room.emplace( *m_shared.limits, choice.node );
    }
    m_roomAt = MonoClock::now();
    co_return decision.maySend();
}

//! What is granted is to arrive at the pace at which it is granted: requests that have waited for
//! the same load would come together.
net::Task<bool> Exchange::renewRoom( const Choice& choice ) {
    const bool limited = choice.node->limit.known.perS().has_value();
    if( !limited || MonoClock::now() - m_roomAt <= roomLife ) {
        co_return true;
    }
    m_room.reset();
    co_return co_await obtainRoom( choice );
}

void Exchange::dropLeaves() {
    m_leave.reset();
    m_room.reset();
}

net::Task<Exchange::Next> Exchange::waitForTurn( const Choice& choice ) {
    if( MonoClock::now() + turnLook > waitLimit( choice ) ) {
        m_lastFailure = "upstreams are back from a back-off, and busy";
        m_retryAfter = defaultRetryAfter;
        co_return Next::stop;
    }
    co_await net::pause( m_shared.context, turnLook );
    co_return Next::again;
}

EnsureRequest Exchange::question( const Choice& choice, MonoTime now ) const {
    const auto& generation = *m_need.generation;
    const Millis work{ static_cast<std::int64_t>( choice.workMs ) };
    const auto goalEnd = m_request.arrived + maxWaitBeforeSend( { m_route->goal, {}, {} }, work );
    const auto lastEnd = std::min( m_deadline, waitLimit( choice ) );
    EnsureRequest out;
    out.model = generation.model;
    out.adapter = generation.adapter;
    out.prompt = m_shared.fleet.describePrompt( m_need );
    out.prompt.goalMs = remaining( now, goalEnd ).count();
    // Where something has to be loaded first, or others had no room, late is better than never.
    out.prompt.late = !choice.holdsModel || m_refusals >= inTimeAsks || out.prompt.goalMs == 0;
    out.limitMs = remaining( now, out.prompt.late ? lastEnd : goalEnd ).count();
    return out;
}

net::Task<Exchange::Next> Exchange::askSidecar( Choice& choice ) {
    const auto asked = MonoClock::now();
    auto request = question( choice, asked );
    const bool late = request.prompt.late;
    NodePtr node = choice.node;
    const auto answer = co_await m_shared.fleet.ensure( std::move( node ), std::move( request ) );
    logAsk( choice, answer, asked );
    const auto next = followAnswer( choice, answer, late );
    if( answer.outcome == EnsureOutcome::needsWeightStore ) {
        // Nobody has the model nearer: the weight store's rate lets it in before long.
        co_await net::pause( m_shared.context, storePoll );
    }
    co_return next;
}

Exchange::Next Exchange::followAnswer( Choice& choice, const EnsureAnswer& answer, bool late ) {
    switch( answer.outcome ) {
    case EnsureOutcome::ready:
        m_leave.emplace( choice.node, answer );
        choice.workMs = answer.workMs;
        choice.unqueued = choice.unqueued && answer.waitMs <= answer.workMs;
        return Next::send;
    case EnsureOutcome::needsWeightStore:
        m_lastFailure = "model not ready";
        m_retryAfter = modelRetryAfter;
        return Next::again;
    case EnsureOutcome::tooLate:
        ++m_refusals;
        m_lastFailure = "engines are busy";
        m_retryAfter = std::max( Millis( answer.waitMs ), defaultRetryAfter );
        return late ? Next::stop : Next::again;
    case EnsureOutcome::noCapacity:
    case EnsureOutcome::failed:
        break;
    }
    m_lastFailure = "model not ready";
    m_retryAfter = modelRetryAfter;
    return Next::elsewhere;
}

void Exchange::logAsk( const Choice& choice, const EnsureAnswer& answer, MonoTime since ) const {
    const auto took = millisBetween( since, MonoClock::now() );
    log::info( "ask", { { "id", m_request.head.requestId },
                        { "upstream", choice.node->upstream.id },
                        { "model", m_need.generation->model },
                        { "adapter", m_need.generation->adapter },
                        { "held", choice.holdsModel && choice.holdsAdapter ? "yes" : "no" },
                        { "outcome", nameOf( answer.outcome ) },
                        { "wait_ms", answer.waitMs },
                        { "work_ms", static_cast<std::int64_t>( answer.workMs ) },
                        { "took_ms", took } } );
}

Millis Exchange::paceWait( const Choice& choice, MonoTime now ) const {
    // Looked at again soon: another upstream may have become the better one.
    constexpr Millis look{ 25 };
    const Millis work{ static_cast<std::int64_t>( choice.workMs ) };
    const auto latest = m_request.arrived + maxWaitBeforeSend( { m_route->goal, {}, {} }, work );
    if( choice.sendDelayMs <= 0 || now >= latest ) {
        return Millis{ 0 };
    }
    return std::min( { Millis( static_cast<std::int64_t>( choice.sendDelayMs ) ), look,
                       remaining( now, latest ) } );
}

MonoTime Exchange::waitLimit( const Choice& choice ) const {
    const Millis work{ static_cast<std::int64_t>( choice.workMs ) };
    return m_request.arrived + maxWaitBeforeSend( m_patience, work );
}

bool Exchange::tooLateThere( const Choice& choice, MonoTime now ) {
    const Millis load{ static_cast<std::int64_t>( choice.loadMs ) };
    if( now + load <= waitLimit( choice ) ) {
        return false;
    }
    // The client would leave before the load is done. Told so at once it can be back when it is:
    // the load begins now, for it and for others.
    m_lastFailure = "model not ready";
    m_retryAfter = std::max( load, defaultRetryAfter );
    if( !choice.holdsModel ) {
        m_shared.fleet.startLoad( choice.node, m_request.head.generation->model );
    }
    return true;
}

} // namespace coursehead::gateway
