// SPDX-License-Identifier: BSL-1.0
#include "decide/limit.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::decide {

namespace {

//! The time `ms` ago. `ms` is clamped, since another process may send any value.
MonoTime timeAgo( std::int64_t ms, MonoTime now ) {
    constexpr std::int64_t longest = Millis( std::chrono::hours( 24 ) ).count();
    return now - Millis( std::clamp<std::int64_t>( ms, 0, longest ) );
}

} // namespace

LimitWord wordOf( std::string start, const UpstreamLimit& known, MonoTime now ) {
    LimitWord out;
    out.start = std::move( start );
    out.perS = known.lastPerS();
    out.namedMs = millisBetween( known.namedAt(), now );
    out.noneMs = known.noneAt() == MonoTime{} ? -1 : millisBetween( known.noneAt(), now );
    return out;
}

bool takeWord( UpstreamLimit& known, const LimitWord& word, MonoTime now ) {
    const auto before = known.perS();
    const double perS = word.perS >= 0 ? word.perS : 0;
    known.noteNamed( perS, timeAgo( word.namedMs, now ) );
    if( word.noneMs >= 0 ) {
        known.noteNone( timeAgo( word.noneMs, now ), now );
    }
    return before != known.perS();
}

} // namespace coursehead::decide
