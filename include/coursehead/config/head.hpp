// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_HEAD_HPP_INCLUDED
#define COURSEHEAD_CONFIG_HEAD_HPP_INCLUDED

#include "coursehead/config/change.hpp"

#include <string>
#include <string_view>
#include <vector>

/**
 * The head object: the one object in the platform's store whose conditional update commits a
 * change. It holds the latest revision and the latest change sets (the tail), so that a reader
 * that follows the watch needs no further read. A snapshot object holds a full state for readers
 * that are too far behind for the tail.
 */
namespace coursehead::config {

//! A change set and the revision that it produced.
struct TailEntry {
    Revision revision = 0;
    ChangeSet set;
};

struct Head {
    Revision revision = 0;
    Revision snapshotRevision = 0; //!< 0: the empty state
    std::vector<TailEntry> tail;   //!< consecutive revisions, the last is `revision`
};

//! Entries that remain in the tail when it is trimmed.
inline constexpr std::size_t keptTailEntries = 32;
//! The next commit trims a tail longer than this, or a head larger than maxHeadBytes.
inline constexpr std::size_t maxTailEntries = 64;
inline constexpr std::size_t maxHeadBytes = 256U << 10U;

std::string toText( const Head& head );
bool fromText( std::string_view text, Head& out );

//! The name of the snapshot object of a revision.
std::string snapshotName( Revision revision );

//! The result of applying a head to a replica's state.
enum class HeadVerdict {
    adopted,      //!< the state now has the head's revision
    same,         //!< the state has the head's revision already
    older,        //!< the head's revision is older than the state's: ignored
    needSnapshot, //!< the tail starts after the state's next revision: load a snapshot first
    invalid,      //!< a change set can't be applied: the head is damaged
};

//! Applies the tail to `state` up to the head's revision, or leaves `state` unchanged.
HeadVerdict adopt( State& state, const Head& head );

//! Returns the head with one more change set in its tail.
Head append( const Head& head, ChangeSet set );

//! True when the next commit should store a snapshot and trim the tail first.
bool needsTrim( const Head& head );
//! Trims the tail to the last `keptTailEntries` entries, or to one when the head is too large;
//! `storedRevision` is the revision of the stored snapshot.
Head trimTail( const Head& head, Revision storedRevision );

//! Returns the tail entry with that write id, or nullptr.
const TailEntry* findWrite( const Head& head, std::string_view writeId );

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_HEAD_HPP_INCLUDED
