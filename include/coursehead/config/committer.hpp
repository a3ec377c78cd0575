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
    rejected,    //!< the change set is not valid; see `error`
    conflict,    //!< another operator changed one of the same objects meanwhile
    unavailable, //!< the store can't be reached and nothing was changed
    unknown,     //!< the write's outcome could not be settled in time
};

struct CommitResult {
    CommitStatus status = CommitStatus::unavailable;
    Revision revision = 0; //!< the revision made, when committed
    ConfigError error;
    std::string detail;
};

//! Where a commit reads and writes, and the clock that bounds it.
struct CommitContext {
    const platform::ObjectStore& store;
    Replica& replica;
    const Clock& clock;
};

/**
 * Commits a change set by one conditional update of the head object. A lost answer is settled by
 * reading the head back and looking for the set's write id. `base` is the revision that the
 * operator looked at: a later change of the same object makes this one a conflict.
 */
CommitResult commit( const CommitContext& context, const ChangeSet& set, Revision base,
                     MonoTime deadline );

//! Checks a change set against the replica's state without writing anything.
CommitResult dryRun( const State& state, const ChangeSet& set );

//! Reads a snapshot object.
SnapshotReader snapshotReader( const platform::ObjectStore& store );

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_COMMITTER_HPP_INCLUDED
