// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLANNER_LEASE_HPP_INCLUDED
#define COURSEHEAD_PLANNER_LEASE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <string>

/**
 * The planner's lease, decided without comparing clocks of two machines: a rival may take the lease
 * over only after it has itself seen the lease object unchanged for the lease's whole length; the
 * holder counts from before it sent its last renewal, and stops itself earlier.
 */
namespace coursehead::planner {

//! What the lease object holds.
struct LeaseRecord {
    std::string holder;
    std::uint64_t epoch = 0; //!< goes up each time the lease changes hands
    std::uint64_t renewals = 0;
};

//! What one process knows about the lease.
struct LeaseView {
    std::string self;
    Millis length{ 6000 };
    bool known = false; //!< the object was read at least once
    bool exists = false;
    LeaseRecord record;
    std::uint64_t version = 0; //!< of the object
    MonoTime seenAt;           //!< when this version was first seen
    MonoTime renewedAt;        //!< when our last successful write was sent
    bool held = false;
};

enum class LeaseAction { wait, create, renew, takeOver };

//! Notes what a read returned.
void observe( LeaseView& view, bool exists, const LeaseRecord& record, std::uint64_t version,
              MonoTime now );
//! Notes a successful write of ours that was sent at `sentAt`.
void wrote( LeaseView& view, const LeaseRecord& record, std::uint64_t version, MonoTime sentAt );
//! What to do next.
LeaseAction nextAction( const LeaseView& view, MonoTime now );
//! The record that the action would write.
LeaseRecord nextRecord( const LeaseView& view, LeaseAction action );
//! True while we may act as the holder; to be asked before every act.
bool mayAct( const LeaseView& view, MonoTime now );

} // namespace coursehead::planner

#endif // COURSEHEAD_PLANNER_LEASE_HPP_INCLUDED
