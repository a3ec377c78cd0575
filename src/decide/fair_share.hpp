// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_FAIR_SHARE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_FAIR_SHARE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace coursehead::decide {

/**
 * What each organisation has been served by one engine, in milliseconds of reading, as a virtual
 * counter. It is designed for one organisation that sends many times its usual: what the others
 * send is compared with what they were served, not with what waits.
 *
 * Only differences between counters count. An organisation that was idle is forgotten; it and new
 * ones start at the least counter, so that a new name has no advantage over known ones.
 */
class FairShare {
public:
    //! The organisation asks for reading.
    void noteAsk( std::string_view organisation, MonoTime now );
    //! The organisation is served `workMs` of reading.
    void noteServed( std::string_view organisation, double workMs, MonoTime now );
    //! Counter of the organisation; for one that is not known the least counter.
    double servedMs( std::string_view organisation ) const;
    std::size_t size() const noexcept { return m_accounts.size(); }
    void clear() { m_accounts.clear(); }

private:
    struct Account {
        double servedMs = 0;
        MonoTime usedAt;
    };
    Account& accountOf( std::string_view organisation, MonoTime now );
    void forgetIdle( MonoTime now );
    //! Forgets the organisation that was idle the longest if there is no place for another one.
    void keepBelowBound();
    double leastMs() const;
    double mostMs() const;

    std::map<std::string, Account, std::less<>> m_accounts; //!< by organisation
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_FAIR_SHARE_HPP_INCLUDED
