// SPDX-License-Identifier: BSL-1.0
#include "decide/limit.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::decide {

namespace {

//! The time that was so long ago; what comes from another process may be anything.
MonoTime timeAgo( std::int64_t ms, MonoTime now ) {
    constexpr std::int64_t longest = Millis( std::chrono::hours( 24 ) ).count();
    return now - Millis( std::clamp<std::int64_t>( ms, 0, longest ) );
}

} // namespace

LimitStatement statementOf( std::string start, const UpstreamLimit& known, MonoTime now ) {
    LimitStatement out;
    out.start = std::move( start );
    out.perS = known.lastPerS();
    out.namedAgoMs = millisBetween( known.namedAt(), now );
    out.noneAgoMs = known.noneAt() == MonoTime{} ? -1 : millisBetween( known.noneAt(), now );
    return out;
}

bool applyStatement( UpstreamLimit& known, const LimitStatement& statement, MonoTime now ) {
    const auto before = known.perS();
    const double perS = statement.perS >= 0 ? statement.perS : 0;
    known.noteNamed( perS, timeAgo( statement.namedAgoMs, now ) );
    if( statement.noneAgoMs >= 0 ) {
        known.noteNone( timeAgo( statement.noneAgoMs, now ), now );
    }
    return before != known.perS();
}

} // namespace coursehead::decide
