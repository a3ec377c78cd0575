// SPDX-License-Identifier: BSL-1.0
#include "coursehead/config/replica.hpp"

namespace coursehead::config {

bool Replica::offer( const Head& head, const SnapshotReader& snapshots ) {
    State trialState = *state();
    const auto verdict = adopt( trialState, head );
    if( verdict != HeadVerdict::needSnapshot ) {
        return advance( head, std::nullopt );
    }
    auto base = head.snapshotRevision == 0 ? std::optional<State>( State{} )
                                           : snapshots( head.snapshotRevision );
    return base && advance( head, base );
}

bool Replica::offer( const peer::ConfigUpdate& update ) {
    Head head;
    if( !fromText( update.head, head ) ) {
        ++m_stats.invalid;
        return false;
    }
    std::optional<State> base;
    if( !update.snapshot.empty() ) {
        base.emplace();
        if( !fromText( update.snapshot, *base ) ) {
            ++m_stats.invalid;
            return false;
        }
    }
    return advance( head, base );
}

bool Replica::advance( const Head& head, const std::optional<State>& base ) {
    std::shared_ptr<const State> newState;
    {
        const std::lock_guard lock( m_mutex );
        State next = base && base->revision > m_state->revision ? *base : *m_state;
        const bool newer = head.revision > m_state->revision;
        const auto verdict = adopt( next, head );
        const bool complete = verdict == HeadVerdict::adopted || verdict == HeadVerdict::same;
        if( head.revision < m_state->revision ) {
            ++m_stats.olderHeadsIgnored;
        }
        if( verdict == HeadVerdict::invalid ) {
            ++m_stats.invalid;
        }
        if( !newer || !complete ) {
            return false;
        }
        m_head = head;
        m_state = std::make_shared<const State>( std::move( next ) );
        ++m_stats.adopted;
        newState = m_state;
    }
    if( m_listener ) {
        m_listener( *newState );
    }
    return true;
}

std::shared_ptr<const State> Replica::state() const {
    const std::lock_guard lock( m_mutex );
    return m_state;
}

Revision Replica::revision() const {
    const std::lock_guard lock( m_mutex );
    return m_state->revision;
}

std::optional<peer::ConfigUpdate> Replica::updateFor( Revision revision ) const {
    const std::lock_guard lock( m_mutex );
    if( revision >= m_state->revision ) {
        return std::nullopt;
    }
    peer::ConfigUpdate out;
    out.revision = m_state->revision;
    const bool tailReaches = !m_head.tail.empty() && m_head.tail.front().revision <= revision + 1;
    Head shortenedHead = m_head;
    if( tailReaches ) {
        std::erase_if( shortenedHead.tail,
                       [revision]( const auto& it ) { return it.revision <= revision; } );
    } else {
        shortenedHead.tail.clear();
        out.snapshot = toText( *m_state );
    }
    out.head = toText( shortenedHead );
    return out;
}

void Replica::onChange( std::function<void( const State& state )> listener ) {
    m_listener = std::move( listener );
}

} // namespace coursehead::config
