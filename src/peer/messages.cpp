// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/messages.hpp"

#include <nlohmann/json.hpp>

namespace coursehead::peer {

using Json = nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( Target, kind, name, adapter )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( RunRequest, requestId, attempt, incarnation, caller,
                                    requestClass, priority, target, deadlineMs, patienceMs, method,
                                    path, contentType, body, key, prefix, mayLoad, revision )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( RunAccepted, requestId, attempt )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( RunRefused, requestId, reason, retryAfterMs )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( RunChunk, requestId, offset, text )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( RunDone, requestId, length, finishReason, promptTokens,
                                    completionTokens, status, contentType, body )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( RunFailed, requestId, reason, mayHaveRun )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( JoinRequest, requestId, offset )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( BarRequest, requestId, attempt, incarnation, askOnly )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( BarAnswer, requestId, state )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( ClaimHolder, requestId, attempt, executor, incarnation )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( ClaimRequest, step, key, fingerprint, holder, outcome, status,
                                    contentType, body )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( ClaimAnswer, verdict, holder, status, contentType, body )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( Hello, vm, revision )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( ResidentItem, kind, name, version, ready )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( ModelDemand, model, arrivals )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( LoadReport, sequence, running, queued, revision, demand )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( AgentStatus, vm, hall, region, upstream, incarnation, sequence,
                                    draining, mayOrder, running, queued, capacity, serviceMs,
                                    accelerators, freeBytes, items, demand, revision )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( ConfigRequest, revision )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( ConfigUpdate, revision, head, snapshot )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( PlanTargets, epoch, planner, sequence, items, spares )

namespace {

constexpr std::size_t maxDepth = 8;

//! Parses CBOR without building values, and stops when the nesting is deeper than maxDepth.
class DepthCheck : public nlohmann::json_sax<Json> {
public:
    bool null() override { return true; }
    bool boolean( bool ) override { return true; }
    bool number_integer( number_integer_t ) override { return true; }
    bool number_unsigned( number_unsigned_t ) override { return true; }
    bool number_float( number_float_t, const string_t& ) override { return true; }
    bool string( string_t& ) override { return true; }
    bool binary( binary_t& ) override { return true; }
    bool start_object( std::size_t ) override { return ++m_depth <= maxDepth; }
    bool key( string_t& ) override { return true; }
    bool end_object() override { return closeContainer(); }
    bool start_array( std::size_t ) override { return ++m_depth <= maxDepth; }
    bool end_array() override { return closeContainer(); }
    bool parse_error( std::size_t, const std::string&,
                      const nlohmann::detail::exception& ) override {
        return false;
    }

private:
    bool closeContainer() {
        --m_depth;
        return true;
    }
    std::size_t m_depth = 0;
};

template <std::size_t N>
void decodeBody( const Json& body, std::size_t type, Decoded& out ) {
    if constexpr( N < std::variant_size_v<Message> ) {
        if( type == N ) {
            out.message = body.get<std::variant_alternative_t<N, Message>>();
            out.ok = true;
            return;
        }
        decodeBody<N + 1>( body, type, out );
    } else {
        out.error.detail = "unknown message type " + std::to_string( type );
    }
}

Decoded failure( std::string detail ) {
    Decoded out;
    out.error.detail = std::move( detail );
    return out;
}

} // namespace

std::string encode( const Message& message ) {
    Json out = Json::array( { message.index() } );
    std::visit( [&out]( const auto& it ) { out.push_back( it ); }, message );
    std::string bytes;
    Json::to_cbor( out, bytes );
    return bytes;
}

Decoded decode( std::string_view bytes ) {
    try {
        DepthCheck check;
        if( !Json::sax_parse( bytes, &check, Json::input_format_t::cbor ) ) {
            return failure( "not CBOR, or nested too deeply" );
        }
        const Json parsed = Json::from_cbor( bytes );
        if( !parsed.is_array() || parsed.size() != 2 || !parsed[0].is_number_unsigned() ) {
            return failure( "not an array of a type and a body" );
        }
        Decoded out;
        decodeBody<0>( parsed[1], parsed[0].get<std::size_t>(), out );
        return out;
    } catch( const Json::exception& ex ) {
        return failure( ex.what() );
    }
}

} // namespace coursehead::peer
