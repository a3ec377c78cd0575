// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_PROMPT_GATE_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_PROMPT_GATE_HPP_INCLUDED

#include "decide/reading_queue.hpp"
#include "gateway/messages.hpp"
#include "gateway/prefix_cache.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

//! Which prompts an engine is sent, and when.
namespace coursehead::sidecar {

//! A prompt whose request waits for leave to be sent.
struct PromptRequest {
    std::uint64_t key = 0; //!< names it among all that ask
    std::string model;
    std::string adapter;
    gateway::PendingPrompt prompt;
    MonoTime since;    //!< when its request asked
    Millis limit{ 0 }; //!< from then on; it waits no longer
};

//! Leave for a prompt.
struct PromptLeave {
    std::uint64_t key = 0;
    double workMs = 0; //!< reading, less what the engine keeps of it
};

/**
 * Lets prompts through to one engine. All gateways ask here, so it knows which shared parts the
 * engine has read, in the order in which it reads them: of two prompts with the same part only the
 * first counts it.
 */
class PromptGate {
public:
    PromptGate() : m_prefixes( 0 ) {}

    //! `gapTarget`: the streams' one where reading has to leave room for it; else zero.
    void setEngine( std::int64_t cacheTokens, Millis gapTarget );
    //! Queues a prompt, or says when the engine could begin with it.
    decide::ReadingVerdict ask( const PromptRequest& ask, MonoTime now );
    //! Prompts that may be sent now.
    std::vector<PromptLeave> takeAdmitted( MonoTime now );
    //! Prompts that come too late for their requests by now.
    std::vector<std::uint64_t> takeExpired( MonoTime now );
    //! When takeAdmitted() has one; nullopt while none waits.
    std::optional<MonoTime> nextAt( MonoTime now ) const { return m_queue.nextAt( now ); }
    //! The request has no use for a prompt any more, queued or let through.
    void withdraw( std::uint64_t key, MonoTime now );
    //! The engine has this many prompts that it has not read whole, by its own report.
    void noteUnread( std::size_t prompts, MonoTime now );
    //! The engine has dropped a model, and what it kept of its prompts.
    void dropModel( const std::string& model ) { m_prefixes.dropModel( model ); }
    //! The engine has restarted.
    void clear();

    //! Until a prompt of the usual size would be begun.
    Millis usualWait( MonoTime now ) const { return m_queue.waitFor( m_usualWorkMs, now ); }
    std::size_t waiting() const noexcept { return m_queue.waiting(); }
    //! True while prompts wait or are taken to be read.
    bool busy( MonoTime now ) const { return m_queue.busy( now ); }

private:
    double workOf( const PromptRequest& ask ) const;

    decide::ReadingQueue m_queue;
    gateway::PrefixCache m_prefixes;
    std::int64_t m_cacheTokens = 0;
    std::map<std::uint64_t, PromptRequest> m_waiting; //!< by key
    double m_usualWorkMs = 0;                         //!< smoothed over those let through
    std::deque<MonoTime> m_leaves; //!< times of those that may still be on their way
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_PROMPT_GATE_HPP_INCLUDED
