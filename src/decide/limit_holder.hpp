// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_LIMIT_HOLDER_HPP_INCLUDED
#define COURSEHEAD_DECIDE_LIMIT_HOLDER_HPP_INCLUDED

#include "decide/limit.hpp"
#include "decide/quota_holder.hpp"
#include "decide/upstream_limit.hpp"

#include <map>
#include <string>

namespace coursehead::decide {

//! The limits that one process keeps for gateways.
class LimitHolder {
public:
    LimitHolder();

    //! A gateway says which limits it keeps here; replaces what it said before.
    void takeUpdate( const LimitUpdate& news, MonoTime now );
    LimitAnswer ask( const std::string& gateway, const LimitRequest& ask, MonoTime now );
    void acceptReturn( const LimitReturn& back, MonoTime now );
    //! What has become known since the last call, for all gateways to hear: an upstream in need
    //! would else get a first request from each of them.
    std::vector<LimitStatement> takeChanges( MonoTime now );

    std::size_t size() const noexcept { return m_limits.size(); }

private:
    struct Limit {
        UpstreamLimit known;
        MonoTime heard;
        bool changed = false; //!< since takeChanges()
    };

    Limit& note( const LimitStatement& statement, MonoTime now );
    void forgetOld( MonoTime now );

    QuotaHolder m_buckets; //!< by start; a unit is a request
    std::map<std::string, Limit, std::less<>> m_limits;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_LIMIT_HOLDER_HPP_INCLUDED
