// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_READER_RULE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_READER_RULE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/**
 * Clients that read their answers slowly. It is designed for a load in which hundreds of clients of
 * one gateway take a byte a second, or nothing, while others read at once. The gateway reads on
 * from the upstreams into a bounded store, so that engines finish their answers at their own pace,
 * and cuts readers before the store is exceeded or an upstream cuts off an answer that is left
 * unread.
 */
namespace coursehead::decide {

//! Bounds on the bytes that a gateway holds for clients.
struct ReaderLimits {
    std::size_t answerBytes = 0; //!< for one answer
    std::size_t totalBytes = 0;  //!< for all answers together
    Millis idleTime{ 0 };        //!< a reader that takes no bytes for this long is cut
};

//! Limits of a gateway. `memoryBytes` is the memory limit of its vm, 0 if none is stated.
ReaderLimits readerLimits( std::uint64_t memoryBytes, Millis idleTime );

//! A client for which bytes are held.
struct ReaderState {
    std::size_t heldBytes = 0;
    MonoTime tookBytesAt;       //!< last time that the client acknowledged bytes
    MonoTime deadline;          //!< when the client stops waiting; default value: not known
    bool upstreamWaits = false; //!< its upstream has more of the answer, which is not read on
    std::size_t stepBytes = 0;  //!< acknowledged at `tookBytesAt`; 0: none since bytes are held
    Millis stepTime{ 0 };       //!< between that and the time of acknowledgement before
};

//! Why a reader is cut.
enum class ReaderCutCause {
    stalled,    //!< took no bytes for the idle time
    late,       //!< takes no bytes, and its deadline has passed
    answerFull, //!< takes no bytes, its answer is at its bound and the upstream waits for it
    totalFull,  //!< takes its answer slowest while the gateway is at its bound
};

std::string_view readerCutText( ReaderCutCause cause );

//! A reader that must be cut.
struct ReaderCut {
    std::size_t index = 0; //!< in the span of readers
    ReaderCutCause cause = ReaderCutCause::stalled;
};

/**
 * The readers to cut. `totalBytes` includes what is held for answers that no client has begun to
 * read. An answer that is held whole may wait for its client until its deadline, or until others
 * need the room.
 */
std::vector<ReaderCut> readersToCut( std::span<const ReaderState> readers, std::size_t totalBytes,
                                     const ReaderLimits& limits, MonoTime now );

//! True if more of an answer, of which `heldBytes` are held, may be read from its upstream. Always
//! true for a reader that has taken all bytes: slow readers must not delay it.
bool mayReadOn( std::size_t heldBytes, std::size_t totalBytes, const ReaderLimits& limits );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_READER_RULE_HPP_INCLUDED
