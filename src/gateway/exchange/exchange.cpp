// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/exchange.hpp"

#include "coursehead/kernel/log.hpp"
#include "decide/fingerprint.hpp"
#include "decide/return_time.hpp"
#include "gateway/exchange/http_text.hpp"
#include "gateway/exchange/status.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Rounds of upstream choice in addition to the route's attempts, for sends that the upstreams
//! certainly did not run.
constexpr int extraRounds = 3;
//! Pause before a request is sent again after its upstream's connection broke. By then it is known
//! whether this was the third upstream that ended while it ran the request; without the pause the
//! request went on to end a fourth one.
constexpr Millis verdictPause{ 25 };
//! A body up to this size is written together with the head, in one system call.
constexpr std::size_t joinedBodyBytes = 4096;

//! The peer's IP address; empty once the connection is closed.
std::string addressOf( const net::Socket& socket ) {
    net::ErrorCode ec;
    const auto end = socket.remote_endpoint( ec );
    return ec ? std::string{} : end.address().to_string();
}

//! Event after which the client resumes its stream; -1: it begins a stream.
std::int64_t resumedAfter( const platform::RequestHead& head ) {
    return head.lastEventId ? static_cast<std::int64_t>( *head.lastEventId ) : -1;
}

//! The field that tells the length of an answer's body; none for a status that has no body. An
//! answer to HEAD has the length that its upstream states for GET.
std::string lengthFraming( const BufferedAnswer& answer, std::string_view method ) {
    if( answer.status == statusNoContent || answer.status == statusNotModified ) {
        return "";
    }
    const auto stated = answer.fields.find( http::field::content_length );
    const bool ofUpstream = method == "HEAD" && stated != answer.fields.end();
    const auto length =
        ofUpstream ? std::string( stated->value() ) : std::to_string( answer.body.size() );
    return "Content-Length: " + length + "\r\n";
}

} // namespace

void breakOffSends( SharedState& shared ) {
    shared.sendsStopped = true;
    shared.sendsBrokenOff = true;
    std::int64_t sends = 0;
    for( const auto* it : *shared.activeClients ) {
        const auto upstream = it->upstream.lock();
        if( upstream && !it->streamBegun ) {
            net::ErrorCode ec;
            upstream->socket.close( ec );
            ++sends;
        }
    }
    log::info( "sends_broken_off", { { "sends", sends } } );
}

Exchange::Exchange( SharedState& shared, ClientRequest request,
                    std::shared_ptr<ClientConnection> client, bool clientKeepsAlive )
    : m_shared( shared ), m_activeClients( shared.activeClients ), m_table( shared.table ),
      m_request( std::move( request ) ), m_client( std::move( client ) ),
      m_writer(
          std::make_shared<ClientWriter>( m_client, m_shared.readers, m_request.head.requestId ) ),
      m_keepAlive( clientKeepsAlive ) {
    m_client->writer = m_writer;
    m_activeClients->insert( m_client.get() );
    ++m_shared.inFlight;
}

Exchange::~Exchange() {
    m_writer->end();
    m_activeClients->erase( m_client.get() );
    --m_shared.inFlight;
    if( m_charged > 0 && m_runs == 0 ) {
        m_shared.quota->refund( m_organisation->name, m_charged );
    }
}

