// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_COMMITTER_HPP_INCLUDED
#define COURSEHEAD_CONFIG_COMMITTER_HPP_INCLUDED

#include "coursehead/config/replica.hpp"
#include "coursehead/platform/store.hpp"

namespace coursehead::config {

//! The name of the head object.
inline constexpr std::string_view headName = "head";

enum class CommitStatus {
    committed,
    rejected,    //!< the change set is not valid; `error` has the reason
    conflict,    //!< a later revision than the base changed one of the same objects
    unavailable, //!< the store can't be reached and nothing was changed
    unknown,     //!< a write may have taken effect; the deadline passed before this was known
};

struct CommitResult {
    CommitStatus status = CommitStatus::unavailable;
    Revision revision = 0; //!< the new revision, when committed
    ConfigError error;
    std::string detail;
};

//! The store and the replica that a commit uses, and the clock for its deadline.
struct CommitContext {
    const platform::ObjectStore& store;
    Replica& replica;
    const Clock& clock;
};

/**
 * Commits a change set by one conditional update of the head object. When the response to the
 * update is lost, the head is read again and searched for the set's write id. `base` is the
 * revision that the operator has seen: when a later revision changed one of the same objects, the
 * result is a conflict.
 */
CommitResult commit( const CommitContext& context, const ChangeSet& set, Revision base,
                     MonoTime deadline );

//! Checks a change set against the replica's state without writing anything.
CommitResult dryRun( const State& state, const ChangeSet& set );

//! Returns a reader that loads snapshot objects from the store.
SnapshotReader snapshotReader( const platform::ObjectStore& store );

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_COMMITTER_HPP_INCLUDED
