// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_LEDGER_PROTOCOL_HPP_INCLUDED
#define COURSEHEAD_LEDGER_PROTOCOL_HPP_INCLUDED

#include "coursehead/ledger/steps.hpp"

/**
 * The order in which an agent may act on its upstream: take an epoch, make sure that no earlier
 * order can still take effect, read the upstream's report, then one order at a time; after an order
 * of unknown outcome, the same again. Pure: the caller carries the instructions out.
 */
namespace coursehead::ledger {

struct OrderProtocol {
    Ledger ledger;
    std::vector<std::uint64_t> capacity; //!< bytes of each accelerator
    bool checksOrders = false;           //!< the upstream refuses older fencing tokens
    Millis lateness{ 0 };                //!< otherwise: the latest an order can still take effect
    Millis reportInterval{ 5000 };       //!< how often the upstream's report is compared
    std::uint64_t epoch = 0;             //!< 0: none taken yet
    MonoTime began;                      //!< when this process began
    MonoTime lastSent;                   //!< when the latest order was sent
    MonoTime lastReport;
    bool fenced = false;  //!< no earlier order can take effect any more
    bool adopted = false; //!< the ledger stands on a decisive report
};

enum class InstructionKind {
    takeEpoch,
    fence,      //!< send a fence with number `number`
    readReport, //!< ask the upstream what it holds
    wait,       //!< nothing may be done before `wait` is over
    order,      //!< send `order`
    idle,       //!< nothing to do
};

struct Instruction {
    InstructionKind kind = InstructionKind::idle;
    OrderNumber number = 0;
    Millis wait{ 0 };
    Order order;
};

enum class OrderResult { done, refused, unknown };

//! What to do next.
Instruction nextInstruction( OrderProtocol& protocol, std::span<const Wanted> wanted,
                             std::span<const Usage> usage, const StepRules& rules, MonoTime now );

void epochTaken( OrderProtocol& protocol, std::uint64_t epoch );
//! The upstream acknowledged a fence.
void fenceDone( OrderProtocol& protocol );
//! A report that was asked for after everything before it had ended.
void reportRead( OrderProtocol& protocol, std::span<const ReportedItem> items, MonoTime now );
//! An order ended. `sentAt` is when it went out.
void orderEnded( OrderProtocol& protocol, OrderNumber number, OrderResult result, MonoTime sentAt );

//! True once the agent gives orders.
bool mayOrder( const OrderProtocol& protocol );
//! The rules with the residency that the upstream's lateness asks for.
StepRules safeRules( const OrderProtocol& protocol, StepRules rules );

} // namespace coursehead::ledger

#endif // COURSEHEAD_LEDGER_PROTOCOL_HPP_INCLUDED
