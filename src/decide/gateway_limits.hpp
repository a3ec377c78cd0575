// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_GATEWAY_LIMITS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_GATEWAY_LIMITS_HPP_INCLUDED

#include "decide/gateway_quotas.hpp"
#include "decide/limit.hpp"
#include "decide/send_schedule.hpp"
#include "decide/upstream_limit.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace coursehead::decide {

//! One gateway's side of the limit of one start of an upstream.
struct LimitState {
    UpstreamLimit known;
    SendSchedule sendSchedule; //!< while no holder can be asked
    MonoTime fullUntil;        //!< it had no room; to be looked at again then
    MonoTime retryAt;          //!< when those are to come back who find no room now

    //! Until there may be room; 0: nothing speaks against asking.
    Millis fullLeft( MonoTime now ) const {
        return known.perS() ? remaining( now, fullUntil ) : Millis{ 0 };
    }
    //! When to come back, for a request that finds no room.
    Millis retryLeft( MonoTime now ) const {
        return std::max( fullLeft( now ), remaining( now, retryAt ) );
    }
};

//! What became of the question whether one more request may go to an upstream with a limit.
enum class LimitOutcome {
    granted, //!< by its holder
    ended,   //!< the upstream names no limit any more
    full,    //!< its holder has no room now
    ownTurn, //!< nobody could be asked, and it is this gateway's turn
    noTurn,  //!< nobody could be asked, and it is not
};
std::string_view nameOf( LimitOutcome outcome );

struct LimitDecision {
    LimitOutcome outcome = LimitOutcome::noTurn;
    Millis wait{ 0 }; //!< no room: when to come back

    bool maySend() const noexcept {
        return outcome != LimitOutcome::full && outcome != LimitOutcome::noTurn;
    }
};

//! Follows what a holder answered to a question asked at `asked`, nullopt when nobody could be
//! asked. `gateways` are about, this one included.
LimitDecision applyLimitAnswer( LimitState& state, const std::optional<LimitAnswer>& answer,
                                int gateways, MonoTime asked, MonoTime now );

//! True while there is a word to be given: the limit is in force, or has ended lately.
bool isReportable( const UpstreamLimit& known, MonoTime now );

//! Whom one gateway asks for which limit, and what the holders are told.
class GatewayLimits {
public:
    using Statements = std::map<std::string, LimitStatement>; //!< by start of an upstream

    GatewayLimits() : m_holders( QuotaRule{} ) {}

    //! What this gateway knows of limits now.
    void setStatements( Statements statements );
    bool knows( const std::string& start ) const { return m_words.contains( start ); }
    //! True when there is nothing to tell anybody.
    bool idle() const { return m_words.empty() && m_told.empty(); }
    std::size_t size() const noexcept { return m_words.size(); }
    //! Which processes may hold limits, and which answer. True when a holder has changed.
    bool setCandidates( std::span<const HolderCandidate> candidates, int gateways, MonoTime now );
    //! Whom to ask; empty while nobody can be asked.
    std::string holderOf( std::string_view start, MonoTime now ) const {
        return m_holders.holderOf( start, now );
    }
    //! What a candidate that can be told now is to be told, if anything. It counts as told.
    std::optional<LimitUpdate> takeUpdate( const std::string& candidate, MonoTime now );

private:
    GatewayQuotas m_holders; //!< chooses them as it does for organisations
    Statements m_words;
    std::set<std::string> m_told; //!< candidates that count this gateway
    int m_gateways = 1;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_GATEWAY_LIMITS_HPP_INCLUDED
