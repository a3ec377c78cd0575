// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_QUOTA_HOLDER_HPP_INCLUDED
#define COURSEHEAD_DECIDE_QUOTA_HOLDER_HPP_INCLUDED

#include "decide/quota_bucket.hpp"

#include <map>
#include <string>
#include <string_view>

namespace coursehead::decide {

/**
 * The buckets that one process keeps for gateways. Of an organisation's limit it grants the part
 * `gateways that hold to it / gateways that are about`: with all in touch the whole, and on both
 * sides of a cut as much as each side's gateways count for.
 */
class QuotaHolder {
public:
    //! Gateways that were heard within the rule's window are about.
    void setRule( const QuotaRule& rule ) { m_rule = rule; }
    //! A gateway says what it obtains here; replaces what it said before.
    void takeUpdate( const QuotaUpdate& news, MonoTime now );
    //! A gateway that asks holds to this process, however late its news are. One that did not say
    //! so lately is told that nothing is known here; from then on it belongs again.
    QuotaAnswer ask( const std::string& gateway, const QuotaRequest& ask, MonoTime now );
    void acceptReturn( const QuotaReturn& back, MonoTime now );
    //! An account that nobody obtains from any more.
    void forget( std::string_view organisation );

    //! The part of an organisation's limit that is granted here.
    double shareOf( std::string_view organisation, MonoTime now ) const;

private:
    struct Member {
        MonoTime heard;
        int gateways = 1; //!< as many as it knows of
        std::vector<std::string> organisations;
    };
    struct Account {
        QuotaRate rate;
        std::uint64_t version = 0; //!< of the configuration that the rate is from
        QuotaBucket bucket;
    };

    void start( Account& account, MonoTime now );
    void refillAll( const std::vector<std::string>& organisations, MonoTime now );
    QuotaRate rateOf( const Account& account, MonoTime now ) const;

    QuotaRule m_rule;
    std::map<std::string, Member> m_members; //!< by gateway
    std::map<std::string, Account, std::less<>> m_accounts;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_QUOTA_HOLDER_HPP_INCLUDED
