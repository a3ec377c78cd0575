// SPDX-License-Identifier: BSL-1.0
#include "platform/wire.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace coursehead::platform {

namespace {

using Json = nlohmann::json;
using gateway::EngineReport;

constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusAccepted = 202;
constexpr unsigned statusOk = 200;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusPrecondition = 412;

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
        if( it.is_array() && it.size() > eventsIndex && it[eventsIndex].is_number() &&
            it[idIndex].is_string() ) {
            out.push_back(
                { it[idIndex].get<std::string>(), it[eventsIndex].get<std::int64_t>() } );
        }
    }
    return out;
}

//! The start time of an upstream or engine, a whole number; 0 if it is absent.
gateway::StartTime startTimeOf( const Json& in ) {
    const auto it = in.find( "born" );
    return it == in.end() ? gateway::StartTime{ 0 } : it->get<gateway::StartTime>();
}

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
    out.sequence = in.value( "sequence", std::uint64_t{ 0 } );
    out.queued = in.value( "queuedRequests", std::uint32_t{ 0 } );
    out.running = in.value( "activeRequests", std::uint32_t{ 0 } );
    out.runs = readRuns( in.value( "runs", Json::array() ) );
    // The engine lists a request under `runs` from its first event on. The other active requests
    // are still reading their prompt.
    const auto streamingRuns = std::count_if( out.runs.begin(), out.runs.end(),
                                              []( const auto& it ) { return it.events > 0; } );
    const auto streaming = std::min( out.running, static_cast<std::uint32_t>( streamingRuns ) );
    out.prefilling = out.running - streaming;
    out.cacheUsed = in.value( "cacheUsed", std::int64_t{ 0 } );
    out.cacheTotal = in.value( "cacheTotal", std::int64_t{ 0 } );
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

} // namespace

//! Returns nullopt for an unknown state, so that it is not mistaken for a known one.
std::optional<gateway::UpstreamState> readState( std::string_view text ) {
    if( text == "ready" ) {
        return gateway::UpstreamState::ready;
    }
    if( text == "draining" ) {
        return gateway::UpstreamState::draining;
    }
    return std::nullopt;
}

std::optional<gateway::Upstream> readUpstream( std::string_view id, std::string_view json,
                                               std::string& problem ) {
    try {
        const auto in = Json::parse( json );
        gateway::Upstream out;
        out.id = std::string( id );
        out.service = in.at( "service" ).get<std::string>();
        const auto address = in.at( "address" ).get<std::string>();
        const auto endpoint = readEndpoint( address );
        if( !endpoint.valid() ) {
            problem = "address = " + address + ": expected IP:PORT";
            return std::nullopt;
        }
        out.ip = endpoint.ip;
        out.port = endpoint.port;
        out.hall = in.at( "zone" ).get<std::string>();
        out.slots = in.at( "slots" ).get<int>();
        if( !in["slots"].is_number_unsigned() || out.slots < 1 ) {
            problem = "slots = " + in["slots"].dump() + ": expected a whole number, 1 or more";
            return std::nullopt;
        }
        const auto text = in.at( "state" ).get<std::string>();
        const auto state = readState( text );
        if( !state ) {
            problem = "state = " + text + ": expected ready or draining";
            return std::nullopt;
        }
        out.state = *state;
        if( in.contains( "born" ) && !in["born"].is_number_integer() ) {
            problem = "born = " + in["born"].dump() + ": expected a whole number";
            return std::nullopt;
        }
        out.born = startTimeOf( in );
        if( in.contains( "remainingMs" ) && in["remainingMs"].is_number() ) {
            out.remaining = Millis( in["remainingMs"].get<std::int64_t>() );
        }
        const auto cold = in.find( "coldMs" );
        if( cold != in.end() && ( !cold->is_number() || cold->get<double>() < 0 ) ) {
            problem = "coldMs = " + cold->dump() + ": expected a number, 0 or more";
            return std::nullopt;
        }
        if( cold != in.end() ) {
            out.cold = Millis( static_cast<std::int64_t>( cold->get<double>() ) );
        }
        out.residents = readResidents( in.value( "models", Json::array() ) );
        out.softwareVersion = softwareVersionOf( in );
        return out;
    } catch( const Json::exception& ex ) {
        problem = ex.what();
        return std::nullopt;
    }
}

std::optional<EngineReport> readEngineReport( std::string_view json ) {
    try {
        return reportOf( Json::parse( json ) );
    } catch( const Json::exception& ) {
        return std::nullopt;
    }
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
