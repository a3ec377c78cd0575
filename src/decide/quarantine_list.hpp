// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_QUARANTINE_LIST_HPP_INCLUDED
#define COURSEHEAD_DECIDE_QUARANTINE_LIST_HPP_INCLUDED

#include "decide/poison.hpp"

#include <unordered_map>

namespace coursehead::decide {

//! The contents that a process knows to be quarantined, or to have been.
class QuarantineList {
public:
    //! Takes a quarantine in; false when it was known. Of two for one content the later holds.
    bool put( const Quarantine& entry, MonoTime now );
    //! How much longer a content is not to be sent; zero when it may be.
    Millis left( Fingerprint fingerprint, MonoTime now ) const;
    //! How often it was quarantined.
    int times( Fingerprint fingerprint ) const;
    //! The content has run to its end.
    void clear( Fingerprint fingerprint ) { m_entries.erase( fingerprint ); }
    //! Those that hold now.
    std::vector<Quarantine> all( MonoTime now ) const;

private:
    struct Entry {
        int times = 1;
        MonoTime until;
    };

    void makeRoom();

    std::unordered_map<Fingerprint, Entry> m_entries;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_QUARANTINE_LIST_HPP_INCLUDED
