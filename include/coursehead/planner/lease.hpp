// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLANNER_LEASE_HPP_INCLUDED
#define COURSEHEAD_PLANNER_LEASE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <string>

/**
 * The planner's lease, which does not depend on comparing the clocks of two VMs. Another process
 * may take over the lease only after it has itself seen the lease object unchanged for the full
 * length of the lease. The holder counts from the time before it sent its last renewal and stops
 * acting earlier than that.
 */
namespace coursehead::planner {

//! The contents of the lease object.
struct LeaseRecord {
    std::string holder;
    std::uint64_t epoch = 0; //!< increased each time a process takes the lease
    std::uint64_t renewals = 0;
};

//! One process's knowledge of the lease.
struct LeaseView {
    std::string self;
    Millis length{ 6000 };
    bool known = false; //!< the object was read at least once
    bool exists = false;
    LeaseRecord record;
    std::uint64_t version = 0; //!< of the object
    MonoTime unchangedSince;   //!< when this version was first seen
    MonoTime renewedAt;        //!< when the last successful write of this process was sent
    bool held = false;
};

enum class LeaseAction { wait, create, renew, takeOver };

//! Records the result of reading the lease object.
void observe( LeaseView& view, bool exists, const LeaseRecord& record, std::uint64_t version,
              MonoTime now );
//! Records a successful write by this process that was sent at `sentAt`.
void wrote( LeaseView& view, const LeaseRecord& record, std::uint64_t version, MonoTime sentAt );
//! The next action of this process on the lease.
LeaseAction nextAction( const LeaseView& view, MonoTime now );
//! The record to write for `action`.
LeaseRecord nextRecord( const LeaseView& view, LeaseAction action );
//! True while this process may act as the holder; to be checked before every action.
bool mayAct( const LeaseView& view, MonoTime now );

} // namespace coursehead::planner

#endif // COURSEHEAD_PLANNER_LEASE_HPP_INCLUDED
