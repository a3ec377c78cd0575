// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_REGISTRY_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_REGISTRY_HPP_INCLUDED

#include "gateway/model.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coursehead::gateway {

//! An upstream in the registry.
struct Member {
    Upstream upstream;
    bool missing = false; //!< no longer in the store, but not removed from the registry yet
};

/**
 * The upstreams that exist. An entry that disappears from the store is removed at once, unless the
 * store had an outage shortly before. Entries lapse during an outage, so a missing one then stays
 * in use for a while after the store answers again.
 */
class Registry {
public:
    struct Settings {
        //! Time after an outage for lapsed entries to be written again.
        Millis missingEntryHold{ 2000 };
    };
    explicit Registry( Settings settings ) : m_settings( settings ) {}

    //! Replaces all entries by the given listing.
    void applyListing( std::vector<Upstream> upstreams, MonoTime now );
    void put( Upstream upstream, MonoTime now );
    void remove( const std::string& id, MonoTime now );
    //! Records that the store answers or doesn't.
    void storeReachable( bool reachable, MonoTime now );
    //! Records that the store was restored from a copy: entries that the copy lacks are kept for a
    //! while, until they are written again.
    void storeRestored( MonoTime now ) { m_storeBackAt = now; }
    //! Removes missing entries when the hold after an outage is over.
    void expire( MonoTime now );

    const std::map<std::string, Member>& members() const noexcept { return m_members; }
    //! Ids of the members that were added, changed or removed since the last call.
    std::set<std::string> takeChanged() { return std::exchange( m_changed, {} ); }

private:
    using Address = std::pair<std::string, int>;

    static Address addressOf( const Upstream& upstream ) { return { upstream.ip, upstream.port }; }
    void erase( const std::string& id );
    bool storeUnreliable( MonoTime now ) const;
    bool hasDeparted( const Upstream& upstream ) const;
    void recordDeparture( const Upstream& upstream, MonoTime now );

    Settings m_settings;
    //! A start of an upstream that was draining when its entry disappeared.
    struct DepartedStart {
        StartTime born = 0;
        MonoTime at;
    };
    std::map<std::string, Member> m_members;
    std::map<Address, std::string> m_byAddress; //!< ids of the members
    std::set<std::string> m_changed;
    std::map<std::string, DepartedStart> m_departed; //!< by id
    bool m_reachable = false;
    std::optional<MonoTime> m_storeBackAt; //!< when the store last answered again or was restored
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_REGISTRY_HPP_INCLUDED
