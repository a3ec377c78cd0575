// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ENGINE_ENGINE_HPP_INCLUDED
#define COURSEHEAD_ENGINE_ENGINE_HPP_INCLUDED

#include "coursehead/http/client.hpp"
#include "coursehead/ledger/ledger.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

//! The upstream's published protocols: a model engine's completions, orders and status, and a plain
//! service's HTTP.
namespace coursehead::engine {

//! A fencing token: an agent's epoch, and the order's number within it.
struct Token {
    std::uint64_t epoch = 0;
    ledger::OrderNumber number = 0;
};

//! What the engine reports about itself.
struct Status {
    bool ok = false;
    Token applied; //!< the highest token it has seen (0 when it does not check tokens)
    std::vector<ledger::ReportedItem> items;
    std::vector<std::uint64_t> capacity; //!< bytes of each accelerator
};

enum class OrderOutcome {
    done,
    refused, //!< the engine said that it did not and will not act
    unknown, //!< no answer, or none that can be trusted
};

//! A generation to run.
struct Generation {
    std::string requestId;
    std::string path; //!< /v1/chat/completions or /v1/completions
    std::string body; //!< the caller's JSON
    std::string model;
    std::string version;
    std::string adapter;
    std::string prefix; //!< text to continue behind
    int priority = 0;
};

enum class GenerationEnd {
    complete,
    notSent,   //!< the engine never saw it
    rejected,  //!< the engine answered with an error before any work
    cut,       //!< broken, silent for too long, or its answer was not this request's
    cancelled, //!< we stopped it
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

//! Takes a piece of text; false cancels the generation.
using TextHandler = std::function<bool( std::string_view text )>;

//! One engine behind a URL. The functions open a connection of their own and may run in parallel.
struct Endpoint {
    std::string url;
    Millis silence{ 30000 };       //!< the longest wait for the next token
    Millis orderPatience{ 60000 }; //!< the longest wait for an order's answer
};

Status readStatus( const Endpoint& endpoint );
OrderOutcome sendOrder( const Endpoint& endpoint, const Token& token, const ledger::Order& order );
//! Makes every earlier token invalid at an engine that checks them.
OrderOutcome sendFence( const Endpoint& endpoint, const Token& token );
GenerationResult generate( const Endpoint& endpoint, const Generation& generation,
                           const TextHandler& handler );
//! Tells the engine that an answer is no longer wanted; best effort.
void cancel( const Endpoint& endpoint, std::string_view requestId );

//! Reads the Server-Sent Events of a stream: hands over the data of each event.
class EventReader {
public:
    //! False when the handler asked to stop.
    bool feed( std::string_view bytes,
               const std::function<bool( std::string_view data )>& handler );

private:
    std::string m_partial;
};

} // namespace coursehead::engine

#endif // COURSEHEAD_ENGINE_ENGINE_HPP_INCLUDED
