// SPDX-License-Identifier: BSL-1.0
#include "coursehead/caller/failure.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace coursehead::caller {

namespace {

struct ReasonRow {
    Reason reason;
    std::string_view code;
    int status;
};
constexpr std::array<ReasonRow, 15> reasons{ {
    { Reason::badRequest, "bad-request", 400 },
    { Reason::tooLarge, "too-large", 413 },
    { Reason::notFound, "not-found", 404 },
    { Reason::full, "full", 503 },
    { Reason::draining, "draining", 503 },
    { Reason::noCapacity, "no-capacity", 503 },
    { Reason::deadline, "deadline", 504 },
    { Reason::retryBudget, "retry-budget", 503 },
    { Reason::keyRequired, "key-required", 400 },
    { Reason::keyBusy, "key-busy", 409 },
    { Reason::keyMismatch, "key-mismatch", 422 },
    { Reason::keyTooOld, "key-too-old", 409 },
    { Reason::keyOwner, "key-owner-unreachable", 503 },
    { Reason::lostUpstream, "lost-upstream", 502 },
    { Reason::upstreamRefused, "upstream-refused", 502 },
} };

const ReasonRow& rowOf( Reason reason ) {
    return reasons[static_cast<std::size_t>( reason )];
}

std::string errorType( int status ) {
    constexpr int firstServerError = 500;
    return status < firstServerError ? "invalid_request_error" : "server_error";
}

} // namespace

std::string_view reasonCode( Reason reason ) {
    return rowOf( reason ).code;
}

std::string_view outcomeName( Outcome outcome ) {
    switch( outcome ) {
    case Outcome::notRun:
        return "not-run";
    case Outcome::unknown:
        return "unknown";
    case Outcome::ran:
        return "ran";
    }
    return "unknown";
}

int httpStatus( const Failure& failure ) {
    return failure.status != 0 ? failure.status : rowOf( failure.reason ).status;
}

std::string errorBody( const Failure& failure, std::string_view requestId ) {
    const nlohmann::json body{
        { "error",
          {
              { "message", failure.message },
              { "type", errorType( httpStatus( failure ) ) },
              { "param", nullptr },
              { "code", reasonCode( failure.reason ) },
              { "outcome", outcomeName( failure.outcome ) },
              { "retry_after_ms", failure.retryAfter.count() },
              { "request_id", requestId },
          } },
    };
    return body.dump( -1, ' ', false, nlohmann::json::error_handler_t::replace );
}

http::Response errorResponse( const Failure& failure, std::string_view requestId ) {
    http::Response out;
    out.status = httpStatus( failure );
    out.body = errorBody( failure, requestId );
    out.headers["X-Request-Id"] = requestId;
    out.headers["X-Coursehead-Outcome"] = outcomeName( failure.outcome );
    if( failure.retryAfter.count() > 0 ) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>( failure.retryAfter );
        out.headers["Retry-After"] = std::to_string( seconds.count() );
    }
    return out;
}

} // namespace coursehead::caller
