// SPDX-License-Identifier: BSL-1.0
#include "coursehead/config/replica.hpp"

namespace coursehead::config {

bool Replica::offer( const Head& head, const SnapshotReader& snapshots ) {
    State probe = *state();
    const auto verdict = adopt( probe, head );
    if( verdict != HeadVerdict::needSnapshot ) {
        return move( head, std::nullopt );
    }
    auto base = head.snapshotRevision == 0 ? std::optional<State>( State{} )
                                           : snapshots( head.snapshotRevision );
    return base && move( head, base );
}

bool Replica::offer( const peer::ConfigNews& news ) {
    Head head;
    if( !fromText( news.head, head ) ) {
        ++m_stats.invalid;
        return false;
    }
    std::optional<State> base;
    if( !news.snapshot.empty() ) {
        base.emplace();
        if( !fromText( news.snapshot, *base ) ) {
            ++m_stats.invalid;
            return false;
        }
    }
    return move( head, base );
}

bool Replica::move( const Head& head, const std::optional<State>& base ) {
    std::shared_ptr<const State> moved;
    {
        const std::lock_guard lock( m_mutex );
        State next = base && base->revision > m_state->revision ? *base : *m_state;
        const bool ahead = head.revision > m_state->revision;
        const auto verdict = adopt( next, head );
        const bool complete = verdict == HeadVerdict::adopted || verdict == HeadVerdict::same;
        if( head.revision < m_state->revision ) {
            ++m_stats.olderDropped;
        }
        if( verdict == HeadVerdict::invalid ) {
            ++m_stats.invalid;
        }
        if( !ahead || !complete ) {
            return false;
        }
        m_head = head;
        m_state = std::make_shared<const State>( std::move( next ) );
        ++m_stats.adopted;
        moved = m_state;
    }
    if( m_listener ) {
        m_listener( *moved );
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

std::optional<peer::ConfigNews> Replica::newsFor( Revision revision ) const {
    const std::lock_guard lock( m_mutex );
    if( revision >= m_state->revision ) {
        return std::nullopt;
    }
    peer::ConfigNews out;
    out.revision = m_state->revision;
    const bool reaches = !m_head.tail.empty() && m_head.tail.front().revision <= revision + 1;
    Head brief = m_head;
    if( reaches ) {
        std::erase_if( brief.tail,
                       [revision]( const auto& it ) { return it.revision <= revision; } );
    } else {
        brief.tail.clear();
        out.snapshot = toText( *m_state );
    }
    out.head = toText( brief );
    return out;
}

void Replica::onChange( std::function<void( const State& state )> listener ) {
    m_listener = std::move( listener );
}

} // namespace coursehead::config