net::Task<ExchangeResult> Exchange::run() {
    ++m_shared.clientTraffic.requests;
    m_shared.metrics.count( "client_requests" );
    if( checkDisconnected( *m_client ) ) {
        ++m_shared.clientTraffic.left;
        logEnd( "client_left" );
        co_return ExchangeResult{ false };
    }
    const bool admitted = co_await admit();
    if( !admitted ) {
        co_return ExchangeResult{ m_keepAlive };
    }
    m_fingerprint = fingerprint();
    const bool refused = co_await refuseQuarantined();
    if( refused ) {
        co_return ExchangeResult{ m_keepAlive };
    }
    const bool known = co_await findOrigin();
    if( !known ) {
        co_return ExchangeResult{ m_keepAlive };
    }
    const bool charged = co_await charge();
    if( !charged ) {
        co_return ExchangeResult{ m_keepAlive };
    }
    m_clientTimeouts = clientTimeoutsOf( *m_route, m_request.head.deadline );
    if( m_request.head.generation ) {
        m_prefix = prefixKeys( *m_request.head.generation );
        m_need.generation = &*m_request.head.generation;
        m_need.prefix = m_prefix;
    }
    m_need.service = m_service;
    m_need.allowedRegions.route = m_route->homeRegions;
    if( m_organisation != nullptr ) {
        m_need.allowedRegions.organisation = m_organisation->homeRegions;
    }
    m_need.goal = m_route->goal;
    m_need.requestBytes = m_request.body->size();
    m_writer->setDeadline( m_deadline );
    m_lastEvent = m_request.head.lastEventId;
    co_await forward();
    if( !m_answered && !m_client->disconnected && !m_client->broken ) {
        co_await answerFailure();
    }
    const auto now = MonoClock::now();
    const auto spent = static_cast<double>( millisBetween( m_request.arrived, now ) );
    m_shared.metrics.observe( metrics::Series::request, m_route->name, m_service, spent );
    logEnd( m_client->disconnected ? "client_left" : m_answered ? "answered" : "cut" );
    co_return ExchangeResult{ m_keepAlive && m_answered };
}

decide::Fingerprint Exchange::fingerprint() const {
    decide::RequestContent content;
    if( m_organisation != nullptr ) {
        content.organisation = m_organisation->name;
    }
    const auto host = m_request.fields[http::field::host];
    content.method = m_request.method;
    content.host = { host.data(), host.size() };
    content.target = m_request.target;
    content.body = *m_request.body;
    return decide::fingerprintOf( content );
}

net::Task<> Exchange::forward() {
    bool demandCounted = false;
    for( int round = 0; round < m_route->attempts + extraRounds; ++round ) {
        auto now = MonoClock::now();
        if( checkDisconnected( *m_client ) || m_shared.sendsStopped || !hasTimeLeft( now ) ) {
            break;
        }
        m_need.firstEvent = firstEventLimits( now );
        auto choice = m_shared.fleet.choose( m_need, m_excluded, now );
        noteAvoidedLoad( choice, now );
        if( !choice.node ) {
            noteNoUpstream( choice );
            break;
        }
        if( !demandCounted ) {
            demandCounted = true;
            decide::earnRetry( retryBudget(), retryShare(), now );
            m_shared.fleet.countDemand( m_need, choice );
        }
        // The limit's permit comes first: a sidecar might load an adapter for a request that the
        // limit does not allow.
        bool hasLimitPermit = co_await obtainLimitPermit( choice );
        auto next = PrepareResult::send;
        if( hasLimitPermit ) {
            next = co_await prepare( choice );
        }
        if( next == PrepareResult::giveUp ) {
            break;
        }
        if( next == PrepareResult::chooseAgain ) {
            dropPermits();
            --round;
            continue;
        }
        if( next == PrepareResult::chooseAnother ) {
            dropPermits();
            m_excluded.insert( choice.node->upstream.id );
            continue;
        }
        if( hasLimitPermit ) {
            hasLimitPermit = co_await renewLimitPermit( choice );
        }
        if( !hasLimitPermit ) {
            // The load from other gateways is unknown, so this upstream was asked once and is now
            // excluded. This does not count as a round.
            dropPermits();
            m_excluded.insert( choice.node->upstream.id );
            --round;
            continue;
        }
        now = MonoClock::now();
        if( m_client->disconnected || m_shared.sendsStopped || !hasTimeLeft( now ) ||
            !contentMayBeSent() ) {
            break;
        }
        if( !choice.node->isAvailable( now ) ) {
            dropPermits();
            m_excluded.insert( choice.node->upstream.id );
            continue;
        }
        if( m_sends > 0 && !takeRetry( now ) ) {
            break;
        }
        const auto sent = co_await sendTo( choice.node, choice );
        dropPermits();
        if( sent.end == SendOutcome::answered || sent.end == SendOutcome::streamed ||
            sent.end == SendOutcome::stopped || !mayRetry( sent ) ) {
            break;
        }
        m_excluded.insert( choice.node->upstream.id );
        if( sent.connectionBroke ) {
            co_await net::pause( m_shared.context, verdictPause );
        }
    }
    if( m_answer && !m_answered && !m_headSent && !m_client->disconnected ) {
        BufferedAnswer answer = std::move( *m_answer );
        co_await sendBufferedAnswer( std::move( answer ) );
    }
}

