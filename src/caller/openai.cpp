// SPDX-License-Identifier: BSL-1.0
#include "caller/openai.hpp"

#include "kernel/hash.hpp"

#include <nlohmann/json.hpp>

namespace coursehead::caller {

using Json = nlohmann::json;

namespace {

//! Bytes at the start of the prompt that are hashed as its cacheable prefix.
constexpr std::size_t prefixBytes = 256;

std::string dump( const Json& json ) {
    return json.dump( -1, ' ', false, Json::error_handler_t::replace );
}

Failure badRequestFailure( std::string message ) {
    return { Reason::badRequest, Outcome::notRun, std::move( message ), {}, 0 };
}

//! Returns the error of the first invalid field; empty when all fields are valid.
std::string fieldError( Api api, const Json& body ) {
    if( !body.contains( "model" ) || !body["model"].is_string() ) {
        return "field 'model': expected a string";
    }
    if( api == Api::chat && ( !body.contains( "messages" ) || !body["messages"].is_array() ||
                              body["messages"].empty() ) ) {
        return "field 'messages': expected a non-empty array";
    }
    if( api == Api::text && ( !body.contains( "prompt" ) || !body["prompt"].is_string() ) ) {
        return "field 'prompt': expected a string";
    }
    if( body.contains( "stream" ) && !body["stream"].is_boolean() ) {
        return "field 'stream' = " + dump( body["stream"] ) + ": expected true or false";
    }
    if( body.contains( "n" ) && body["n"] != 1 ) {
        return "field 'n' = " + dump( body["n"] ) + ": only 1 is supported";
    }
    if( body.contains( "user" ) && !body["user"].is_string() ) {
        return "field 'user': expected a string";
    }
    if( body.contains( "max_tokens" ) && !body["max_tokens"].is_number_unsigned() ) {
        return "field 'max_tokens' = " + dump( body["max_tokens"] ) +
               ": expected a whole number of at least 0";
    }
    return {};
}

//! Resolves a model's or an adapter's name; false when there is none.
bool resolve( const std::string& name, const config::State& state, CompletionRequest& out ) {
    std::string modelName = name;
    if( const auto* adapter = config::findByName( state.adapters, name ) ) {
        out.target.adapter = name;
        modelName = adapter->model;
    }
    const auto* model = config::findByName( state.models, modelName );
    if( model == nullptr ) {
        return false;
    }
    out.target.kind = peer::TargetKind::model;
    out.target.name = modelName;
    out.requestClass = model->requestClass;
    return true;
}

std::uint64_t prefixHashOf( Api api, const Json& body ) {
    const std::string prompt =
        api == Api::chat ? dump( body["messages"][0] ) : body["prompt"].get<std::string>();
    const auto hash = hash64( std::string_view( prompt ).substr( 0, prefixBytes ) );
    return hash == 0 ? 1 : hash;
}

std::string objectName( Api api, bool chunk ) {
    if( api == Api::text ) {
        return "text_completion";
    }
    return chunk ? "chat.completion.chunk" : "chat.completion";
}

Json envelope( const EnvelopeFields& envelopeFields, bool chunk ) {
    return Json{ { "id", envelopeFields.requestId },
                 { "object", objectName( envelopeFields.api, chunk ) },
                 { "created", envelopeFields.created },
                 { "model", envelopeFields.model } };
}

Json usage( const peer::RunDone& done ) {
    return Json{ { "prompt_tokens", done.promptTokens },
                 { "completion_tokens", done.completionTokens },
                 { "total_tokens", done.promptTokens + done.completionTokens } };
}

Json choice( const EnvelopeFields& envelopeFields, std::string_view text, const Json& finishReason,
             std::string_view chatField ) {
    Json out{ { "index", 0 }, { "finish_reason", finishReason } };
    if( envelopeFields.api == Api::text ) {
        out["text"] = text;
    } else {
        out[std::string( chatField )] = { { "role", "assistant" }, { "content", text } };
    }
    return out;
}

} // namespace

ParsedCompletion parseCompletion( Api api, std::string_view text, const config::State& state ) {
    ParsedCompletion out;
    const auto body = Json::parse( text, nullptr, false );
    if( !body.is_object() ) {
        out.failure = badRequestFailure( "the body is not a JSON object" );
        return out;
    }
    const auto error = fieldError( api, body );
    if( !error.empty() ) {
        out.failure = badRequestFailure( error );
        return out;
    }
    CompletionRequest request;
    const auto name = body["model"].get<std::string>();
    if( !resolve( name, state, request ) ) {
        out.failure = { Reason::notFound,
                        Outcome::notRun,
                        "field 'model' = '" + name + "': no such model or adapter",
                        {},
                        0 };
        return out;
    }
    request.api = api;
    request.stream = body.value( "stream", false );
    request.user = body.value( "user", "" );
    request.prefixHash = prefixHashOf( api, body );
    out.request = std::move( request );
    return out;
}

std::string textEvent( const EnvelopeFields& envelopeFields, std::string_view text,
                       std::string_view eventId ) {
    Json body = envelope( envelopeFields, true );
    body["choices"] = Json::array( { choice( envelopeFields, text, nullptr, "delta" ) } );
    std::string out = "id: ";
    out += eventId;
    return out + "\ndata: " + dump( body ) + "\n\n";
}

std::string finalEvents( const EnvelopeFields& envelopeFields, const peer::RunDone& done ) {
    Json body = envelope( envelopeFields, true );
    body["choices"] = Json::array( { choice( envelopeFields, "", done.finishReason, "delta" ) } );
    body["usage"] = usage( done );
    return "data: " + dump( body ) + "\n\ndata: [DONE]\n\n";
}

std::string failureEvent( const Failure& failure, std::string_view requestId ) {
    return "event: error\ndata: " + errorBody( failure, requestId ) + "\n\n";
}

std::string completionBody( const EnvelopeFields& envelopeFields, std::string_view text,
                            const peer::RunDone& done ) {
    Json body = envelope( envelopeFields, false );
    body["choices"] =
        Json::array( { choice( envelopeFields, text, done.finishReason, "message" ) } );
    body["usage"] = usage( done );
    return dump( body );
}

std::string modelsBody( const config::State& state ) {
    Json data = Json::array();
    for( const auto& it : state.models ) {
        data.push_back(
            { { "id", it.name }, { "object", "model" }, { "owned_by", "coursehead" } } );
    }
    for( const auto& it : state.adapters ) {
        data.push_back( { { "id", it.name },
                          { "object", "model" },
                          { "owned_by", "coursehead" },
                          { "parent", it.model } } );
    }
    return dump( Json{ { "object", "list" }, { "data", data } } );
}

} // namespace coursehead::caller
