// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CALLER_OPENAI_HPP_INCLUDED
#define COURSEHEAD_CALLER_OPENAI_HPP_INCLUDED

#include "coursehead/caller/failure.hpp"
#include "coursehead/config/state.hpp"
#include "coursehead/peer/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

//! The OpenAI-style shapes of requests and answers.
namespace coursehead::caller {

enum class Api { chat, text };

//! A completion request, checked.
struct CompletionRequest {
    Api api = Api::chat;
    peer::Target target;
    std::string requestClass;
    std::string user;
    bool stream = false;
    std::uint64_t prefixHash = 0; //!< of the prompt's start, for cache affinity
};

//! The request, or why it can't be served.
struct ParsedCompletion {
    std::optional<CompletionRequest> request;
    Failure failure;
};

//! Reads and checks a body against what is configured.
ParsedCompletion parseCompletion( Api api, std::string_view body, const config::State& state );

//! What names an answer in its events.
struct AnswerNames {
    Api api = Api::chat;
    std::string requestId;
    std::string model;
    std::int64_t created = 0; //!< seconds since the Unix epoch
};

//! One event of a stream with a piece of text; `eventId` resumes behind it.
std::string textEvent( const AnswerNames& names, std::string_view text, std::string_view eventId );
//! The last events of a whole stream.
std::string lastEvents( const AnswerNames& names, const peer::RunDone& done );
//! The event that ends a stream which could not be finished.
std::string failureEvent( const Failure& failure, std::string_view requestId );
//! The body of an answer that is not streamed.
std::string wholeBody( const AnswerNames& names, std::string_view text, const peer::RunDone& done );
//! The body of /v1/models.
std::string modelsBody( const config::State& state );

} // namespace coursehead::caller

#endif // COURSEHEAD_CALLER_OPENAI_HPP_INCLUDED
