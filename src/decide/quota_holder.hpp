// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_QUOTA_HOLDER_HPP_INCLUDED
#define COURSEHEAD_DECIDE_QUOTA_HOLDER_HPP_INCLUDED

#include "decide/quota_bucket.hpp"

#include <map>
#include <string>
#include <string_view>

namespace coursehead::decide {

/**
 * The buckets that one process holds for gateways. It grants a share of each organisation's limit:
 * the number of gateways that use this holder, divided by the number of all gateways. The share is
 * the whole limit when all gateways are connected; in a network partition each side grants a share
 * in proportion to its gateways.
 */
class QuotaHolder {
public:
    //! A gateway counts as present if it sent a message within the rule's window.
    void setRule( const QuotaRule& rule ) { m_rule = rule; }
    //! Applies a gateway's update, which replaces its previous one.
    void takeUpdate( const QuotaUpdate& update, MonoTime now );
    //! Answers a gateway's request for units. A gateway that asks counts as a user of this holder,
    //! even if its updates are late. If it has sent nothing within `quotaMembership`, the answer is
    //! that the limit is not known here, and the gateway is counted again from then on.
    QuotaAnswer ask( const std::string& gateway, const QuotaRequest& request, MonoTime now );
    void acceptReturn( const QuotaReturn& returned, MonoTime now );
    //! Drops the account of an organisation that no gateway uses any more.
    void forget( std::string_view organisation );

    //! Share of an organisation's limit that this holder grants.
    double shareOf( std::string_view organisation, MonoTime now ) const;

private:
    struct Member {
        MonoTime lastMessageAt;
        int gateways = 1; //!< number of gateways that it knows of
        std::vector<std::string> organisations;
    };
    struct Account {
        QuotaRate rate;
        std::uint64_t version = 0; //!< version of the configuration that defines the rate
        QuotaBucket bucket;
    };

    void initialise( Account& account, MonoTime now );
    void refillAll( const std::vector<std::string>& organisations, MonoTime now );
    QuotaRate rateOf( const Account& account, MonoTime now ) const;

    QuotaRule m_rule;
    std::map<std::string, Member> m_members; //!< by gateway
    std::map<std::string, Account, std::less<>> m_accounts;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_QUOTA_HOLDER_HPP_INCLUDED
