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
    retriesOf( kind ).countRequest( MonoClock::now() );
}

void Record::arrived( const std::string& id ) {
    const auto it = m_requests.find( id );
    if( it == m_requests.end() ) {
        return;
    }
    const auto now = MonoClock::now();
    auto& watch = retriesOf( it->second.kind );
    const int excessBefore = watch.maxExcess();
    const bool retry = watch.countArrival( id, now );
    if( retry && watch.maxExcess() > std::max( excessBefore, 0 ) ) {
        breach( "retries stay within the budget of their service",
                id + " is the retry " + std::to_string( watch.allowed( now ) + watch.maxExcess() ) +
                    " in 10 s; allowed " + std::to_string( watch.allowed( now ) ) );
    }
}

void Record::eventReceived( const std::string& stream, const std::string& version ) {
    if( m_streams.countEvent( stream, version ) ) {
        breach( "a stream goes on at the software version that began it",
                stream + " goes on at " + version );
    }
}

bool Record::mayRunAgain( const Request& request ) const {
    return request.kind == Kind::safe || request.kind == Kind::stream;
}

void Record::checkPromise( const std::string& id, const Request& request ) {
    if( request.reportedNotRun && request.runs > 0 && !mayRunAgain( request ) ) {
        breach( "not run is true", id + " was refused, and has run" );
    }
}

void Record::runStarted( const std::string& id ) {
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

void Record::reportedNotRun( const std::string& id ) {
    auto& request = m_requests[id];
    request.reportedNotRun = true;
    checkPromise( id, request );
}

int Record::runs( const std::string& id ) const {
    const auto it = m_requests.find( id );
    return it == m_requests.end() ? 0 : it->second.runs;
}

void Record::poisonRunStarted( const std::string& content ) {
    constexpr int confirmingUpstreams = 3; // crashed upstreams that confirm a poison request
    constexpr int maxLateRuns = 3;         // runs tolerated after all gateways must know
    const auto now = MonoClock::now();
    auto& poison = m_poison[content];
    if( ++poison.endings == confirmingUpstreams ) {
        poison.thirdCrashAt = now;
    }
    count( "upstreams ended by requests" );
    const bool boundApplies = poison.endings > confirmingUpstreams &&
                              now - poison.thirdCrashAt > knowledgeBound &&
                              undisturbedSince( poison.thirdCrashAt );
    if( boundApplies && ++poison.lateRuns == maxLateRuns + 1 ) {
        breach( "a request that ends what runs it stops being sent", content );
    }
}

void Record::poisonPartArrived( const std::string& part ) {
    const auto now = MonoClock::now();
    const auto confirmedAt = m_parts.confirmedAt();
    if( m_parts.countArrival( part, now ) && undisturbedSince( confirmedAt ) ) {
        breach( "prompts with a part that crashes upstreams stop being sent", part );
    }
}

void Record::poisonPartCrashed( const std::string& part ) {
    m_parts.countCrash( part, MonoClock::now() );
    count( "upstreams crashed by prompt parts" );
}

int Record::endings( const std::string& content ) const {
    const auto it = m_poison.find( content );
    return it == m_poison.end() ? 0 : it->second.endings;
}

void Record::markDisturbed( MonoTime until ) {
    m_disturbedUntil = std::max( m_disturbedUntil, until );
}

void Record::breach( const std::string& promise, const std::string& detail ) {
    std::cout << "BREACH " << promise << ": " << detail << std::endl;
    m_breaches.push_back( promise + ": " + detail );
}

} // namespace coursehead::soak
