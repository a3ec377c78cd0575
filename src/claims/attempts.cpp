// SPDX-License-Identifier: BSL-1.0
#include "coursehead/claims/attempts.hpp"

namespace coursehead::claims {

using peer::AttemptState;

bool start( AttemptTable& table, const AttemptId& id, MonoTime now ) {
    return table.records.emplace( id, AttemptRecord{ AttemptState::started, now } ).second;
}

void withdraw( AttemptTable& table, const AttemptId& id, MonoTime now ) {
    table.records[id] = AttemptRecord{ AttemptState::barred, now };
}

void finish( AttemptTable& table, const AttemptId& id, MonoTime now ) {
    table.records[id] = AttemptRecord{ AttemptState::finished, now };
}

AttemptState bar( AttemptTable& table, const AttemptId& id, MonoTime now ) {
    const auto [it, inserted] =
        table.records.emplace( id, AttemptRecord{ AttemptState::barred, now } );
    return it->second.state;
}

AttemptState stateOf( const AttemptTable& table, const AttemptId& id ) {
    const auto it = table.records.find( id );
    return it == table.records.end() ? AttemptState::unseen : it->second.state;
}

void forget( AttemptTable& table, MonoTime now, Millis keep ) {
    std::erase_if( table.records, [now, keep]( const auto& it ) {
        return it.second.state != AttemptState::started && now - it.second.changed > keep;
    } );
}

} // namespace coursehead::claims
