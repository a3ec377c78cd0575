// SPDX-License-Identifier: BSL-1.0
// Preparation of a send to the chosen upstream: sidecar connection, model, admission and permits.
#include "coursehead/kernel/log.hpp"
#include "gateway/exchange/exchange.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Number of sidecars that are asked to admit the prompt within the goal; the next one may admit it
//! later, because a late answer is better than none. Each request costs a round trip, and each
//! further engine is a worse choice.
constexpr int maxInTimeRequests = 2;
//! Timeout for the connection to a sidecar and its first message; they take some milliseconds.
constexpr Millis sidecarConnectTimeout{ 150 };
//! Interval at which a request checks again whether the slow start after a back-off allows the
//! upstream one more request.
constexpr Millis slowStartPollInterval{ 25 };
//! How long a permit under an upstream's limit may be used; after that a new one is obtained.
constexpr Millis limitPermitLifetime{ 250 };
//! Pause before the next request for a load from the rate-limited weight store.
constexpr Millis storePollInterval{ 150 };

} // namespace

net::Task<Exchange::PrepareResult> Exchange::prepare( Choice& choice ) {
    if( !choice.node->slowStart.admits( choice.node->inFlight ) ) {
        co_return co_await waitForSlowStart( choice );
    }
    if( m_need.generation == nullptr || !choice.node->engine ) {
        co_return admitWithoutSidecar( *choice.node );
    }
    const auto now = MonoClock::now();
    const auto link = choice.node->sidecar;
    if( link && link->reachabilityUnknown( now ) && hasTimeLeft( now ) ) {
        const bool reached = co_await link->waitUntilOpen( sidecarConnectTimeout );
        if( reached ) {
            co_return PrepareResult::chooseAgain;
        }
    }
    const bool holds = choice.holdsModel && choice.holdsAdapter;
    if( !holds && choice.node->awaitsFirstReport( now ) && hasTimeLeft( now ) ) {
        co_await net::pause( m_shared.context, startPollInterval );
        co_return PrepareResult::chooseAgain;
    }
    if( !holds && loadTooLate( choice, now ) ) {
        co_return PrepareResult::giveUp;
    }
    if( choice.node->sidecarAdmitsPrompts( now ) ) {
        co_return co_await requestAdmission( choice );
    }
    // Without a sidecar no load can be ordered, and this gateway limits prompt reading by its own
    // budget.
    const auto wait = pacingDelay( choice, now );
    if( holds && wait.count() > 0 ) {
        co_await net::pause( m_shared.context, wait );
        co_return PrepareResult::chooseAgain;
    }
    m_lastFailure = holds ? m_lastFailure : "model not ready";
    co_return holds ? admitWithoutSidecar( *choice.node ) : PrepareResult::chooseAnother;
}

//! Without a sidecar that counts the requests of all gateways, each gateway has an equal share of
//! the rate that a cold upstream can serve. Only half of the share is used, because requests that
//! the gateways admit independently sometimes arrive together.
Exchange::PrepareResult Exchange::admitWithoutSidecar( Node& node ) {
    constexpr double unsupervisedShare = 0.5;
    const auto now = MonoClock::now();
    const auto share = unsupervisedShare * node.coldPerS / std::max( m_shared.fleet.gateways(), 1 );
    const auto wait = node.cold.wait( share, now );
    if( wait.count() > 0 ) {
        m_lastFailure = "upstreams are cold";
        m_retryAfter = std::max( m_retryAfter, std::min( wait, modelRetryAfter ) );
        return PrepareResult::chooseAnother;
    }
    if( node.cold.isCold( now ) ) {
        node.cold.take( now );
    }
    return PrepareResult::send;
}

net::Task<bool> Exchange::obtainLimitPermit( const Choice& choice ) {
    const bool limited = m_shared.limits != nullptr && choice.node->limit.known.perS();
    if( !limited ) {
        co_return true;
    }
    const auto requestedAt = MonoClock::now();
    NodePtr node = choice.node;
    const auto decision = co_await m_shared.limits->obtain( std::move( node ) );
    log::info( "limit_ask",
               { { "id", m_request.head.requestId },
                 { "upstream", choice.node->upstream.id },
                 { "limit_per_s", log::decimal( choice.node->limit.known.perS().value_or( -1 ) ) },
                 { "outcome", decide::nameOf( decision.outcome ) },
                 { "wait_ms", decision.wait.count() },
                 { "took_ms", millisBetween( requestedAt, MonoClock::now() ) } } );
    if( decision.outcome == decide::LimitOutcome::granted ) {
        m_limitPermit.emplace( *m_shared.limits, choice.node );
    }
    m_limitPermitAt = MonoClock::now();
    co_return decision.maySend();
}