decide::RetryBudget& Exchange::retryBudget() {
    // The slack is divided by the number of gateways, which a process may not know earlier.
    const auto slackFrom = m_shared.started + m_shared.bounds.contact;
    return m_shared.retries
        .try_emplace( m_service, decide::RetryBudget{ .earnedUntil = slackFrom } )
        .first->second;
}

decide::RetryShare Exchange::retryShare() const {
    const auto& bounds = m_shared.bounds;
    const decide::RetryBound bound{ bounds.retryRatio, bounds.retrySlack, bounds.retryWindow };
    return decide::retryShare( bound, m_shared.fleet.retryingGateways() );
}

bool Exchange::takeRetry( MonoTime now ) {
    const auto share = retryShare();
    const auto decision = decide::takeRetry( retryBudget(), share, m_shared.random.unit(), now );
    m_shared.metrics.count( decision.granted ? "retries" : "retries_denied" );
    log::info( "retry",
               { { "id", m_request.head.requestId },
                 { "service", m_service },
                 { "outcome", decision.granted ? "granted" : "denied" },
                 { "sends", static_cast<std::int64_t>( m_sends ) },
                 { "balance", log::decimal( decision.balance ) },
                 { "max_balance", log::decimal( share.maxBalance ) },
                 { "gateways", static_cast<std::int64_t>( m_shared.fleet.retryingGateways() ) },
                 { "process_age_ms", millisBetween( m_shared.started, now ) } } );
    return decision.granted;
}

void Exchange::noteNoUpstream( const Choice& choice ) {
    if( choice.unavailableFor.count() > 0 ) {
        m_lastFailure =
            choice.atLimit ? "upstreams are at their limits" : "upstreams asked for a back-off";
        m_retryAfter = choice.unavailableFor;
    } else if( choice.candidates == 0 && m_excluded.empty() ) {
        m_versionGone = m_need.softwareVersion &&
                        !m_shared.fleet.listsVersion( m_service, *m_need.softwareVersion );
        m_lastFailure =
            m_versionGone ? "no upstream of the stream's software version" : "no upstream";
    }
}

bool Exchange::mayRetry( const SendResult& sent ) {
    m_lastFailure = sent.failure;
    if( sent.end == SendOutcome::notRun ) {
        return true;
    }
    m_mayHaveRun = true;
    const bool continues = m_route->resumable && !m_versionUnknown;
    const bool again = sent.end == SendOutcome::streamCut ? continues : m_route->idempotent();
    return again && m_runs < m_route->attempts;
}

net::Task<> Exchange::sendBufferedAnswer( BufferedAnswer answer ) {
    m_status = answer.status;
    m_request.body.reset(); // nothing sends it again
    const auto framing = lengthFraming( answer, m_request.method );
    if( m_request.method == "HEAD" ) {
        answer.body.clear();
    }
    std::string bytes =
        answerHeadText( answer.status, answer.reason, answer.fields, framing, keepsAlive() );
    m_shared.linkUse.noteSent( bytes.size() + answer.body.size() );
    if( answer.body.size() <= joinedBodyBytes ) {
        bytes += answer.body;
        answer.body.clear();
    }
    m_writer->write( std::move( bytes ) );
    m_writer->write( std::move( answer.body ) );
    m_answered = co_await m_writer->drained();
}

net::Task<> Exchange::sendOwnAnswer( unsigned status, std::string reason, Millis retryAfter ) {
    BufferedAnswer answer;
    answer.status = status;
    answer.madeByGateway = true;
    answer.fields.set( http::field::content_type, "text/plain" );
    if( status == statusUnauthorized ) {
        answer.fields.set( http::field::www_authenticate, keyChallenge );
    }
    if( retryAfter.count() > 0 ) {
        answer.fields.set( http::field::retry_after, platform::retryAfterText( retryAfter ) );
    }
    answer.body = reason + "\n";
    m_shared.metrics.count( "own_answers", std::to_string( status ) );
    log::info( "own_answer", { { "id", m_request.head.requestId },
                               { "status", static_cast<std::int64_t>( status ) },
                               { "why", reason },
                               { "retry_after_ms", retryAfter.count() } } );
    co_await sendBufferedAnswer( std::move( answer ) );
}

