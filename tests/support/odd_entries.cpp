// SPDX-License-Identifier: BSL-1.0
#include "support/odd_entries.hpp"

namespace coursehead::support {

namespace {

constexpr std::size_t nestedLevels = 400000;

//! An entry of a plain upstream that nothing listens for.
nlohmann::json absentUpstream() {
    return { { "service", "plain" }, { "address", "127.0.0.1:9" },
             { "zone", "hall-0" },   { "version", "v1" },
             { "slots", 8 },         { "state", "ready" },
             { "coldMs", 0 },        { "sequence", 1 } };
}

} // namespace

void putOddEntries( ObjectStore& store ) {
    const auto huge = withField( absentUpstream(), "slots", hugeNumbers().front() );
    for( const auto& name : oddNames() ) {
        for( const std::string prefix : { "", "i", "z" } ) {
            store.putText( "servers", prefix + name, objectText( quoted( prefix + name ), huge ) );
        }
    }
    const std::vector<std::string> specifications{
        withField( absentUpstream(), "other", nested( nestedLevels ) ),
        withField( absentUpstream(), "address", "\"127.0.0.1:99999\"" ),
        withField( absentUpstream(), "address", "\"127.0.0.1:-1\"" ),
        withField( absentUpstream(), "born", "1e400" ),
        withField( absentUpstream(), "zone", "\"\xff\"" ),
    };
    for( std::size_t n = 0; n < specifications.size(); ++n ) {
        const auto name = quoted( "odd-" + std::to_string( n ) );
        store.putText( "servers", "odd-" + std::to_string( n ),
                       objectText( name, specifications[n] ) );
    }
    for( const std::string kind : { "config", "quarantines", "evacuations" } ) {
        store.putText( kind, "a &", objectText( quoted( "a &" ), huge ) );
    }
}

} // namespace coursehead::support
