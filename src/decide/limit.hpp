// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_LIMIT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_LIMIT_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/upstream_limit.hpp"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Limits that upstreams name for all gateways together, kept by all gateways together.
 *
 * As an organisation's quota does (quota.hpp), each limit has one holder at a time among the
 * processes beside engines. Whoever knows of the limit asks it for each send, first ones and
 * retries alike. The load that this answers: a limit of one request a second before hundreds of
 * gateways, of which each alone sends less than that.
 */
namespace coursehead::decide {

//! What a gateway knows of the limit of one start of an upstream.
struct LimitStatement {
    std::string start;           //!< names the upstream and its start
    double perS = 0;             //!< requests a second
    std::int64_t namedAgoMs = 0; //!< so long ago it was last named
    std::int64_t noneAgoMs = -1; //!< so long ago the last request was sent whose answer named none;
                                 //!< negative: there was none
};

//! A gateway tells a holder which limits it keeps there; regularly, and on change. Those that have
//! ended lately are among them.
struct LimitUpdate {
    std::string gateway;
    int gateways = 1; //!< as many as it knows to be about
    std::vector<LimitStatement> statements;
};

//! The word on what is known of a limit that was named at some time.
LimitStatement statementOf( std::string start, const UpstreamLimit& known, MonoTime now );
//! Takes a word that has come now; true when it changes what is known.
bool applyStatement( UpstreamLimit& known, const LimitStatement& statement, MonoTime now );

//! Asks for leave to send one request.
struct LimitRequest {
    std::uint64_t number = 0; //!< of this gateway; the answer repeats it
    LimitStatement statement;
};

enum class LimitVerdict {
    unknown, //!< the holder does not count for this gateway yet
    granted,
    full,  //!< there is no room now
    ended, //!< the upstream names no limit any more, as others have heard
};
struct LimitAnswer {
    std::uint64_t number = 0;
    LimitVerdict verdict = LimitVerdict::unknown;
    std::int64_t earliestWaitMs = 0; //!< full: until there is room, for whoever asks first
    std::int64_t waitMs = 0; //!< full: until there is room behind those who were told so before
};

//! A granted request was not sent.
struct LimitReturn {
    std::string start;
};

//! A lower limit counts as this: an upstream that is never sent anything could not say that its
//! limit has ended.
inline constexpr double leastLimitPerS = 0.25;
//! A higher one as this: beyond what any upstream serves.
inline constexpr double mostLimitPerS = 1e6;

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_LIMIT_HPP_INCLUDED
