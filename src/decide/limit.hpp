// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_LIMIT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_LIMIT_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/upstream_limit.hpp"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Limits that upstreams announce for all gateways together, and that the gateways enforce together.
 *
 * Like an organisation's quota (quota.hpp), each limit has one holder at a time among the sidecars.
 * A gateway that knows of the limit asks the holder before each send, for first attempts and
 * retries alike. It is designed for a limit of one request a second shared by hundreds of gateways,
 * each of which sends less than that.
 */
namespace coursehead::decide {

//! A gateway's knowledge of the limit of one start of an upstream.
struct LimitStatement {
    std::string start;           //!< identifies the upstream and its start
    double perS = 0;             //!< requests a second
    std::int64_t namedAgoMs = 0; //!< time since the limit was last named
    std::int64_t noneAgoMs = -1; //!< time since the sending of the last request whose answer named
                                 //!< no limit; negative: there was no such request
};

//! Sent by a gateway to a holder, regularly and on change: the limits that it uses from this
//! holder, including those that ended recently.
struct LimitUpdate {
    std::string gateway;
    int gateways = 1; //!< number of gateways that the sender knows of
    std::vector<LimitStatement> statements;
};

//! Builds the statement about a limit that was named at some time.
LimitStatement statementOf( std::string start, const UpstreamLimit& known, MonoTime now );
//! Applies a statement that arrived now; true when it changes the limit in force.
bool applyStatement( UpstreamLimit& known, const LimitStatement& statement, MonoTime now );

//! Asks a holder for permission to send one request.
struct LimitRequest {
    std::uint64_t number = 0; //!< identifies the request within its gateway; the answer repeats it
    LimitStatement statement;
};

enum class LimitVerdict {
    unknown, //!< the holder does not count this gateway yet
    granted,
    full,  //!< the limit is used up for now
    ended, //!< the upstream names no limit any more, as other gateways have reported
};
struct LimitAnswer {
    std::uint64_t number = 0;
    LimitVerdict verdict = LimitVerdict::unknown;
    //! If full: time until the first gateway that asks could be granted a request.
    std::int64_t earliestWaitMs = 0;
    //! If full: time after which to retry, which allows for the requests refused earlier.
    std::int64_t waitMs = 0;
};

//! Returns the grant of a request that was not sent.
struct LimitReturn {
    std::string start;
};

//! Lower limits are raised to this: an upstream that gets no requests could never announce that its
//! limit has ended.
inline constexpr double minLimitPerS = 0.25;
//! Higher limits are lowered to this, which is more than any upstream serves.
inline constexpr double maxLimitPerS = 1e6;

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_LIMIT_HPP_INCLUDED
