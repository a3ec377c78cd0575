// SPDX-License-Identifier: BSL-1.0
#include "config/follower.hpp"

#include "coursehead/config/committer.hpp"
#include "coursehead/kernel/log.hpp"

namespace coursehead::config {

Follower::Follower( const platform::ObjectStore& store, platform::WatchSettings settings,
                    RandomSource& random, Replica& replica )
    : m_store( store ), m_replica( replica ),
      m_watcher( store, { std::string( platform::configKind ), std::string( headName ) }, settings,
                 random, [this]( const auto& objects, std::uint64_t ) { onObjects( objects ); } ) {}

void Follower::onObjects( const std::map<std::string, platform::Object>& objects ) {
    const auto found = objects.find( std::string( headName ) );
    if( found == objects.end() ) {
        return;
    }
    Head head;
    if( !fromText( found->second.spec, head ) ) {
        log::error( "config_head_damaged",
                    { { "version", static_cast<std::int64_t>( found->second.version ) } } );
        return;
    }
    if( m_replica.offer( head, snapshotReader( m_store ) ) ) {
        log::info( "config_adopted", { { "revision", static_cast<std::int64_t>( head.revision ) },
                                       { "source", "store" } } );
    }
}

} // namespace coursehead::config
