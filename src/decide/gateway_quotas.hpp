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

//! A process that may hold organisations' limits, as known to a gateway.
struct HolderCandidate {
    std::string name;
    bool responsive = false; //!< a message from it was received recently
};

/**
 * Quota state of one gateway: each organisation's holder, the units that were granted and not yet
 * spent, and the reserve that the gateway may spend while no holder can be asked.
 */
class GatewayQuotas {
public:
    explicit GatewayQuotas( const QuotaRule& rule ) : m_rule( rule ) {}

    void setRule( const QuotaRule& rule ) { m_rule = rule; }
    //! Sets the limits in force; organisations without an entry have none.
    void setRates( std::uint64_t version, std::span<const QuotaRate> rates );
    //! Sets the candidates, and which of them answer. True when a holder has changed; updates
    //! should then be sent at once.
    bool setCandidates( std::span<const HolderCandidate> candidates, int gateways, MonoTime now );
    //! The update to send to a candidate.
    QuotaUpdate updateFor( std::string_view candidate ) const;
    //! An update was sent to the candidate.
    void noteUpdateSent( std::string_view candidate, MonoTime now );

    //! Spends units granted before; false when they are too few.
    bool spend( std::string_view organisation, double units, MonoTime now );
    //! Name of the organisation's holder; empty while no holder can be asked.
    std::string holderOf( std::string_view organisation, MonoTime now ) const;
    //! Number of units to request for a need of `units`: it includes those for the requests
    //! expected next.
    double amountToRequest( std::string_view organisation, double units, MonoTime now );
    //! Stores units that were granted to a request sent at `asked`.
    void addGrant( std::string_view organisation, double units, MonoTime asked );
    //! Units that expired before they were spent, to be returned to their holders.
    struct Unused {
        std::string holder;
        QuotaReturn quotaReturn;
    };
    std::vector<Unused> takeUnused( MonoTime now );
    //! Spends units of this gateway's reserve, for which no holder is asked; false when the reserve
    //! is used up.
    bool spendReserve( std::string_view organisation, double units, MonoTime now );
    //! Time after which the reserve or a holder is likely to have units.
    static Millis reserveWait() { return quotaMembership / 2; }

private:
    struct Grant {
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
        MonoTime usableFrom; //!< time from which the holder may be asked
        std::deque<Grant> grants;
        double unused = 0;         //!< units of grants that have expired
        std::deque<Spent> reserve; //!< units of the reserve spent within the window
        double perS = 0;           //!< units requested a second, smoothed
        MonoTime askedAt;
    };

    void chooseHolder( Account& account, MonoTime now );
    static void expire( Account& account, MonoTime now );

    QuotaRule m_rule;
    std::uint64_t m_version = 0;
    int m_gateways = 1;
    std::vector<std::string> m_responsive;            //!< candidates that answer, sorted
    std::map<std::string, MonoTime> m_lastUpdateSent; //!< by candidate
    std::optional<MonoTime> m_firstAnswered;          //!< when the first candidate answered
    bool m_settled = false; //!< all candidates have answered, or the time for it has passed
    std::map<std::string, Account, std::less<>> m_accounts;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_GATEWAY_QUOTAS_HPP_INCLUDED
