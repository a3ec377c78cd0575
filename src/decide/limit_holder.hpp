// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_LIMIT_HOLDER_HPP_INCLUDED
#define COURSEHEAD_DECIDE_LIMIT_HOLDER_HPP_INCLUDED

#include "decide/limit.hpp"
#include "decide/quota_holder.hpp"
#include "decide/upstream_limit.hpp"

#include <map>
#include <string>

namespace coursehead::decide {

//! The limits that one process holds for gateways.
class LimitHolder {
public:
    LimitHolder();

    //! Applies a gateway's update, which replaces its previous one.
    void takeUpdate( const LimitUpdate& update, MonoTime now );
    LimitAnswer ask( const std::string& gateway, const LimitRequest& request, MonoTime now );
    void acceptReturn( const LimitReturn& returned, MonoTime now );
    //! Limits that changed since the last call, to be sent to all gateways: otherwise each of them
    //! would learn of the limit only by sending a request to the overloaded upstream.
    std::vector<LimitStatement> takeChanges( MonoTime now );

    std::size_t size() const noexcept { return m_limits.size(); }

private:
    struct Limit {
        UpstreamLimit known;
        MonoTime lastMentioned;
        bool changed = false; //!< since takeChanges()
    };

    Limit& note( const LimitStatement& statement, MonoTime now );
    void dropUnmentioned( MonoTime now );

    QuotaHolder m_buckets; //!< by the upstream's start; one unit is one request
    std::map<std::string, Limit, std::less<>> m_limits;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_LIMIT_HOLDER_HPP_INCLUDED
