// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_PROMPT_GATE_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_PROMPT_GATE_HPP_INCLUDED

#include "decide/reading_queue.hpp"
#include "gateway/choice/prefix_cache.hpp"
#include "gateway/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

//! Decides which prompts are sent to an engine, and when.
namespace coursehead::sidecar {

//! A prompt that waits to be admitted to the engine.
struct PromptRequest {
    std::uint64_t key = 0; //!< unique among the prompts of all gateways
    std::string model;
    std::string adapter;
    gateway::PendingPrompt prompt;
    MonoTime since;    //!< when the gateway's ensure request arrived
    Millis limit{ 0 }; //!< longest wait, counted from `since`
};

//! A prompt that may be sent now.
struct AdmittedPrompt {
    std::uint64_t key = 0;
    double workMs = 0; //!< reading time, without the parts that the engine has cached
};

//! A prompt that waited and is not admitted.
struct RefusedPrompt {
    std::uint64_t key = 0;
    decide::PromptRefusal refusal = decide::PromptRefusal::none;
    Millis wait{ 0 }; //!< time until the engine could start on it, if it were requested again
};

/**
 * Admits prompts to one engine. It sees the prompts of all gateways, so it knows which shared parts
 * the engine has read, and in which order: of two prompts with the same part only the first is
 * charged for reading it.
 */
class PromptGate {
public:
    PromptGate() : m_prefixes( 0 ) {}

    //! `gapTarget`: the streams' gap target when prompt reading has to be limited for it; else
    //! zero.
    void setEngine( std::int64_t cacheTokens, Millis gapTarget );
    //! Queues a prompt, or refuses it and returns when the engine could start to read it.
    decide::ReadingVerdict ask( const PromptRequest& request, MonoTime now );
    //! Removes and returns the prompts that may be sent now.
    std::vector<AdmittedPrompt> takeAdmitted( MonoTime now );
    //! Removes and returns the prompts that can no longer start in time, and those that others have
    //! displaced.
    std::vector<RefusedPrompt> takeRefused( MonoTime now );
    //! When takeAdmitted() will return the next prompt; nullopt while none waits.
    std::optional<MonoTime> nextAt( MonoTime now ) const { return m_queue.nextAt( now ); }
    //! Removes a prompt that its request no longer needs, queued or admitted.
    void withdraw( std::uint64_t key, MonoTime now );
    //! Takes from the engine's report how many prompts it has not read completely.
    void noteUnread( std::size_t prompts, MonoTime now );
    //! The engine has unloaded a model, and with it the cached parts of that model's prompts.
    void dropModel( const std::string& model ) { m_prefixes.dropModel( model ); }
    //! Drops all prompts and cached parts: the engine has restarted.
    void clear();

    //! Time until the engine would start to read a prompt of the usual size.
    Millis typicalWait( MonoTime now ) const { return m_queue.waitFor( m_typicalWorkMs, now ); }
    //! Number of prompts admitted so lately that the engine's last report may lack them.
    std::size_t unreported() const noexcept { return m_admissionTimes.size(); }
    std::size_t waiting() const noexcept { return m_queue.waiting(); }
    //! True while prompts wait, or by estimate are being read.
    bool busy( MonoTime now ) const { return m_queue.busy( now ); }

private:
    double uncachedWorkMs( const PromptRequest& request ) const;
    bool waitsOn( decide::ReadingRequest reading, MonoTime now );
    RefusedPrompt refuse( const decide::ReadingRequest& reading, decide::PromptRefusal refusal,
                          MonoTime now );

    decide::ReadingQueue m_queue;
    gateway::PrefixCache m_prefixes;
    std::int64_t m_cacheTokens = 0;
    std::map<std::uint64_t, PromptRequest> m_waiting; //!< by key
    double m_typicalWorkMs = 0;                       //!< smoothed over the admitted prompts
    //! Admission times of prompts that may not have reached the engine.
    std::deque<MonoTime> m_admissionTimes;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_PROMPT_GATE_HPP_INCLUDED
