// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ENGINE_ENGINE_HPP_INCLUDED
#define COURSEHEAD_ENGINE_ENGINE_HPP_INCLUDED

#include "coursehead/http/client.hpp"
#include "coursehead/ledger/ledger.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

//! Client for the protocols of an upstream: the completions, orders and status of a model engine,
//! and the plain HTTP of a service.
namespace coursehead::engine {

//! A fencing token: an agent's epoch, and the order's number within it.
struct Token {
    std::uint64_t epoch = 0;
    ledger::OrderNumber number = 0;
};

//! The engine's status report.
struct Status {
    bool ok = false;
    Token applied; //!< highest token that the engine has seen (0 if it does not check tokens)
    std::vector<ledger::ReportedItem> items;
    std::vector<std::uint64_t> capacity; //!< bytes on each accelerator
};

enum class OrderOutcome {
    done,
    refused, //!< the order was not and will not be executed: not sent, or rejected
    unknown, //!< no answer, a broken one or a server error: the order may be executed
};

//! A generation to run.
struct Generation {
    std::string requestId;
    std::string path; //!< /v1/chat/completions or /v1/completions
    std::string body; //!< the caller's JSON
    std::string model;
    std::string version;
    std::string adapter;
    std::string prefix; //!< text already generated, after which the engine continues
    int priority = 0;
};

enum class GenerationEnd {
    complete,
    notSent,   //!< the request did not reach the engine
    rejected,  //!< the engine answered with an error status before generating
    cut,       //!< connection broken, engine silent too long, or an event of another request
    cancelled, //!< stopped by the caller of generate()
};

struct GenerationResult {
    GenerationEnd end = GenerationEnd::cut;
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    int status = 0;
    std::string detail;
    std::uint64_t crossed = 0; //!< events of other requests that were dropped
};

//! Receives a piece of generated text; returns false to cancel the generation.
using TextHandler = std::function<bool( std::string_view text )>;

//! The engine at a URL. Each function opens its own connection, so calls may run in parallel.
struct Endpoint {
    std::string url;
    Millis silenceTimeout{ 30000 }; //!< the longest wait for the next token
    Millis orderTimeout{ 60000 };   //!< the longest wait for the answer to an order
};

Status readStatus( const Endpoint& endpoint );
OrderOutcome sendOrder( const Endpoint& endpoint, const Token& token, const ledger::Order& order );
//! Makes an engine that checks tokens refuse every token earlier than this one.
OrderOutcome sendFence( const Endpoint& endpoint, const Token& token );
GenerationResult generate( const Endpoint& endpoint, const Generation& generation,
                           const TextHandler& handler );
//! Asks the engine to stop generating an answer that is no longer needed; best effort.
void cancel( const Endpoint& endpoint, std::string_view requestId );

//! Parses a stream of Server-Sent Events.
class EventReader {
public:
    //! Passes the data of each complete `data:` line to the handler, until the handler returns
    //! false. Returns false in that case.
    bool feed( std::string_view bytes,
               const std::function<bool( std::string_view data )>& handler );

private:
    std::string m_partial;
};

} // namespace coursehead::engine

#endif // COURSEHEAD_ENGINE_ENGINE_HPP_INCLUDED
