// SPDX-License-Identifier: BSL-1.0
#include "coursehead/planner/lease.hpp"

namespace coursehead::planner {

namespace {

//! The holder stops acting this share of the lease length after its last renewal.
constexpr int stopNumerator = 2;
constexpr int stopDenominator = 3;
//! The holder renews after the lease length divided by this.
constexpr int renewDivisor = 4;

} // namespace

void observe( LeaseView& view, bool exists, const LeaseRecord& record, std::uint64_t version,
              MonoTime now ) {
    const bool changed = !view.known || view.exists != exists || view.version != version;
    view.known = true;
    view.exists = exists;
    view.record = record;
    view.version = version;
    if( changed ) {
        view.unchangedSince = now;
    }
    if( !exists || record.holder != view.self ) {
        view.held = false;
    }
}

void wrote( LeaseView& view, const LeaseRecord& record, std::uint64_t version, MonoTime sentAt ) {
    view.known = true;
    view.exists = true;
    view.record = record;
    view.version = version;
    view.unchangedSince = sentAt;
    view.renewedAt = sentAt;
    view.held = true;
}

LeaseAction nextAction( const LeaseView& view, MonoTime now ) {
    if( !view.known ) {
        return LeaseAction::wait;
    }
    if( !view.exists ) {
        return LeaseAction::create;
    }
    if( view.held && mayAct( view, now ) ) {
        return now - view.renewedAt >= view.length / renewDivisor ? LeaseAction::renew
                                                                  : LeaseAction::wait;
    }
    return now - view.unchangedSince >= view.length ? LeaseAction::takeOver : LeaseAction::wait;
}

LeaseRecord nextRecord( const LeaseView& view, LeaseAction action ) {
    LeaseRecord out = view.record;
    out.holder = view.self;
    ++out.renewals;
    if( action != LeaseAction::renew ) {
        ++out.epoch;
    }
    return out;
}

bool mayAct( const LeaseView& view, MonoTime now ) {
    return view.held && now - view.renewedAt < view.length * stopNumerator / stopDenominator;
}

} // namespace coursehead::planner
