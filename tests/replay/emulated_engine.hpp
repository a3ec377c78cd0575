// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_EMULATED_ENGINE_HPP_INCLUDED
#define COURSEHEAD_REPLAY_EMULATED_ENGINE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "gateway/model.hpp"

#include <cstdint>
#include <deque>
#include <vector>

//! A model engine in virtual time, for tests that replay a load against the product's decisions.
namespace coursehead::replay {

//! Capacity and speed of an engine; the values are those of the users' largest deployment.
struct EngineParameters {
    int slots = 64;
    int chunkTokens = 2048;        //!< prompt tokens that one step may read
    double readMsPerToken = 0.026; //!< that is 38.1 tokens per millisecond
    double stepMs = 4.43;          //!< duration of a step without streams
    double stepMsPerStream = 0.25; //!< added by each stream, for streams of some thousand tokens
    int tokensPerEvent = 9;
};

//! A request as the engine receives it.
struct EmulatedRequest {
    std::uint64_t key = 0;
    double arrivedMs = 0;            //!< at the gateway, since the start of the replay
    std::int64_t uncachedTokens = 0; //!< prompt tokens to read
    int events = 0;                  //!< number of events in its stream
};

//! Timing of a finished stream.
struct StreamRecord {
    std::uint64_t key = 0;
    double firstEventMs = 0; //!< since its arrival at the gateway
    double longestPauseMs = 0;
};

//! One engine. Each step reads a chunk of the waiting prompts and generates a token for every
//! stream.
class EmulatedEngine {
public:
    explicit EmulatedEngine( EngineParameters parameters ) : m_parameters( parameters ) {}

    void send( const EmulatedRequest& request ) { m_queue.push_back( { request, 0, 0, 0, 0, 0 } ); }
    //! Runs until `untilMs` and adds the streams that ended to `records`.
    void runUntil( double untilMs, std::vector<StreamRecord>& records );
    //! Number of prompts that are not completely read, as in an engine's report.
    std::size_t unreadPrompts() const;
    //! The engine's report on its prompts and streams.
    gateway::EngineReport report() const;
    //! From now on everything takes `factor` times as long as by its parameters.
    void setSlowdown( double factor ) { m_slowdown = factor; }
    bool empty() const { return m_queue.empty() && m_running.empty(); }

private:
    struct Run {
        EmulatedRequest request;
        std::int64_t readTokens = 0;
        int tokens = 0; //!< generated so far
        double firstEventAt = 0;
        double lastEventAt = 0;
        double longestPause = 0;
    };
    double step();
    void generateToken( Run& run );

    EngineParameters m_parameters;
    double m_now = 0;
    double m_slowdown = 1;
    std::deque<Run> m_queue;
    std::vector<Run> m_running;
};

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_EMULATED_ENGINE_HPP_INCLUDED
