// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_PROMPT_LOAD_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_PROMPT_LOAD_HPP_INCLUDED

#include "support/world.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace coursehead::support {

//! Streaming requests to real gateways at a steady rate, no two alike, some with a prompt part that
//! crashes engines. Prompts have three parts: one that nearly all share, one that a few share, and
//! one of their own; requests with a poison part have it in place of the second one.
struct PromptLoad {
    static constexpr const char* poisonPart = "bad1";
    static constexpr const char* otherPoisonPart = "bad2";
    static constexpr const char* firstPart = "f1";
    static constexpr int subjects = 8; //!< number of second parts

    static constexpr int engines = 12;

    World world{ WorldSize{ 3, engines, 1 } };
    int requests = 300;
    Millis gap{ 40 };
    int poisonEvery = 10; //!< every so many requests one with a poison part; 0: none
    //! No request from the first of these up to the second one has a poison part.
    std::pair<int, int> withoutPoison{ 0, 0 };
    //! The parts of request `n` but the last, in the platform's format.
    std::function<std::string( int n, bool poison )> shared = []( int n, bool poison ) {
        const auto subject =
            poison ? std::string( poisonPart ) : "5" + std::to_string( n % subjects );
        return std::string( firstPart ) + ":1500," + subject + ":300";
    };
    std::function<std::string( int n )> modelOf = []( int ) {
        return std::string( "m0" );
    };
    std::function<std::size_t( int n )> gatewayOf = []( int n ) {
        return static_cast<std::size_t>( n ) % 3;
    };
    std::map<int, std::function<void()>> before; //!< faults, by the request that they precede

    struct Result {
        bool poison = false;
        MonoTime sentAt;
        unsigned status = 0;
    };
    std::vector<Result> results;
    int finished = 0;

    net::Task<> ask( int n ) {
        auto& result = results[static_cast<std::size_t>( n )];
        result.sentAt = MonoClock::now();
        const auto id = "p" + std::to_string( n );
        world.record.asked( id, Kind::stream );
        std::string text =
            "POST /stream/a HTTP/1.1\r\nHost: " + std::string( hostName ) +
            "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 3500\r\nX-Model: " + modelOf( n ) +
            "\r\nX-Token-Counts: 2000,100\r\nX-Prompt-Prefix: " + shared( n, result.poison ) +
            ",e" + std::to_string( n ) + ":200\r\nContent-Length: " + std::to_string( id.size() ) +
            "\r\n\r\n" + id;
        result.status = co_await world.exchange( gatewayOf( n ), std::move( text ) );
        ++finished;
    }

    bool isPoison( int n ) const {
        const bool paused = n >= withoutPoison.first && n < withoutPoison.second;
        return !paused && poisonEvery > 0 && n % poisonEvery == poisonEvery - 1;
    }

    void run() {
        world.record.parts().poison( poisonPart );
        world.record.parts().poison( otherPoisonPart );
        results.resize( static_cast<std::size_t>( requests ) );
        world.runScenario( [this]() -> net::Task<> {
            for( int n = 0; n < requests; ++n ) {
                if( const auto it = before.find( n ); it != before.end() ) {
                    it->second();
                }
                results[static_cast<std::size_t>( n )].poison = isPoison( n );
                net::start( world.context, ask( n ), "client" );
                co_await net::pause( world.context, gap );
            }
            while( finished < requests ) {
                co_await net::pause( world.context, pollInterval );
            }
        } );
    }

    //! Share of the requests with, or without, a poison part that were served, of those sent in
    //! [`from`, `to`).
    double servedShare( MonoTime from, MonoTime to = MonoTime::max(), bool poison = false ) const {
        int asked = 0;
        int served = 0;
        for( const auto& it : results ) {
            const bool counts = it.poison == poison && it.sentAt >= from && it.sentAt < to;
            asked += counts ? 1 : 0;
            served += counts && it.status == 200 ? 1 : 0;
        }
        constexpr int fewest = 20;
        REQUIRE( asked >= fewest );
        return static_cast<double>( served ) / asked;
    }
    double servedShare() const { return servedShare( MonoTime{} ); }

    //! Checks the rules on requests with a part that crashes upstreams, and on those beside them.
    void checkPart( const std::string& part ) const {
        const auto& parts = world.record.parts();
        INFO( part << ": " << parts.crashes( part ) << " crashes, " << parts.lateArrivals( part )
                   << " late arrivals" );
        CHECK( parts.crashes( part ) > 0 );
        CHECK( parts.lateArrivals( part ) <= PartWatch::maxLateArrivals );
    }
    void checkOthersServed() const {
        constexpr double leastShare = 0.5;
        const auto from = world.record.parts().firstCrashAt() + 2 * soak::contactBound;
        CHECK( servedShare( from ) >= leastShare );
    }
    void check() const {
        checkPart( poisonPart );
        checkOthersServed();
    }

    //! Crashes engine `n` of the deployment; it starts again soon.
    void crashEngine( std::size_t n ) { world.runners( true )[n % engines]->crash(); }

    void kill( Process& process ) {
        process.down = true;
        process.misses = 2;
        process.child->signal( SIGKILL );
    }
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_PROMPT_LOAD_HPP_INCLUDED
