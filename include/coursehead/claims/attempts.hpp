// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CLAIMS_ATTEMPTS_HPP_INCLUDED
#define COURSEHEAD_CLAIMS_ATTEMPTS_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "coursehead/peer/messages.hpp"

#include <cstdint>
#include <map>
#include <string>

//! The attempts that an agent has started, finished or barred. An attempt is either run once or
//! barred for good.
namespace coursehead::claims {

//! Identifies one attempt of a request.
struct AttemptId {
    std::string requestId;
    std::uint32_t attempt = 0;
    auto operator<=>( const AttemptId& ) const = default;
};

struct AttemptRecord {
    peer::AttemptState state = peer::AttemptState::started;
    MonoTime changed;
};

struct AttemptTable {
    std::map<AttemptId, AttemptRecord> records;
};

//! Records the attempt as started and returns true, unless it was barred or started before.
bool start( AttemptTable& table, const AttemptId& id, MonoTime now );
//! Bars a started attempt that has not reached the upstream and will not.
void withdraw( AttemptTable& table, const AttemptId& id, MonoTime now );
void finish( AttemptTable& table, const AttemptId& id, MonoTime now );
//! Bars the attempt unless it was started; returns its state after that.
peer::AttemptState bar( AttemptTable& table, const AttemptId& id, MonoTime now );
//! The recorded state of the attempt, or `unseen`.
peer::AttemptState stateOf( const AttemptTable& table, const AttemptId& id );
//! Removes records that have not changed for `keep`, except those of attempts still running.
void forget( AttemptTable& table, MonoTime now, Millis keep );

} // namespace coursehead::claims

#endif // COURSEHEAD_CLAIMS_ATTEMPTS_HPP_INCLUDED
