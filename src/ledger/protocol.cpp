// SPDX-License-Identifier: BSL-1.0
#include "coursehead/ledger/protocol.hpp"

#include <algorithm>

namespace coursehead::ledger {

namespace {

bool hasUnknown( const Ledger& ledger ) {
    return std::any_of( ledger.charges.begin(), ledger.charges.end(),
                        []( const auto& it ) { return it.state == ChargeState::unknown; } );
}

//! When the last order that may be unaccounted for can no longer take effect.
MonoTime quietAt( const OrderProtocol& protocol ) {
    const auto since = protocol.adopted ? protocol.lastSent : protocol.began;
    return since + protocol.lateness;
}

Instruction waitUntil( MonoTime now, MonoTime then ) {
    Instruction out;
    out.kind = InstructionKind::wait;
    out.wait = remaining( now, then ) + Millis{ 1 };
    return out;
}

Instruction plain( InstructionKind kind ) {
    Instruction out;
    out.kind = kind;
    return out;
}

//! The step towards being fenced: a fence, or a wait until old orders are too late.
Instruction towardsFenced( OrderProtocol& protocol, MonoTime now ) {
    if( protocol.checksOrders ) {
        auto out = plain( InstructionKind::fence );
        out.number = ++protocol.ledger.lastOrder;
        return out;
    }
    if( now < quietAt( protocol ) ) {
        return waitUntil( now, quietAt( protocol ) );
    }
    protocol.fenced = true;
    return plain( InstructionKind::readReport );
}

} // namespace

Instruction nextInstruction( OrderProtocol& protocol, std::span<const Wanted> wanted,
                             std::span<const Usage> usage, const StepRules& rules, MonoTime now ) {
    if( protocol.epoch == 0 ) {
        return plain( InstructionKind::takeEpoch );
    }
    if( !protocol.fenced ) {
        return towardsFenced( protocol, now );
    }
    const bool reportDue = !protocol.adopted || hasUnknown( protocol.ledger ) ||
                           now - protocol.lastReport >= protocol.reportInterval;
    if( reportDue ) {
        return plain( InstructionKind::readReport );
    }
    Instruction out;
    if( auto order =
            nextStep( protocol.ledger, wanted, usage, safeRules( protocol, rules ), now ) ) {
        out.kind = InstructionKind::order;
        out.order = std::move( *order );
    }
    return out;
}

void epochTaken( OrderProtocol& protocol, std::uint64_t epoch ) {
    protocol.epoch = epoch;
    protocol.fenced = false;
    protocol.adopted = false;
}

void fenceDone( OrderProtocol& protocol ) {
    protocol.fenced = true;
}

void reportRead( OrderProtocol& protocol, std::span<const ReportedItem> items, MonoTime now ) {
    protocol.lastReport = now;
    if( protocol.fenced && protocol.adopted ) {
        settle( protocol.ledger, items, protocol.ledger.lastOrder );
        return;
    }
    if( protocol.adopted ) {
        // An order of unknown outcome is still out: this report decides nothing.
        return;
    }
    // Not decisive before the fence: good for serving what is resident, not for giving orders.
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
        lose( protocol.ledger, number );
        protocol.fenced = false;
        return;
    }
}

bool mayOrder( const OrderProtocol& protocol ) {
    return protocol.epoch != 0 && protocol.adopted;
}

StepRules safeRules( const OrderProtocol& protocol, StepRules rules ) {
    if( !protocol.checksOrders ) {
        rules.minResidency = std::max( rules.minResidency, protocol.lateness + Millis{ 1 } );
    }
    return rules;
}

} // namespace coursehead::ledger
