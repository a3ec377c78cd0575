// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_PART_WATCH_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_PART_WATCH_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace coursehead::support {

//! Knows which prompt parts crash the upstreams that begin to write an answer on them, and counts
//! the requests with such a part that reach upstreams later than the platform's rule allows.
class PartWatch {
public:
    static constexpr int confirmingCrashes = 5;
    //! Number of late requests with one part that the rule allows.
    static constexpr int maxLateArrivals = 3;

    //! `grace`: time after the last confirming crash until all gateways have to know the part.
    explicit PartWatch( Millis grace ) : m_grace( grace ) {}

    void poison( const std::string& part ) { m_poison.insert( part ); }
    //! The part crashes no upstream any more.
    void mend( const std::string& part ) { m_poison.erase( part ); }

    //! The part of a prompt that crashes upstreams; nullopt: none. `prefix` has the platform's
    //! format, ID:TOKENS separated by commas; the last part does no harm.
    std::optional<std::string> poisonPartOf( std::string_view prefix ) const {
        for( auto comma = prefix.find( ',' ); comma != std::string_view::npos;
             comma = prefix.find( ',' ) ) {
            const std::string id( prefix.substr( 0, prefix.find( ':' ) ) );
            if( m_poison.contains( id ) ) {
                return id;
            }
            prefix.remove_prefix( comma + 1 );
        }
        return std::nullopt;
    }

    //! A request with the part reaches an upstream. Returns true if it is one too many.
    bool countArrival( const std::string& part, MonoTime now ) {
        auto& it = m_parts[part];
        const bool late = it.crashes >= confirmingCrashes && now - it.confirmedAt > m_grace;
        it.lateArrivals += late ? 1 : 0;
        return late && it.lateArrivals == maxLateArrivals + 1;
    }
    void countCrash( const std::string& part, MonoTime now ) {
        m_firstCrashAt = m_firstCrashAt == MonoTime{} ? now : m_firstCrashAt;
        auto& it = m_parts[part];
        if( ++it.crashes <= confirmingCrashes ) {
            it.confirmedAt = now;
        }
    }

    int crashes( const std::string& part ) const { return find( part ).crashes; }
    int lateArrivals( const std::string& part ) const { return find( part ).lateArrivals; }
    //! Time of the first crash, over all parts.
    MonoTime firstCrashAt() const { return m_firstCrashAt; }
    //! Time of the fifth crash, or of the last one if there were fewer, over all parts.
    MonoTime confirmedAt() const {
        MonoTime out;
        for( const auto& it : m_parts ) {
            out = std::max( out, it.second.confirmedAt );
        }
        return out;
    }

private:
    struct Part {
        int crashes = 0;
        MonoTime confirmedAt; //!< last crash of the first five
        int lateArrivals = 0;
    };

    Part find( const std::string& part ) const {
        const auto it = m_parts.find( part );
        return it == m_parts.end() ? Part{} : it->second;
    }

    Millis m_grace;
    std::set<std::string> m_poison;
    std::map<std::string, Part> m_parts;
    MonoTime m_firstCrashAt{};
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_PART_WATCH_HPP_INCLUDED
