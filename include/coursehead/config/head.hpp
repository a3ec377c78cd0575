// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_HEAD_HPP_INCLUDED
#define COURSEHEAD_CONFIG_HEAD_HPP_INCLUDED

#include "coursehead/config/change.hpp"

#include <string>
#include <string_view>
#include <vector>

/**
 * The head object: the one object in the platform's store whose conditional update commits a
 * change. It names the latest revision and carries the latest change sets, so that a watch event
 * is all a reader needs; a snapshot object holds the state that the tail starts from.
 */
namespace coursehead::config {

//! A change set with the revision it made.
struct TailEntry {
    Revision revision = 0;
    ChangeSet set;
};

struct Head {
    Revision revision = 0;
    Revision snapshotRevision = 0; //!< 0: the empty state
    std::vector<TailEntry> tail;   //!< consecutive, the last one made `revision`
};

//! Entries kept in the tail when it is cut.
inline constexpr std::size_t tailKept = 32;
//! A tail longer than this, or a head larger than headBytes, is cut at the next commit.
inline constexpr std::size_t tailLimit = 64;
inline constexpr std::size_t headBytes = 256U << 10U;

std::string toText( const Head& head );
bool fromText( std::string_view text, Head& out );

//! The name of the snapshot object of a revision.
std::string snapshotName( Revision revision );

//! What a replica has to do with a head it was given.
enum class HeadVerdict {
    adopted,      //!< the state moved up to the head's revision
    same,         //!< nothing new
    older,        //!< the head is behind us: dropped
    needSnapshot, //!< the tail starts behind our revision; a snapshot is needed first
    invalid,      //!< a change does not apply: the head is damaged
};

//! Moves `state` up to the head's revision, or leaves it untouched.
HeadVerdict adopt( State& state, const Head& head );

//! The head after one more change set.
Head append( const Head& head, ChangeSet set );

//! True when the next commit should store a snapshot and cut the tail first.
bool wantsCut( const Head& head );
//! Keeps the last `tailKept` entries; `snapshotAt` is the revision of a state that was stored.
Head cut( const Head& head, Revision snapshotAt );

//! The tail entry with that write id, or nullptr.
const TailEntry* findWrite( const Head& head, std::string_view writeId );

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_HEAD_HPP_INCLUDED
