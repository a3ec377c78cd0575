// SPDX-License-Identifier: BSL-1.0
#include "coursehead/ledger/protocol.hpp"

#include <algorithm>

namespace coursehead::ledger {

namespace {

bool hasUnknownCharge( const Ledger& ledger ) {
    return std::any_of( ledger.charges.begin(), ledger.charges.end(),
                        []( const auto& it ) { return it.state == ChargeState::unknown; } );
}

//! The time from which no earlier order can still take effect: the order lateness after the latest
//! order sent, or, before a decisive report in this epoch, after the start of this process.
MonoTime earlierOrdersExpireAt( const OrderProtocol& protocol ) {
    const auto since = protocol.adopted ? protocol.lastSent : protocol.startedAt;
    return since + protocol.lateness;
}

Instruction waitUntil( MonoTime now, MonoTime then ) {
    Instruction out;
    out.kind = InstructionKind::wait;
    out.wait = remaining( now, then ) + Millis{ 1 };
    return out;
}

Instruction makeInstruction( InstructionKind kind ) {
    Instruction out;
    out.kind = kind;
    return out;
}

//! The next instruction while earlier orders may still take effect: a fence for an upstream that
//! checks orders, otherwise a wait until earlier orders are too late to be executed.
Instruction nextFencingStep( OrderProtocol& protocol, MonoTime now ) {
    if( protocol.checksOrders ) {
        auto out = makeInstruction( InstructionKind::fence );
        out.number = ++protocol.ledger.lastOrder;
        return out;
    }
    if( now < earlierOrdersExpireAt( protocol ) ) {
        return waitUntil( now, earlierOrdersExpireAt( protocol ) );
    }
    protocol.fenced = true;
    return makeInstruction( InstructionKind::readReport );
}

} // namespace

Instruction nextInstruction( OrderProtocol& protocol, std::span<const Wanted> wanted,
                             std::span<const Usage> usage, const StepRules& rules, MonoTime now ) {
    if( protocol.epoch == 0 ) {
        return makeInstruction( InstructionKind::takeEpoch );
    }
    if( !protocol.fenced ) {
        return nextFencingStep( protocol, now );
    }
    const bool reportDue = !protocol.adopted || hasUnknownCharge( protocol.ledger ) ||
                           now - protocol.lastReport >= protocol.reportInterval;
    if( reportDue ) {
        return makeInstruction( InstructionKind::readReport );
    }
    Instruction out;
    if( auto order =
            nextStep( protocol.ledger, wanted, usage, effectiveRules( protocol, rules ), now ) ) {
        out.kind = InstructionKind::order;
        out.order = std::move( *order );
    }
    return out;
}

void startEpoch( OrderProtocol& protocol, std::uint64_t epoch ) {
    protocol.epoch = epoch;
    protocol.fenced = false;
    protocol.adopted = false;
}

void fenceAcknowledged( OrderProtocol& protocol ) {
    protocol.fenced = true;
}

void processReport( OrderProtocol& protocol, std::span<const ReportedItem> items, MonoTime now ) {
    protocol.lastReport = now;
    if( protocol.fenced && protocol.adopted ) {
        reconcile( protocol.ledger, items, protocol.ledger.lastOrder );
        return;
    }
    if( protocol.adopted ) {
        // An order of unknown outcome may still take effect, so this report is not decisive.
        return;
    }
    // A report read before the fence is not decisive: it shows which resident items can serve
    // requests, but no orders may be based on it.
    const auto number = protocol.ledger.lastOrder;
    protocol.ledger = adopt( protocol.capacity, items );
    protocol.ledger.lastOrder = number;
    protocol.adopted = protocol.fenced;
}

void orderEnded( OrderProtocol& protocol, OrderNumber number, OrderResult result,
                 MonoTime sentAt ) {
    protocol.lastSent = std::max( protocol.lastSent, sentAt );
    switch( result ) {
    case OrderResult::done:
        confirm( protocol.ledger, number );
        return;
    case OrderResult::refused:
        withdraw( protocol.ledger, number );
        protocol.lastReport = MonoTime{};
        return;
    case OrderResult::unknown:
        markUnknown( protocol.ledger, number );
        protocol.fenced = false;
        return;
    }
}

bool mayOrder( const OrderProtocol& protocol ) {
    return protocol.epoch != 0 && protocol.adopted;
}

StepRules effectiveRules( const OrderProtocol& protocol, StepRules rules ) {
    if( !protocol.checksOrders ) {
        rules.minResidency = std::max( rules.minResidency, protocol.lateness + Millis{ 1 } );
    }
    return rules;
}

} // namespace coursehead::ledger
