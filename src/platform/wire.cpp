// SPDX-License-Identifier: BSL-1.0
#include "platform/wire.hpp"

#include "platform/json_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace coursehead::platform {

namespace {

using Json = nlohmann::json;
using gateway::EngineReport;

constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusAccepted = 202;
constexpr unsigned statusOk = 200;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusPrecondition = 412;

constexpr std::int64_t minInt64 = std::numeric_limits<std::int64_t>::min();
constexpr std::int64_t maxInt64 = std::numeric_limits<std::int64_t>::max();

std::vector<gateway::Resident> readResidents( const Json& in ) {
    std::vector<gateway::Resident> out;
    if( !in.is_array() ) {
        return out;
    }
    for( const auto& it : in ) {
        gateway::Resident resident;
        resident.model = it.at( "name" ).get<std::string>();
        for( const auto& adapter : it.value( "adapters", Json::array() ) ) {
            resident.adapters.push_back( adapter.is_object()
                                             ? adapter.at( "name" ).get<std::string>()
                                             : adapter.get<std::string>() );
        }
        out.push_back( std::move( resident ) );
    }
    return out;
}

std::vector<std::string> readNames( const Json& in ) {
    std::vector<std::string> out;
    if( !in.is_array() ) {
        return out;
    }
    for( const auto& it : in ) {
        out.push_back( it.is_object() ? it.at( "name" ).get<std::string>()
                                      : it.get<std::string>() );
    }
    return out;
}

//! Reads the adapters being loaded, given as MODEL/NAME@VERSION; drops the version.
std::vector<std::string> readLoadingAdapters( const Json& in ) {
    auto out = readNames( in );
    for( auto& it : out ) {
        it.resize( std::min( it.size(), it.find( '@' ) ) );
    }
    return out;
}

//! Reads runs, each given as [id, tokens in memory, number of events, priority].
std::vector<gateway::EngineRun> readRuns( const Json& in ) {
    constexpr std::size_t idIndex = 0;
    constexpr std::size_t eventsIndex = 2;
    std::vector<gateway::EngineRun> out;
    if( !in.is_array() ) {
        return out;
    }
    for( const auto& it : in ) {
        if( !it.is_array() || it.size() <= eventsIndex || !it[idIndex].is_string() ) {
            continue;
        }
        if( const auto events = wholeNumber( it[eventsIndex], std::int64_t{ 0 }, maxInt64 ) ) {
            out.push_back( { it[idIndex].get<std::string>(), *events } );
        }
    }
    return out;
}

//! Longest duration that an upstream may state. Without a bound its sum with a time would overflow.
constexpr double maxMillis = static_cast<double>( Millis( std::chrono::years( 1 ) ).count() );

//! A duration in milliseconds; nullopt if the field is absent.
std::optional<Millis> readMillis( const Json& in, const char* field, double min,
                                  std::string_view expected ) {
    const auto it = in.find( field );
    if( it == in.end() ) {
        return std::nullopt;
    }
    const bool valid =
        it->is_number() && it->get<double>() >= min && it->get<double>() <= maxMillis;
    if( !valid ) {
        throw InvalidField( field, *it, expected );
    }
    return Millis( static_cast<std::int64_t>( it->get<double>() ) );
}

//! The start time of an upstream or engine; 0 if it is absent.
gateway::StartTime startTimeOf( const Json& in ) {
    return readWhole( in, "born", minInt64, maxInt64, "a whole number" ).value_or( 0 );
}

//! A whole number, 0 or more; 0 if it is absent.
template <typename T>
T readCount( const Json& in, const char* field ) {
    return readWhole( in, field, T{ 0 }, std::numeric_limits<T>::max(),
                      "a whole number, 0 or more" )
        .value_or( 0 );
}

//! Throws InvalidField or Json::exception if a field is invalid.
EngineReport reportOf( const Json& in ) {
    EngineReport out;
    out.born = startTimeOf( in );
    out.residents = readResidents( in.value( "models", Json::array() ) );
    out.loadingAdapters = readLoadingAdapters( in.value( "coming", Json::array() ) );
    const auto available = in.value( "available", Json::object() );
    if( available.is_object() ) {
        out.onDisk = readNames( available.value( "onDisk", Json::array() ) );
        out.inMemory = readNames( available.value( "inMemory", Json::array() ) );
    }
    out.orderInProgress = in.value( "busySlots", false ); // true while an order is in progress
    out.sequence = readCount<std::uint64_t>( in, "sequence" );
    out.queued = readCount<std::uint32_t>( in, "queuedRequests" );
    out.running = readCount<std::uint32_t>( in, "activeRequests" );
    out.runs = readRuns( in.value( "runs", Json::array() ) );
    // The engine lists a request under `runs` from its first event on. The other active requests
    // are still reading their prompt.
    const auto streamingRuns = std::count_if( out.runs.begin(), out.runs.end(),
                                              []( const auto& it ) { return it.events > 0; } );
    const auto streaming = std::min( out.running, static_cast<std::uint32_t>( streamingRuns ) );
    out.prefilling = out.running - streaming;
    out.cacheUsed = readCount<std::int64_t>( in, "cacheUsed" );
    out.cacheTotal = readCount<std::int64_t>( in, "cacheTotal" );
    return out;
}

//! The version of an upstream's software as text, whatever its type; empty if it is absent.
std::string softwareVersionOf( const Json& in ) {
    const auto it = in.find( "version" );
    if( it == in.end() || it->is_null() ) {
        return {};
    }
    return it->is_string() ? it->get<std::string>() : it->dump();
}

bool isControlCharacter( char c ) {
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>( c );
    return byte < firstPrintable || byte == deleteCharacter;
}

//! Throws if a field that nothing here uses has a type that no upstream writes.
void checkUnusedFields( const Json& in ) {
    readCount<std::uint64_t>( in, "sequence" );
    const auto stage = in.find( "stage" );
    if( stage != in.end() && !stage->is_null() && !stage->is_string() ) {
        throw InvalidField( "stage", *stage, "a string" );
    }
}

//! Returns nullopt for an unknown state, so that it is not mistaken for a known one.
std::optional<gateway::UpstreamState> stateOf( std::string_view text ) {
    if( text == "ready" ) {
        return gateway::UpstreamState::ready;
    }
    if( text == "draining" ) {
        return gateway::UpstreamState::draining;
    }
    return std::nullopt;
}

//! Throws InvalidField or Json::exception if a field is missing or invalid.
gateway::Upstream upstreamOf( std::string_view id, const Json& in ) {
    gateway::Upstream out;
    out.id = std::string( id );
    out.service = requireText( in, "service" );
    const auto endpoint = readEndpoint( requireText( in, "address" ) );
    if( !endpoint.valid() ) {
        throw InvalidField( "address", in["address"], "IP:PORT" );
    }
    out.ip = endpoint.ip;
    out.port = endpoint.port;
    out.hall = requireText( in, "zone" );
    out.slots = requireWhole( in, "slots", 1, std::numeric_limits<int>::max(),
                              "a whole number, 1 or more" );
    const auto state = stateOf( requireText( in, "state" ) );
    if( !state ) {
        throw InvalidField( "state", in["state"], "ready or draining" );
    }
    out.state = *state;
    out.born = startTimeOf( in );
    const auto remaining = in.find( "remainingMs" );
    if( remaining != in.end() && !remaining->is_null() ) {
        out.remaining = readMillis( in, "remainingMs", -maxMillis, "a number" );
    }
    out.cold = readMillis( in, "coldMs", 0, "a number, 0 or more" ).value_or( Millis{ 0 } );
    const auto models = in.find( "models" );
    if( models != in.end() && !models->is_null() ) {
        if( !models->is_array() ) {
            throw InvalidField( "models", *models, "an array" );
        }
        out.residents = readResidents( *models );
    }
    out.softwareVersion = softwareVersionOf( in );
    checkUnusedFields( in );
    return out;
}

} // namespace

