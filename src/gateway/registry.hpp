// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_REGISTRY_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_REGISTRY_HPP_INCLUDED

#include "gateway/model.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coursehead::gateway {

//! An upstream that is or was listed.
struct Member {
    Upstream upstream;
    bool missing = false; //!< no longer listed, and not yet taken for gone
};

/**
 * Which upstreams exist. An entry that disappears is gone at once, unless the store had trouble
 * shortly before: entries lapse while the store is away, so a missing one then stays in use for
 * a while after the store's return.
 */
class Registry {
public:
    struct Settings {
        Millis lapseHold{ 2000 }; //!< from the store's return: time for lapsed entries to come back
    };
    explicit Registry( Settings settings ) : m_settings( settings ) {}

    //! All entries at this moment.
    void applyListing( std::vector<Upstream> upstreams, MonoTime now );
    void put( Upstream upstream, MonoTime now );
    void remove( const std::string& id, MonoTime now );
    //! The store ceased to answer, or answers again.
    void storeReachable( bool reachable, MonoTime now );
    //! The store has come back from a copy: entries that it lacks have time to be written again.
    void storeRestored( MonoTime now ) { m_troubleEnd = now; }
    //! Drops missing entries whose time is over.
    void expire( MonoTime now );

    const std::map<std::string, Member>& members() const noexcept { return m_members; }
    //! Ids of the members that have come, changed or gone since the last call.
    std::set<std::string> takeChanged() { return std::exchange( m_changed, {} ); }

private:
    using Address = std::pair<std::string, int>;

    static Address addressOf( const Upstream& upstream ) { return { upstream.ip, upstream.port }; }
    void erase( const std::string& id );
    bool storeTrouble( MonoTime now ) const;
    bool hasLeft( const Upstream& upstream ) const;
    void noteLeft( const Upstream& upstream, MonoTime now );

    Settings m_settings;
    //! A start that was leaving when its entry went.
    struct Left {
        StartTime born = 0;
        MonoTime at;
    };
    std::map<std::string, Member> m_members;
    std::map<Address, std::string> m_byAddress; //!< ids of the members
    std::set<std::string> m_changed;
    std::map<std::string, Left> m_left; //!< by id
    bool m_reachable = false;
    std::optional<MonoTime> m_troubleEnd; //!< when the store last came back
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_REGISTRY_HPP_INCLUDED
