// SPDX-License-Identifier: BSL-1.0
#include "coursehead/platform/watcher.hpp"

#include "coursehead/kernel/log.hpp"
#include "coursehead/platform/attempt.hpp"

#include <algorithm>

namespace coursehead::platform {

Watcher::Watcher( const ObjectStore& store, Topic topic, WatchSettings settings,
                  RandomSource& random, ObjectsHandler handler )
    : m_store( store ), m_topic( std::move( topic ) ), m_settings( settings ), m_random( random ),
      m_handler( std::move( handler ) ) {}

Watcher::~Watcher() {
    stop();
}

void Watcher::start() {
    m_thread = std::thread( [this] { run(); } );
}

void Watcher::stop() {
    {
        const std::lock_guard lock( m_mutex );
        m_stopping = true;
        m_changed.notify_all();
    }
    m_control.cancel();
    if( m_thread.joinable() ) {
        m_thread.join();
    }
}

bool Watcher::stopping() const {
    const std::lock_guard lock( m_mutex );
    return m_stopping;
}

bool Watcher::lastCallSucceeded() const {
    const std::lock_guard lock( m_mutex );
    return m_lastCallSucceeded;
}

void Watcher::run() {
    auto delay = m_settings.initialRetryDelay;
    bool listed = false;
    while( !stopping() ) {
        const bool ok = listed ? watchChanges() : list();
        {
            const std::lock_guard lock( m_mutex );
            m_lastCallSucceeded = ok;
        }
        if( ok ) {
            listed = true;
            delay = m_settings.initialRetryDelay;
            continue;
        }
        listed = false;
        waitBeforeRetry( delay );
        delay = std::min( delay * 2, m_settings.maxRetryDelay );
    }
}

bool Watcher::list() {
    auto listing = attempt( [this] { return m_store.list( m_topic ); } );
    if( !listing.ok ) {
        log::debug( "store_list_failed",
                    { { "kind", m_topic.kind }, { "detail", listing.error.detail } } );
        return false;
    }
    if( listing.value.version < m_version ) {
        log::warn( "store_stale_list_dropped", { { "kind", m_topic.kind } } );
        return false;
    }
    m_version = listing.value.version;
    m_objects.clear();
    for( auto& it : listing.value.objects ) {
        auto name = it.name;
        m_objects.emplace( std::move( name ), std::move( it ) );
    }
    m_handler( m_objects, m_version );
    return true;
}

bool Watcher::watchChanges() {
    bool ok = false;
    const auto error = attemptVoid(
        [this] {
            return m_store.watch(
                m_topic, m_version, m_settings.wait,
                [this]( const WatchEvent& event ) { return applyEvent( event ); }, m_control );
        },
        ok );
    if( !ok && !stopping() ) {
        log::debug( "store_watch_failed",
                    { { "kind", m_topic.kind }, { "detail", error.detail } } );
    }
    return ok;
}

bool Watcher::applyEvent( const WatchEvent& event ) {
    if( stopping() ) {
        return false;
    }
    m_version = std::max( m_version, event.object.version );
    if( event.type == EventType::bookmark ) {
        return true;
    }
    const auto found = m_objects.find( event.object.name );
    if( found != m_objects.end() && found->second.version > event.object.version ) {
        return true;
    }
    if( event.type == EventType::removed ) {
        m_objects.erase( event.object.name );
    } else {
        m_objects[event.object.name] = event.object;
    }
    m_handler( m_objects, m_version );
    return true;
}

void Watcher::waitBeforeRetry( Millis delay ) {
    const auto jittered =
        delay / 2 + Millis( m_random.below( static_cast<std::uint64_t>( delay.count() ) ) );
    std::unique_lock lock( m_mutex );
    m_changed.wait_for( lock, jittered, [this] { return m_stopping; } );
}

} // namespace coursehead::platform