net::Task<> Exchange::answerFailure() {
    if( m_headSent ) {
        co_await m_writer->drained();
        // Part of a stream was written: only closing the connection shows the client that the
        // stream is incomplete.
        m_keepAlive = false;
        net::ErrorCode ec;
        m_client->socket.close( ec );
        co_return;
    }
    const bool late = !hasTimeLeft( MonoClock::now() + answerMargin );
    std::string reason = m_lastFailure.empty() ? "out of time" : m_lastFailure;
    if( !m_mayHaveRun ) {
        co_await answerNotRun( std::move( reason ) );
        co_return;
    }
    co_await sendOwnAnswer( late ? statusGatewayTimeout : statusBadGateway, std::move( reason ),
                            Millis{ 0 } );
}

std::optional<Millis> Exchange::timeOfReturn() {
    const auto now = MonoClock::now();
    const auto left = remaining( now, m_deadline );
    if( m_returnPlace ) {
        const decide::RefusalTimes place{ remaining( now, m_returnPlace->at() ), left,
                                          m_returnPlace->held() };
        if( const auto told = decide::returnTime( place, m_shared.random.unit() ) ) {
            m_returnPlace->keep();
            return told;
        }
    }
    const decide::RefusalTimes earliest{ remaining( now, *m_returnAt ), left, std::nullopt };
    return decide::returnTime( earliest, m_shared.random.unit() );
}

net::Task<> Exchange::answerNotRun( std::string reason ) {
    m_shared.metrics.count( "requests_refused", m_refusal );
    if( m_versionGone ) {
        // Nothing tells whether the version will be back.
        co_await sendOwnAnswer( statusUnavailable, std::move( reason ), Millis{ 0 } );
        co_return;
    }
    if( !m_returnAt ) {
        const auto after = m_retryAfter.count() > 0 ? m_retryAfter : defaultRetryAfter;
        co_await sendOwnAnswer( statusUnavailable, std::move( reason ), after );
        co_return;
    }
    auto told = timeOfReturn();
    if( !told ) {
        // The client would not wait that long; the time is still the true one.
        reason += ", and no engine can serve it in the time left";
        told = std::max( remaining( MonoClock::now(), *m_returnAt ), defaultRetryAfter );
    }
    co_await sendOwnAnswer( statusUnavailable, std::move( reason ), *told );
}

void Exchange::logEnd( std::string_view outcome ) const {
    const auto now = MonoClock::now();
    log::info( "request_end",
               { { "id", m_request.head.requestId },
                 { "route", m_route != nullptr ? m_route->name : "" },
                 { "organisation", m_organisation ? m_organisation->name : "" },
                 { "fingerprint", decide::fingerprintText( m_fingerprint ) },
                 { "parts", decide::fingerprintList( m_request.head.sharedParts ) },
                 { "framing", m_framing },
                 { "client", addressOf( m_client->socket ) },
                 { "outcome", outcome },
                 { "status", static_cast<std::int64_t>( m_status ) },
                 { "began_as", m_request.head.streamBeganAs },
                 { "resumed_after", resumedAfter( m_request.head ) },
                 { "last_event", m_lastEvent ? static_cast<std::int64_t>( *m_lastEvent ) : -1 },
                 { "first_version", m_firstVersion },
                 { "last_version", m_lastVersion },
                 { "sends", static_cast<std::int64_t>( m_sends ) },
                 { "first_event_ms", m_timeToFirstEvent ? m_timeToFirstEvent->count() : -1 },
                 { "expected_ms", static_cast<std::int64_t>( m_expectedMs ) },
                 { "longest_pause_ms", m_longestPause.count() },
                 { "took_ms", millisBetween( m_request.arrived, now ) } } );
}

} // namespace coursehead::gateway
