// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_EMULATED_ENGINE_HPP_INCLUDED
#define COURSEHEAD_REPLAY_EMULATED_ENGINE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <deque>
#include <vector>

//! A model engine in virtual time, for tests that replay a load against the functions that decide.
namespace coursehead::replay {

//! What an engine is built like; the figures are those of the users' largest deployment.
struct EngineShape {
    int slots = 64;
    int pieceTokens = 2048;        //!< of prompts that one step may read
    double readMsPerToken = 0.026; //!< 38.1 tokens in a millisecond
    double stepMs = 4.43;          //!< a step without any stream
    double stepMsPerStream = 0.25; //!< what each stream adds to it, with some thousand tokens each
    int tokensPerEvent = 9;
};

//! A request as the engine sees it.
struct EmulatedRequest {
    std::uint64_t key = 0;
    double arrivedMs = 0;            //!< at the gateway, since the start of the replay
    std::int64_t uncachedTokens = 0; //!< of the prompt, to be read
    int events = 0;                  //!< that its stream holds
};

//! How a stream went.
struct StreamRecord {
    std::uint64_t key = 0;
    double firstEventMs = 0; //!< since its arrival at the gateway
    double longestPauseMs = 0;
};

//! One engine: steps of a token for every stream, with a piece of the waiting prompts in between.
class EmulatedEngine {
public:
    explicit EmulatedEngine( EngineShape shape ) : m_shape( shape ) {}

    void send( const EmulatedRequest& request ) { m_queue.push_back( { request, 0, 0, 0, 0, 0 } ); }
    //! Runs until `untilMs`; streams that ended are added to `records`.
    void runUntil( double untilMs, std::vector<StreamRecord>& records );
    //! Prompts that are not read whole, as an engine's report tells.
    std::size_t unread() const;
    bool empty() const { return m_queue.empty() && m_running.empty(); }

private:
    struct Run {
        EmulatedRequest request;
        std::int64_t readTokens = 0;
        int tokens = 0; //!< made so far
        double firstEventAt = 0;
        double lastEventAt = 0;
        double longestPause = 0;
    };
    double step();
    void makeToken( Run& run );

    EngineShape m_shape;
    double m_now = 0;
    std::deque<Run> m_queue;
    std::vector<Run> m_running;
};

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_EMULATED_ENGINE_HPP_INCLUDED
