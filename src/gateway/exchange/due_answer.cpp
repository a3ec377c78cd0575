// SPDX-License-Identifier: BSL-1.0
// Finds the answer to a request among those that its upstream sends on the connection.
#include "coursehead/kernel/log.hpp"
#include "gateway/exchange/exchange.hpp"
#include "gateway/exchange/transfer.hpp"
#include "net/answer_status.hpp"

#include <boost/beast/http.hpp>

namespace coursehead::gateway {

namespace {

//! Why an answer that is not the due one was not dropped.
std::string failureOf( const Transfer& transfer ) {
    const auto status = transfer.parser->get().result_int();
    if( !net::isInterimStatus( status ) && !net::isFinalStatus( status ) ) {
        return "invalid status " + std::to_string( status );
    }
    return transfer.head.contradictory ? "contradictory answer" : "answer to another request";
}

} // namespace

net::Task<bool> Exchange::readDueHead( Transfer& transfer, SendResult& out ) {
    for( ;; ) {
        transfer.startAnswer( m_request.method == "HEAD" );
        const auto [error, n] = co_await http::async_read_header(
            transfer.connection->socket, transfer.connection->buf, *transfer.parser, net::tupled );
        m_shared.linkUse.noteReceived( n );
        if( error ) {
            out.connectionBroke = !isAborted( transfer );
            out.end = out.connectionBroke ? SendOutcome::lost : SendOutcome::stopped;
            out.failure = error.message();
            co_return false;
        }
        transfer.node.lastReceivedAt = MonoClock::now();
        const auto& answer = transfer.parser->get();
        const auto reason = answer.reason();
        transfer.head = platform::readResponseHead( answer.result_int(), answer,
                                                    { reason.data(), reason.size() } );
        const bool isDue = net::isFinalStatus( answer.result_int() ) &&
                           !transfer.head.contradictory &&
                           transfer.head.requestId == m_request.head.requestId;
        if( isDue ) {
            co_return true;
        }
        // Whatever it says is about another request, and this one's outcome is unknown: the
        // upstream may be running it.
        bool dropped = dueAnswerMayFollow( transfer );
        if( dropped ) {
            dropped = co_await transfer.dropAnswer();
        }
        logSurplusAnswer( transfer, dropped );
        if( !dropped ) {
            out.end = isAborted( transfer ) ? SendOutcome::stopped : SendOutcome::lost;
            out.failure = failureOf( transfer );
            co_return false;
        }
    }
}

bool Exchange::dueAnswerMayFollow( const Transfer& transfer ) const {
    const auto& parser = *transfer.parser;
    if( transfer.head.contradictory ) {
        return false;
    }
    const auto status = parser.get().result_int();
    if( net::isInterimStatus( status ) ) {
        return true;
    }
    const auto& named = transfer.head.requestId;
    const bool namesAnother = !named.empty() && named != m_request.head.requestId;
    if( !net::isFinalStatus( status ) && !namesAnother ) {
        return false; // it stands in the due answer's place
    }
    // Whether the answer to a request of another method has a body is not known.
    const bool endIsKnown = !parser.need_eof() && m_request.method != "HEAD";
    // An answer that names no request may stand in the due one's place. A request that may be
    // repeated goes elsewhere then, any other one has nothing else to wait for.
    return endIsKnown && ( !named.empty() || !m_route->idempotent() );
}

void Exchange::logSurplusAnswer( const Transfer& transfer, bool dropped ) const {
    m_shared.metrics.count( "surplus_answers", dropped ? "dropped" : "given_up" );
    log::info( "surplus_answer",
               { { "id", m_request.head.requestId },
                 { "upstream", transfer.node.upstream.id },
                 { "names", transfer.head.requestId },
                 { "status", static_cast<std::int64_t>( transfer.parser->get().result_int() ) },
                 { "contradictory", transfer.head.contradictory ? "yes" : "no" },
                 { "outcome", dropped ? "dropped" : "given_up" },
                 { "surplus_answers", static_cast<std::int64_t>( transfer.surplusAnswers ) } } );
}

} // namespace coursehead::gateway
