// SPDX-License-Identifier: BSL-1.0
#include "coursehead/config/head.hpp"

#include "config/json.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace coursehead::config {

namespace leaf = boost::leaf;

std::string snapshotName( Revision revision ) {
    return "snapshot-" + std::to_string( revision );
}

HeadVerdict adopt( State& state, const Head& head ) {
    if( head.revision == state.revision ) {
        return HeadVerdict::same;
    }
    if( head.revision < state.revision ) {
        return HeadVerdict::older;
    }
    const bool tailReaches = !head.tail.empty() && head.tail.front().revision <= state.revision + 1;
    if( !tailReaches ) {
        return HeadVerdict::needSnapshot;
    }
    State next = state;
    for( const auto& it : head.tail ) {
        if( it.revision <= next.revision ) {
            continue;
        }
        const bool applied = leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_ASSIGN( next, apply( next, it.set ) );
                return next.revision == it.revision;
            },
            [] { return false; } );
        if( !applied ) {
            return HeadVerdict::invalid;
        }
    }
    if( next.revision != head.revision ) {
        return HeadVerdict::invalid;
    }
    state = std::move( next );
    return HeadVerdict::adopted;
}

Head append( const Head& head, ChangeSet set ) {
    Head next = head;
    ++next.revision;
    next.tail.push_back( TailEntry{ next.revision, std::move( set ) } );
    return next;
}

bool needsTrim( const Head& head ) {
    return head.tail.size() > maxTailEntries ||
           ( head.tail.size() > 1 && toText( head ).size() > maxHeadBytes );
}

Head trimTail( const Head& head, Revision storedRevision ) {
    Head next = head;
    next.snapshotRevision = storedRevision;
    const bool large = toText( head ).size() > maxHeadBytes;
    const std::size_t keep = large ? 1 : keptTailEntries;
    if( next.tail.size() > keep ) {
        next.tail.erase( next.tail.begin(), next.tail.end() - static_cast<std::ptrdiff_t>( keep ) );
    }
    return next;
}

const TailEntry* findWrite( const Head& head, std::string_view writeId ) {
    for( const auto& it : head.tail ) {
        if( it.set.writeId == writeId ) {
            return &it;
        }
    }
    return nullptr;
}

std::string toText( const Head& head ) {
    return nlohmann::json( head ).dump();
}

bool fromText( std::string_view text, Head& out ) {
    return Detail::parseInto( text, out );
}

std::string toText( const State& state ) {
    return nlohmann::json( state ).dump();
}

bool fromText( std::string_view text, State& out ) {
    return Detail::parseInto( text, out );
}

} // namespace coursehead::config
