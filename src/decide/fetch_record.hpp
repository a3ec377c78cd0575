// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_FETCH_RECORD_HPP_INCLUDED
#define COURSEHEAD_DECIDE_FETCH_RECORD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coursehead::decide {

//! A prompt that was sent to the engine with the instruction to fetch parts.
struct StartedFetch {
    std::uint64_t key = 0; //!< identifies the prompt among all requests
    std::string source;    //!< IP:PORT of the engine that has the parts
    Millis transfer{ 0 };
    Millis expected{ 0 }; //!< the transfer and the reading of the rest
    Millis readAll{ 0 };  //!< reading the whole prompt without the transfer
};

/**
 * The transfers of cached parts to one engine: how long its link is taken, and which sources gave
 * nothing. It guards against a source that has restarted, was cut off or has evicted the parts: the
 * engine then reads them after all, and each prompt that names this source is late.
 *
 * Engines do not say what they fetched. A prompt counts as not fetched if the engine needed as long
 * for it as for reading all of it, from the time when it had read the prompt before. Prompts of
 * which the transfer saves only a small part are not judged: running streams lengthen the reading
 * of the rest by as much.
 */
class FetchRecord {
public:
    //! Time until the transfers that are queued at the engine's link have ended.
    Millis queuedTransfers( MonoTime now ) const;
    bool failedLately( std::string_view source, MonoTime now ) const;
    //! A prompt was sent to the engine; each is recorded, also one that fetches nothing.
    void noteSent( std::uint64_t key, MonoTime now );
    //! The prompt that was sent last fetches parts.
    void noteFetch( StartedFetch fetch, MonoTime now );
    //! The prompt was not sent, or its client has disconnected: its time says nothing.
    void forget( std::uint64_t key );
    //! The engine has reported how many of the prompts that were sent it has not read completely.
    //! Returns the fetches that failed.
    std::vector<StartedFetch> noteUnread( std::size_t prompts, MonoTime now );
    //! The engine has restarted: nothing is under way.
    void clear();

private:
    struct Sent {
        std::uint64_t key = 0;
        MonoTime startsAt; //!< when the engine could begin with it
        StartedFetch fetch;
    };
    void noteFailure( const std::string& source, MonoTime now );

    std::deque<Sent> m_sent; //!< not read completely, in the order of the sends
    MonoTime m_linkBusyUntil;
    std::map<std::string, MonoTime, std::less<>> m_avoidUntil; //!< by source
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_FETCH_RECORD_HPP_INCLUDED
