// SPDX-License-Identifier: BSL-1.0
#include "coursehead/config/committer.hpp"

#include "coursehead/platform/attempt.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <thread>

namespace coursehead::config {

namespace leaf = boost::leaf;
using platform::Object;
using platform::StoreFailure;

namespace {

constexpr Millis retryDelay{ 50 };

//! The result of reading the head from the store.
struct HeadRead {
    bool ok = false;
    bool exists = false;
    Head head;
    std::uint64_t version = 0;
    std::string detail;
};

HeadRead readHead( const CommitContext& context ) {
    HeadRead out;
    const auto got =
        platform::attempt( [&] { return context.store.get( platform::configKind, headName ); } );
    if( !got.ok ) {
        out.ok = got.error.failure == StoreFailure::notFound;
        out.detail = got.error.detail;
        return out;
    }
    out.exists = true;
    out.version = got.value.version;
    out.ok = fromText( got.value.spec, out.head );
    out.detail = out.ok ? "" : "the head object is damaged";
    return out;
}

//! The outcome of one attempt to write the head.
enum class WriteOutcome { written, lostRace, notWritten, unknown };

WriteOutcome writeHead( const CommitContext& context, const HeadRead& read, const Head& next ) {
    Object object{ std::string( platform::configKind ), std::string( headName ), read.version,
                   toText( next ) };
    const auto writeResult = platform::attempt( [&] {
        return read.exists ? context.store.update( object ) : context.store.create( object );
    } );
    if( writeResult.ok ) {
        return WriteOutcome::written;
    }
    switch( writeResult.error.failure ) {
    case StoreFailure::conflict:
    case StoreFailure::notFound:
        return WriteOutcome::lostRace;
    case StoreFailure::unknown:
        return WriteOutcome::unknown;
    default:
        return WriteOutcome::notWritten;
    }
}

CommitResult rejected( ConfigError error ) {
    CommitResult out;
    out.status = CommitStatus::rejected;
    out.detail = describe( error );
    out.error = std::move( error );
    return out;
}

//! Computes the state at the head; false when it can't be rebuilt.
bool stateAt( const CommitContext& context, const Head& head, State& out ) {
    context.replica.offer( head, snapshotReader( context.store ) );
    out = *context.replica.state();
    return out.revision == head.revision;
}

//! Stores a snapshot and trims the tail when it is too long; returns the head unchanged when the
//! snapshot can't be stored.
Head trimTailIfLong( const CommitContext& context, const Head& head, const State& state ) {
    if( !needsTrim( head ) ) {
        return head;
    }
    const Object snapshot{ std::string( platform::configKind ), snapshotName( state.revision ), 0,
                           toText( state ) };
    const auto stored = platform::attempt( [&] { return context.store.create( snapshot ); } );
    const bool present = stored.ok || stored.error.failure == StoreFailure::conflict;
    return present ? trimTail( head, state.revision ) : head;
}

bool conflicts( const Head& head, const ChangeSet& set, Revision base ) {
    for( const auto& it : head.tail ) {
        if( it.revision > base && overlaps( it.set, set ) ) {
            return true;
        }
    }
    return false;
}

CommitResult committed( const CommitContext& context, const Head& head, Revision revision ) {
    context.replica.offer( head, snapshotReader( context.store ) );
    CommitResult out;
    out.status = CommitStatus::committed;
    out.revision = revision;
    return out;
}

//! One attempt to commit: read, validate, write. When `done` is false, it has to be repeated.
struct CommitAttempt {
    bool done = false;
    bool outcomeUnknown = false; //!< a write was sent and its outcome is unknown
    CommitResult result;
};

CommitAttempt attemptCommit( const CommitContext& context, const ChangeSet& set, Revision base,
                             bool outcomeUnknown ) {
    CommitAttempt out;
    out.outcomeUnknown = outcomeUnknown;
    const auto read = readHead( context );
    if( !read.ok ) {
        out.result.status = outcomeUnknown ? CommitStatus::unknown : CommitStatus::unavailable;
        out.result.detail = read.detail;
        return out;
    }
    if( const auto* ownEntry = findWrite( read.head, set.writeId ) ) {
        out.done = true;
        out.result = committed( context, read.head, ownEntry->revision );
        return out;
    }
    State state;
    if( !stateAt( context, read.head, state ) ) {
        out.result.detail = "the state at the head can't be rebuilt";
        return out;
    }
    if( conflicts( read.head, set, base ) ) {
        out.done = true;
        out.result.status = CommitStatus::conflict;
        out.result.detail = "another change of the same object was committed after revision " +
                            std::to_string( base );
        return out;
    }
    const auto checked = dryRun( state, set );
    if( checked.status != CommitStatus::committed ) {
        out.done = true;
        out.result = checked;
        return out;
    }
    const Head next = append( trimTailIfLong( context, read.head, state ), set );
    const auto outcome = writeHead( context, read, next );
    if( outcome == WriteOutcome::written ) {
        out.done = true;
        out.result = committed( context, next, next.revision );
    }
    out.outcomeUnknown = outcomeUnknown || outcome == WriteOutcome::unknown;
    out.result.detail = outcome == WriteOutcome::lostRace ? "lost a race" : "the write failed";
    if( !out.done ) {
        out.result.status = out.outcomeUnknown ? CommitStatus::unknown : CommitStatus::unavailable;
    }
    return out;
}

} // namespace

CommitResult dryRun( const State& state, const ChangeSet& set ) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<CommitResult> {
            BOOST_LEAF_AUTO( next, apply( state, set ) );
            CommitResult out;
            out.status = CommitStatus::committed;
            out.revision = next.revision;
            return out;
        },
        []( const ConfigError& error ) { return rejected( error ); },
        [] {
            return rejected( ConfigError{ Kind::model, "", "", "", "unclassified error" } );
        } );
}

CommitResult commit( const CommitContext& context, const ChangeSet& set, Revision base,
                     MonoTime deadline ) {
    CommitAttempt lastAttempt;
    do {
        lastAttempt = attemptCommit( context, set, base, lastAttempt.outcomeUnknown );
        if( lastAttempt.done ) {
            return lastAttempt.result;
        }
        std::this_thread::sleep_for( retryDelay );
    } while( context.clock.now() < deadline );
    return lastAttempt.result;
}

SnapshotReader snapshotReader( const platform::ObjectStore& store ) {
    return [&store]( Revision revision ) -> std::optional<State> {
        const auto got = platform::attempt(
            [&] { return store.get( platform::configKind, snapshotName( revision ) ); } );
        State out;
        if( !got.ok || !fromText( got.value.spec, out ) || out.revision != revision ) {
            return std::nullopt;
        }
        return out;
    };
}

} // namespace coursehead::config
