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
    SendSchedule sendSchedule; //!< used while no holder can be asked
    MonoTime fullUntil; //!< the limit is used up until then; it is asked for again afterwards
    MonoTime retryAt;   //!< when requests that are refused now should be retried

    //! Time until the limit may have capacity again; 0: it may be asked for now.
    Millis fullLeft( MonoTime now ) const {
        return known.perS() ? remaining( now, fullUntil ) : Millis{ 0 };
    }
    //! Time after which a refused request should be retried.
    Millis retryLeft( MonoTime now ) const {
        return std::max( fullLeft( now ), remaining( now, retryAt ) );
    }
};

//! Whether one more request may be sent to an upstream with a limit, and why.
enum class LimitOutcome {
    granted, //!< the holder granted it
    ended,   //!< the upstream names no limit any more
    full,    //!< the holder refused it: the limit is used up for now
    ownTurn, //!< no holder could be asked; this gateway's own schedule allows a send now
    noTurn,  //!< no holder could be asked; this gateway's own schedule allows no send now
};
std::string_view nameOf( LimitOutcome outcome );

struct LimitDecision {
    LimitOutcome outcome = LimitOutcome::noTurn;
    Millis wait{ 0 }; //!< full, noTurn: time after which to retry

    bool maySend() const noexcept {
        return outcome != LimitOutcome::full && outcome != LimitOutcome::noTurn;
    }
};

//! Applies a holder's answer to a request sent at `asked`; nullopt when no holder could be asked.
//! `gateways` is the number of gateways, this one included.
LimitDecision applyLimitAnswer( LimitState& state, const std::optional<LimitAnswer>& answer,
                                int gateways, MonoTime asked, MonoTime now );

//! True while a statement about the limit has to be sent: it is in force, or ended recently.
bool isReportable( const UpstreamLimit& known, MonoTime now );

//! Holders of the limits that one gateway uses, and the updates that it sends to them.
class GatewayLimits {
public:
    using Statements = std::map<std::string, LimitStatement>; //!< by the start of an upstream

    GatewayLimits() : m_holders( QuotaRule{} ) {}

    //! Sets what this gateway knows of limits now.
    void setStatements( Statements statements );
    bool knows( const std::string& start ) const { return m_statements.contains( start ); }
    //! True when there is no update to send.
    bool idle() const { return m_statements.empty() && m_countedBy.empty(); }
    std::size_t size() const noexcept { return m_statements.size(); }
    //! Sets the processes that may hold limits, and which of them answer. True when a holder has
    //! changed.
    bool setCandidates( std::span<const HolderCandidate> candidates, int gateways, MonoTime now );
    //! Name of the limit's holder; empty while no holder can be asked.
    std::string holderOf( std::string_view start, MonoTime now ) const {
        return m_holders.holderOf( start, now );
    }
    //! The update for a candidate that can be reached now, if there is one; it counts as sent.
    std::optional<LimitUpdate> takeUpdate( const std::string& candidate, MonoTime now );

private:
    GatewayQuotas m_holders; //!< chooses holders as for organisations
    Statements m_statements;
    std::set<std::string> m_countedBy; //!< candidates that count this gateway for a limit
    int m_gateways = 1;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_GATEWAY_LIMITS_HPP_INCLUDED
