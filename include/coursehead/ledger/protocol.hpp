// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_LEDGER_PROTOCOL_HPP_INCLUDED
#define COURSEHEAD_LEDGER_PROTOCOL_HPP_INCLUDED

#include "coursehead/ledger/steps.hpp"

/**
 * The sequence in which an agent may act on its upstream: take an epoch, make sure that no earlier
 * order can still take effect, read the upstream's report, then send one order at a time. After an
 * order of unknown outcome, the fence and the report are repeated. Pure functions: the caller
 * carries out the instructions.
 */
namespace coursehead::ledger {

struct OrderProtocol {
    Ledger ledger;
    std::vector<std::uint64_t> capacity; //!< bytes on each accelerator
    bool checksOrders = false;           //!< the upstream refuses orders with older fencing tokens
    Millis lateness{ 0 };          //!< if it does not: longest delay until an order takes effect
    Millis reportInterval{ 5000 }; //!< how often the upstream's report is read
    std::uint64_t epoch = 0;       //!< 0: none taken yet
    MonoTime startedAt;            //!< when this process started
    MonoTime lastSent;             //!< when the latest order was sent
    MonoTime lastReport;
    bool fenced = false;  //!< no earlier order can take effect any more
    bool adopted = false; //!< the ledger was built from a decisive report
};

enum class InstructionKind {
    takeEpoch,
    fence,      //!< send a fence with number `number`
    readReport, //!< read the upstream's report of the items it holds
    wait,       //!< do nothing for the duration `wait`
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

//! Returns the next instruction. If it is an order, records it in the ledger.
Instruction nextInstruction( OrderProtocol& protocol, std::span<const Wanted> wanted,
                             std::span<const Usage> usage, const StepRules& rules, MonoTime now );

//! Starts a new epoch: earlier orders are no longer known to be fenced off.
void startEpoch( OrderProtocol& protocol, std::uint64_t epoch );
//! Records that the upstream acknowledged a fence.
void fenceAcknowledged( OrderProtocol& protocol );
//! Processes a report that was requested after every earlier instruction had ended.
void processReport( OrderProtocol& protocol, std::span<const ReportedItem> items, MonoTime now );
//! Records the result of an order that was sent at `sentAt`.
void orderEnded( OrderProtocol& protocol, OrderNumber number, OrderResult result, MonoTime sentAt );

//! True once the agent may send orders.
bool mayOrder( const OrderProtocol& protocol );
//! The rules with a minimum residency longer than the order lateness of an upstream that does not
//! check orders.
StepRules effectiveRules( const OrderProtocol& protocol, StepRules rules );

} // namespace coursehead::ledger

#endif // COURSEHEAD_LEDGER_PROTOCOL_HPP_INCLUDED
