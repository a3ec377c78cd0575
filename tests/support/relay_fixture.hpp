// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_RELAY_FIXTURE_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_RELAY_FIXTURE_HPP_INCLUDED

#include "gateway/messages.hpp"
#include "sidecar/relay.hpp"
#include "support/object_store.hpp"
#include "support/run_until.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

namespace coursehead::support {

//! Specification of an upstream that holds no models.
inline nlohmann::json upstreamEntry( const std::string& state ) {
    return { { "service", "s" },
             { "address", "127.0.0.9:9" },
             { "zone", "hall" },
             { "version", "1" },
             { "slots", 4 },
             { "state", state },
             { "coldMs", 0 },
             { "sequence", 1 },
             { "models", nlohmann::json::array() } };
}

inline platform::NodeSettings settingsFor( const ObjectStore& store ) {
    platform::NodeSettings out;
    out.vm = "vm";
    out.store.ip = "127.0.0.1";
    out.store.port = store.port();
    out.bounds.drain = Millis( 600 );
    out.bounds.contact = Millis( 600 );
    return out;
}

//! A relay with one subscriber and a store on the same event loop.
struct RelayFixture {
    net::asio::io_context context{ 1 };
    ObjectStore store{ context };
    platform::NodeSettings settings = settingsFor( store );
    RandomSource random{ 1 };
    metrics::Metrics metrics;
    sidecar::Relay relay{ context, settings, random, metrics };
    std::vector<gateway::StoreUpdate> updates;

    void subscribe() {
        relay.subscribe( this, [this]( std::string_view message ) {
            const auto decoded = gateway::decode( message );
            REQUIRE( decoded );
            updates.push_back( std::get<gateway::StoreUpdate>( *decoded ) );
        } );
    }
    const gateway::StoreUpdate*
    find( const std::function<bool( const gateway::StoreUpdate& )>& predicate ) const {
        for( const auto& it : updates ) {
            if( predicate( it ) ) {
                return &it;
            }
        }
        return nullptr;
    }
    bool receives( const std::function<bool( const gateway::StoreUpdate& )>& predicate ) {
        return runUntil( context, [&] { return find( predicate ) != nullptr; } );
    }
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_RELAY_FIXTURE_HPP_INCLUDED
