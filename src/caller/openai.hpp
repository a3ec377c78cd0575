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

//! Requests and responses in the format of the OpenAI API.
namespace coursehead::caller {

enum class Api { chat, text };

//! A completion request with valid fields.
struct CompletionRequest {
    Api api = Api::chat;
    peer::Target target;
    std::string requestClass;
    std::string user;
    bool stream = false;
    std::uint64_t prefixHash = 0; //!< hash of the prompt's start, for routing by cache affinity
};

//! The request, or the failure when the body is invalid.
struct ParsedCompletion {
    std::optional<CompletionRequest> request;
    Failure failure;
};

//! Parses a body and checks it against the configuration.
ParsedCompletion parseCompletion( Api api, std::string_view body, const config::State& state );

//! The fields that the body or all events of one answer share.
struct EnvelopeFields {
    Api api = Api::chat;
    std::string requestId;
    std::string model;
    std::int64_t created = 0; //!< seconds since the Unix epoch
};

//! One event of a stream with a piece of text; a caller that sends `eventId` resumes after it.
std::string textEvent( const EnvelopeFields& envelopeFields, std::string_view text,
                       std::string_view eventId );
//! The last events of a complete stream: finish reason, usage and [DONE].
std::string finalEvents( const EnvelopeFields& envelopeFields, const peer::RunDone& done );
//! The event that ends an incomplete stream.
std::string failureEvent( const Failure& failure, std::string_view requestId );
//! The body of a response that is not streamed.
std::string completionBody( const EnvelopeFields& envelopeFields, std::string_view text,
                            const peer::RunDone& done );
//! The body of /v1/models.
std::string modelsBody( const config::State& state );

} // namespace coursehead::caller

#endif // COURSEHEAD_CALLER_OPENAI_HPP_INCLUDED