std::optional<gateway::Upstream> readUpstream( std::string_view id, std::string_view json,
                                               std::string& problem ) {
    if( std::any_of( id.begin(), id.end(), isControlCharacter ) ) {
        problem = "the name holds a control character, and is sent in a header";
        return std::nullopt;
    }
    const auto in = parseJson( json );
    if( !in.is_object() ) {
        problem = "not a JSON object";
        return std::nullopt;
    }
    try {
        return upstreamOf( id, in );
    } catch( const Json::exception& ex ) {
        problem = ex.what();
    } catch( const InvalidField& ex ) {
        problem = ex.what();
    }
    return std::nullopt;
}

std::optional<EngineReport> readEngineReport( std::string_view json, std::string* problem ) {
    const auto in = parseJson( json );
    std::string why = "not a JSON object";
    try {
        if( in.is_object() ) {
            return reportOf( in );
        }
    } catch( const Json::exception& ex ) {
        why = ex.what();
    } catch( const InvalidField& ex ) {
        why = ex.what();
    }
    if( problem != nullptr ) {
        *problem = std::move( why );
    }
    return std::nullopt;
}

std::string encodeOrder( const Order& order ) {
    Json out{
        { "operation", order.kind == OrderKind::load ? "load" : "unload" },
        { "model", order.model },
        { "expectedRevision", order.expectedSequence },
        { "holder", order.holder },
        { "fence", order.fence },
    };
    if( !order.adapter.empty() ) {
        out["adapter"] = order.adapter;
    }
    return out.dump();
}

OrderVerdict orderVerdict( unsigned status ) {
    switch( status ) {
    case statusAccepted:
        return OrderVerdict::underWay;
    case statusOk:
        return OrderVerdict::holds;
    case statusConflict:
        return OrderVerdict::conflict;
    case statusPrecondition:
        return OrderVerdict::fenced;
    case statusMisdirected:
        return OrderVerdict::moved;
    default:
        return OrderVerdict::refused;
    }
}

std::string_view nameOf( OrderVerdict verdict ) {
    switch( verdict ) {
    case OrderVerdict::underWay:
        return "under_way";
    case OrderVerdict::holds:
        return "holds";
    case OrderVerdict::conflict:
        return "conflict";
    case OrderVerdict::fenced:
        return "fenced";
    case OrderVerdict::refused:
        return "refused";
    case OrderVerdict::moved:
        return "moved";
    case OrderVerdict::unknown:
        return "no_answer";
    }
    return "unknown";
}

} // namespace coursehead::platform
