// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_QUARANTINE_LIST_HPP_INCLUDED
#define COURSEHEAD_DECIDE_QUARANTINE_LIST_HPP_INCLUDED

#include "decide/poison.hpp"

#include <unordered_map>

namespace coursehead::decide {

//! Current and past quarantines that a process knows of.
class QuarantineList {
public:
    //! Adds a quarantine; false when it was known. Of two for one content, the one with the larger
    //! number of quarantines applies. Of a known one the time of its first end is taken if it was
    //! not known.
    bool put( const Quarantine& entry, MonoTime now );
    //! Remaining time of a content's quarantine; zero when its requests may be sent.
    Millis left( Fingerprint fingerprint, MonoTime now ) const;
    //! Number of the content's quarantines.
    int times( Fingerprint fingerprint ) const;
    //! True if the time of the first end that led to the quarantine is known, which a sidecar tells
    //! and the store does not.
    bool firstEndKnown( Fingerprint fingerprint ) const;
    //! True if a run that began at `begunAt`, and whose upstream went on, shows that the quarantine
    //! was wrong or is no longer needed.
    bool isRefuted( Fingerprint fingerprint, MonoTime begunAt ) const;
    //! Forgets a content, since a request with it has completed.
    void clear( Fingerprint fingerprint ) { m_entries.erase( fingerprint ); }
    //! The quarantines in force.
    std::vector<Quarantine> all( MonoTime now ) const;
    //! The quarantines in force, and those whose time was over within `endedWithin`.
    std::vector<Quarantine> known( MonoTime now, Millis endedWithin ) const;

private:
    struct Entry {
        int times = 1;
        MonoTime until;
        MonoTime since; //!< of its first end; if that is not known, when it was added
        bool firstEndKnown = false;
        PoisonKind kind = PoisonKind::content;
        bool soundBefore = true;
    };

    void evictIfFull();

    std::unordered_map<Fingerprint, Entry> m_entries;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_QUARANTINE_LIST_HPP_INCLUDED
