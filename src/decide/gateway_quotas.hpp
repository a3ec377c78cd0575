// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_GATEWAY_QUOTAS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_GATEWAY_QUOTAS_HPP_INCLUDED

#include "decide/quota.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace coursehead::decide {

//! A process that may hold organisations' limits, as a gateway sees it.
struct HolderCandidate {
    std::string name;
    bool answers = false; //!< it was heard lately
};

/**
 * One gateway's side of the quotas: whom it asks for an organisation, what it was granted and has
 * not spent, and what it may spend when no holder can be asked.
 */
class GatewayQuotas {
public:
    explicit GatewayQuotas( const QuotaRule& rule ) : m_rule( rule ) {}

    void setRule( const QuotaRule& rule ) { m_rule = rule; }
    //! The limits in force; organisations that are not named have none.
    void setRates( std::uint64_t version, std::span<const QuotaRate> rates );
    //! Which candidates there are, and which answer. Gives true when a holder has changed, and its
    //! news should go out at once.
    bool setCandidates( std::span<const HolderCandidate> candidates, int gateways, MonoTime now );
    //! What a candidate is to be told.
    QuotaUpdate updateFor( std::string_view candidate ) const;
    //! It was told.
    void noteUpdateSent( std::string_view candidate, MonoTime now );

    //! Spends what was granted before; false when that is not enough.
    bool spend( std::string_view organisation, double units, MonoTime now );
    //! Whom to ask for more; empty while nobody can be asked.
    std::string holderOf( std::string_view organisation, MonoTime now ) const;
    //! How many units to ask for, so that one question serves what comes next as well.
    double amountToRequest( std::string_view organisation, double units, MonoTime now );
    //! Keeps what was granted to a question asked at `asked`.
    void addGrant( std::string_view organisation, double units, MonoTime asked );
    //! What was granted and not spent in time, to be given back to its holders.
    struct Unused {
        std::string holder;
        QuotaReturn back;
    };
    std::vector<Unused> takeUnused( MonoTime now );
    //! Spends from what is this gateway's without asking: false when it is used up.
    bool spendReserve( std::string_view organisation, double units, MonoTime now );
    //! Until the reserve, or a holder, is likely to help.
    static Millis reserveWait() { return quotaMembership / 2; }

private:
    struct Lot {
        double units = 0;
        MonoTime expires;
    };
    struct Spent {
        double units = 0;
        MonoTime at;
    };
    struct Account {
        QuotaRate rate;
        std::string holder;
        MonoTime usableFrom; //!< the holder may be asked from then on
        std::deque<Lot> lots;
        double unused = 0;         //!< of lots that have expired
        std::deque<Spent> reserve; //!< what was spent of it within the window
        double perS = 0;           //!< units asked for, smoothed
        MonoTime askedAt;
    };

    void chooseHolder( Account& account, MonoTime now );
    static void expire( Account& account, MonoTime now );

    QuotaRule m_rule;
    std::uint64_t m_version = 0;
    int m_gateways = 1;
    std::vector<std::string> m_answering;    //!< candidates, sorted
    std::map<std::string, MonoTime> m_told;  //!< candidates that were told something, when last
    std::optional<MonoTime> m_firstAnswered; //!< since when any candidate answered
    bool m_settled = false;                  //!< all candidates answered, or had the time to
    std::map<std::string, Account, std::less<>> m_accounts;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_GATEWAY_QUOTAS_HPP_INCLUDED