//! Requests must arrive at the rate at which their permits are granted. Requests that have waited
//! for the same load with old permits would arrive together.
net::Task<bool> Exchange::renewLimitPermit( const Choice& choice ) {
    const bool limited = choice.node->limit.known.perS().has_value();
    if( !limited || MonoClock::now() - m_limitPermitAt <= limitPermitLifetime ) {
        co_return true;
    }
    m_limitPermit.reset();
    co_return co_await obtainLimitPermit( choice );
}

void Exchange::dropPermits() {
    m_promptPermit.reset();
    m_limitPermit.reset();
    m_fetchFrom.clear();
    m_startConfirmed = true;
}

net::Task<Exchange::PrepareResult> Exchange::waitForSlowStart( const Choice& choice ) {
    if( MonoClock::now() + slowStartPollInterval > sendWindowFor( choice ).latest ) {
        m_lastFailure = "upstreams are back from a back-off, and busy";
        m_retryAfter = defaultRetryAfter;
        co_return PrepareResult::giveUp;
    }
    co_await net::pause( m_shared.context, slowStartPollInterval );
    co_return PrepareResult::chooseAgain;
}

EnsureRequest Exchange::admissionRequest( const Choice& choice, MonoTime now ) const {
    const auto& generation = *m_need.generation;
    const auto window = sendWindowFor( choice );
    EnsureRequest out;
    out.model = generation.model;
    out.adapter = generation.adapter;
    out.prompt = m_shared.fleet.describePrompt( m_need );
    m_shared.fleet.addPartSource( out.prompt, choice, m_need, m_excluded, now );
    out.prompt.route = m_route->name;
    out.prompt.organisation = m_organisation != nullptr ? m_organisation->name : "";
    out.prompt.urgency = urgency();
    out.prompt.content = m_fingerprint;
    out.prompt.goalMs = remaining( now, window.goalEnd ).count();
    // The prompt may be admitted after the goal if its model has to be loaded first, if other
    // sidecars could not admit it in time, if the goal has passed, or if the answer continues one
    // that the client has begun to receive.
    out.prompt.mayStartLate = !choice.holdsModel || m_headSent ||
                              m_sidecarRefusals >= maxInTimeRequests || out.prompt.goalMs == 0;
    out.limitMs =
        remaining( now, out.prompt.mayStartLate ? window.latest : window.goalEnd ).count();
    return out;
}

net::Task<Exchange::PrepareResult> Exchange::requestAdmission( Choice& choice ) {
    const auto requestedAt = MonoClock::now();
    auto request = admissionRequest( choice, requestedAt );
    const bool late = request.prompt.mayStartLate;
    const auto cachedAt = request.prompt.cachedAt;
    // A place would keep room from others while this request waits elsewhere.
    m_returnPlace.reset();
    NodePtr node = choice.node;
    const auto answer = co_await m_shared.fleet.ensure( std::move( node ), std::move( request ) );
    logAdmission( choice, answer, requestedAt );
    m_fetchFrom = answer.fetchParts ? cachedAt : "";
    const auto next = applyAdmissionAnswer( choice, answer, late );
    if( answer.outcome == EnsureOutcome::needsWeightStore ) {
        // No other engine has a copy of the model: wait until the weight store's rate allows the
        // load.
        co_await net::pause( m_shared.context, storePollInterval );
    }
    co_return next;
}

Exchange::PrepareResult Exchange::applyAdmissionAnswer( Choice& choice, const EnsureAnswer& answer,
                                                        bool late ) {
    switch( answer.outcome ) {
    case EnsureOutcome::ready:
        m_promptPermit.emplace( choice.node, answer );
        m_startConfirmed = mayBeSameStart( answer.born, choice.node->upstream.born );
        if( m_need.softwareVersion && !m_startConfirmed ) {
            m_lastFailure = "the upstream has started again";
            return PrepareResult::chooseAnother;
        }
        choice.workMs = answer.workMs;
        // The first event of a prompt whose parts are copied does not show how fast they are read.
        choice.unqueued = choice.unqueued && !answer.fetchParts && answer.waitMs <= answer.workMs;
        return PrepareResult::send;
    case EnsureOutcome::needsWeightStore:
        m_lastFailure = "model not ready";
        m_retryAfter = modelRetryAfter;
        return PrepareResult::chooseAgain;
    case EnsureOutcome::tooLate:
        ++m_sidecarRefusals;
        m_lastFailure = "engines are busy";
        m_refusal =
            answer.refusal == decide::PromptRefusal::none ? "busy" : nameOf( answer.refusal );
        noteReturn( choice, answer, MonoClock::now() );
        if( m_headSent ) {
            // Only another engine can complete the answer that its client has begun to receive.
            return PrepareResult::chooseAnother;
        }
        return late ? PrepareResult::giveUp : PrepareResult::chooseAgain;
    case EnsureOutcome::noCapacity:
    case EnsureOutcome::failed:
        break;
    }
    m_lastFailure = "model not ready";
    m_refusal = "load";
    m_retryAfter = modelRetryAfter;
    if( answer.waitMs > 0 ) {
        noteReturn( choice, answer, MonoClock::now() );
    }
    return PrepareResult::chooseAnother;
}

