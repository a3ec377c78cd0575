// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_PROMPT_GATE_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_PROMPT_GATE_HPP_INCLUDED

#include "decide/fetch_record.hpp"
#include "decide/part_fetch.hpp"
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
    MonoTime since;         //!< when the gateway's ensure request arrived
    Millis limit{ 0 };      //!< longest wait, counted from `since`
    bool returning = false; //!< the client came back at the time that it was told
};

//! How an engine comes to a prompt's parts, and how long that takes.
struct ReadingPlan {
    double workMs = 0;    //!< reading time without cached parts, and the transfer if there is one
    double readAllMs = 0; //!< reading time without cached parts if nothing is fetched
    decide::FetchDecision decision = decide::FetchDecision::noTokens;
    std::int64_t fetchTokens = 0; //!< cached at the engine that the prompt names and not here
    Millis transfer{ 0 };         //!< time to fetch them

    bool fetches() const { return decision == decide::FetchDecision::fetch; }
};

//! A prompt that may be sent now.
struct AdmittedPrompt {
    std::uint64_t key = 0;
    double workMs = 0; //!< reading time, without the parts that the engine has cached
    ReadingPlan plan;
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
    //! Sets the link over which the engine may fetch parts; one that is not usable: it fetches
    //! none.
    void setPartLink( decide::PartLink link ) { m_partLink = link; }
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
    //! Takes from the engine's report how many prompts it has not read completely. Returns the
    //! transfers of parts that failed.
    std::vector<decide::StartedFetch> noteUnread( std::size_t prompts, MonoTime now );
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

    //! Time to read the parts of a prompt that the engine has not cached.
    double uncachedWorkMs( const PromptRequest& request ) const;
    bool waitsOn( decide::ReadingRequest reading, MonoTime now );
    RefusedPrompt refuse( const decide::ReadingRequest& reading, decide::PromptRefusal refusal,
                          MonoTime now );

private:
    //! Decides whether the engine fetches parts that the prompt's request says another one has.
    ReadingPlan planFor( const PromptRequest& request, MonoTime now ) const;
    //! The plan at the time of admission: the engine may have got the parts meanwhile.
    ReadingPlan planAtAdmission( const PromptRequest& request, ReadingPlan plan ) const;
    std::int64_t cachedTokens( const PromptRequest& request ) const;
    std::int64_t uncachedTokens( const PromptRequest& request ) const;

    decide::ReadingQueue m_queue;
    gateway::PrefixCache m_prefixes;
    std::int64_t m_cacheTokens = 0;
    struct Waiting {
        PromptRequest request;
        ReadingPlan plan;
    };
    std::map<std::uint64_t, Waiting> m_waiting; //!< by key
    decide::PartLink m_partLink;
    decide::FetchRecord m_fetches;
    double m_typicalWorkMs = 0; //!< smoothed over the admitted prompts
    //! Admission times of prompts that may not have reached the engine.
    std::deque<MonoTime> m_admissionTimes;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_PROMPT_GATE_HPP_INCLUDED
