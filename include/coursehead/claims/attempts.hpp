// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CLAIMS_ATTEMPTS_HPP_INCLUDED
#define COURSEHEAD_CLAIMS_ATTEMPTS_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "coursehead/peer/messages.hpp"

#include <cstdint>
#include <map>
#include <string>

//! Which attempts an agent has started, finished or barred. Decides "run it" against "never".
namespace coursehead::claims {

//! An attempt of a request.
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

//! True when the attempt may start now; it is then recorded as started. False when it was barred
//! or seen before.
bool start( AttemptTable& table, const AttemptId& id, MonoTime now );
//! The attempt had not reached the upstream and will not: as if it had been barred.
void withdraw( AttemptTable& table, const AttemptId& id, MonoTime now );
void finish( AttemptTable& table, const AttemptId& id, MonoTime now );
//! Bars the attempt unless it was started; says what it found.
peer::AttemptState bar( AttemptTable& table, const AttemptId& id, MonoTime now );
//! What is known of the attempt; changes nothing.
peer::AttemptState look( const AttemptTable& table, const AttemptId& id );
//! Forgets records that have not changed for `keep`; a started one is kept.
void forget( AttemptTable& table, MonoTime now, Millis keep );

} // namespace coursehead::claims

#endif // COURSEHEAD_CLAIMS_ATTEMPTS_HPP_INCLUDED
