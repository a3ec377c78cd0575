// SPDX-License-Identifier: BSL-1.0
#include "soak/record.hpp"

#include <algorithm>
#include <iostream>

namespace coursehead::soak {

std::string_view nameOf( Kind kind ) {
    switch( kind ) {
    case Kind::safe:
        return "safe";
    case Kind::once:
        return "once";
    case Kind::stream:
        return "stream";
    case Kind::fragile:
        return "fragile";
    }
    return "unknown";
}

void Record::asked( const std::string& id, Kind kind ) {
    m_requests[id].kind = kind;
    count( "asked " + std::string( nameOf( kind ) ) );
}

bool Record::mayRunAgain( const Request& request ) const {
    return request.kind == Kind::safe || request.kind == Kind::stream;
}

void Record::checkPromise( const std::string& id, const Request& request ) {
    if( request.toldNotRun && request.runs > 0 && !mayRunAgain( request ) ) {
        breach( "not run is true", id + " was refused, and has run" );
    }
}

void Record::ran( const std::string& id ) {
    const auto it = m_requests.find( id );
    if( it == m_requests.end() ) {
        breach( "only what was asked runs", "an upstream runs '" + id + "', which nobody asked" );
        return;
    }
    if( ++it->second.runs > 1 && !mayRunAgain( it->second ) ) {
        breach( "at most once", id + " runs " + std::to_string( it->second.runs ) + " times" );
    }
    checkPromise( id, it->second );
}

void Record::toldNotRun( const std::string& id ) {
    auto& request = m_requests[id];
    request.toldNotRun = true;
    checkPromise( id, request );
}

int Record::runs( const std::string& id ) const {
    const auto it = m_requests.find( id );
    return it == m_requests.end() ? 0 : it->second.runs;
}

void Record::began( const std::string& content ) {
    constexpr int known = 3; // upstreams after which everybody has to know
    constexpr int most = 3;  // retries beyond
    const auto now = MonoClock::now();
    auto& poison = m_poison[content];
    if( ++poison.endings == known ) {
        poison.third = now;
    }
    count( "upstreams ended by requests" );
    const bool due =
        poison.endings > known && now - poison.third > knowledgeBound && calmSince( poison.third );
    if( due && ++poison.afterThird == most + 1 ) {
        breach( "a request that ends what runs it stops being sent", content );
    }
}

int Record::endings( const std::string& content ) const {
    const auto it = m_poison.find( content );
    return it == m_poison.end() ? 0 : it->second.endings;
}

void Record::disturbed( MonoTime until ) {
    m_disturbedUntil = std::max( m_disturbedUntil, until );
}

void Record::breach( const std::string& promise, const std::string& detail ) {
    std::cout << "BREACH " << promise << ": " << detail << std::endl;
    m_breaches.push_back( promise + ": " + detail );
}

} // namespace coursehead::soak