void Exchange::noteReturn( const Choice& choice, const EnsureAnswer& answer, MonoTime now ) {
    // A sidecar of the version before states no time of return.
    const auto at = now + Millis( std::max( answer.waitMs, answer.returnInMs ) );
    m_returnAt = std::min( m_returnAt.value_or( at ), at );
    if( answer.placeHeldMs > 0 ) {
        m_returnPlace.emplace( choice.node, answer, at );
    }
}

decide::FirstEventLimits Exchange::firstEventLimits( MonoTime now ) const {
    const auto window = sendWindowFor( Millis{ 0 } );
    return { static_cast<double>( remaining( now, window.goalEnd ).count() ),
             static_cast<double>( remaining( now, window.latest ).count() ) };
}

void Exchange::noteAvoidedLoad( const Choice& choice, MonoTime now ) {
    if( !choice.avoidedLoad || !choice.node ) {
        return;
    }
    const auto& model = m_need.generation->model;
    if( !m_loadAvoided ) {
        m_loadAvoided = true;
        m_shared.metrics.count( "load_waits_avoided" );
        log::info( "load_avoided",
                   { { "id", m_request.head.requestId },
                     { "model", model },
                     { "upstream", choice.node->upstream.id },
                     { "holder_ms", static_cast<std::int64_t>( choice.expectedMs ) },
                     { "load_ms", static_cast<std::int64_t>( choice.avoidedLoadMs ) },
                     { "goal_left_ms", static_cast<std::int64_t>( m_need.firstEvent->goalMs ) } } );
    }
    m_shared.fleet.loadForNext( choice.avoidedLoad, model, choice.avoidedLoadMs, now );
}

void Exchange::logAdmission( const Choice& choice, const EnsureAnswer& answer,
                             MonoTime since ) const {
    const auto took = millisBetween( since, MonoClock::now() );
    log::info( "ask", { { "id", m_request.head.requestId },
                        { "upstream", choice.node->upstream.id },
                        { "model", m_need.generation->model },
                        { "adapter", m_need.generation->adapter },
                        { "held", choice.holdsModel && choice.holdsAdapter ? "yes" : "no" },
                        { "outcome", nameOf( answer.outcome ) },
                        { "wait_ms", answer.waitMs },
                        { "work_ms", static_cast<std::int64_t>( answer.workMs ) },
                        { "took_ms", took },
                        { "return_ms", answer.returnInMs },
                        { "place_ms", answer.placeHeldMs } } );
}

Millis Exchange::pacingDelay( const Choice& choice, MonoTime now ) const {
    // The delay is cut into short pauses: another upstream may become the better choice meanwhile.
    constexpr Millis maxPacingDelay{ 25 };
    const auto latest = sendWindowFor( choice ).goalEnd;
    if( choice.sendDelayMs <= 0 || now >= latest ) {
        return Millis{ 0 };
    }
    return std::min( { Millis( static_cast<std::int64_t>( choice.sendDelayMs ) ), maxPacingDelay,
                       remaining( now, latest ) } );
}

SendWindow Exchange::sendWindowFor( const Choice& choice ) const {
    return sendWindowFor( Millis{ static_cast<std::int64_t>( choice.readingMs() ) } );
}

SendWindow Exchange::sendWindowFor( Millis work ) const {
    RequestProgress progress{ m_request.arrived, m_deadline, std::nullopt };
    if( m_headSent ) {
        progress.lastEvent = m_lastEventAt;
    }
    return sendWindow( *m_route, m_clientTimeouts, progress, work );
}

bool Exchange::loadTooLate( const Choice& choice, MonoTime now ) {
    const Millis load{ static_cast<std::int64_t>( choice.loadMs ) };
    if( now + load <= sendWindowFor( choice ).latest ) {
        return false;
    }
    // The client would disconnect before the load is done. It is refused at once and can retry when
    // the load is done, which starts now for this client and others.
    m_lastFailure = "model not ready";
    m_refusal = "load";
    m_shared.metrics.count( "refusals_foreseen", "load" );
    EnsureAnswer foreseen;
    foreseen.waitMs = load.count();
    noteReturn( choice, foreseen, now );
    const auto& model = m_request.head.generation->model;
    if( !choice.holdsModel && !m_shared.fleet.loadUnderWay( model ) ) {
        m_shared.fleet.startLoad( choice.node, model );
    }
    return true;
}

} // namespace coursehead::gateway
