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

//! Adapters on their way read MODEL/NAME@VERSION; the version is dropped.
std::vector<std::string> readComing( const Json& in ) {
    auto out = readNames( in );
    for( auto& it : out ) {
        it.resize( std::min( it.size(), it.find( '@' ) ) );
    }
    return out;
}

//! Each run reads [id, tokens in memory, events made, priority].
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

//! Always a whole number, where it is told.
gateway::StartTime bornOf( const Json& in ) {
    const auto it = in.find( "born" );
    return it == in.end() ? gateway::StartTime{ 0 } : it->get<gateway::StartTime>();
}

EngineReport reportOf( const Json& in ) {
    EngineReport out;
    out.born = bornOf( in );
    out.residents = readResidents( in.value( "models", Json::array() ) );
    out.loadingAdapters = readComing( in.value( "coming", Json::array() ) );
    const auto available = in.value( "available", Json::object() );
    if( available.is_object() ) {
        out.onDisk = readNames( available.value( "onDisk", Json::array() ) );
        out.inMemory = readNames( available.value( "inMemory", Json::array() ) );
    }
    out.orderInProgress = in.value( "busySlots", false ); // says that an order is under way
    out.sequence = in.value( "sequence", std::uint64_t{ 0 } );
    out.queued = in.value( "queuedRequests", std::uint32_t{ 0 } );
    out.running = in.value( "activeRequests", std::uint32_t{ 0 } );
    out.runs = readRuns( in.value( "runs", Json::array() ) );
    // A request is listed under `runs` from its first event on: the others are being read.
    const auto reads = std::count_if( out.runs.begin(), out.runs.end(),
                                      []( const auto& it ) { return it.events > 0; } );
    const auto streaming = std::min( out.running, static_cast<std::uint32_t>( reads ) );
    out.prefilling = out.running - streaming;
    out.cacheUsed = in.value( "cacheUsed", std::int64_t{ 0 } );
    out.cacheTotal = in.value( "cacheTotal", std::int64_t{ 0 } );
    return out;
}

} // namespace

//! A state that this product does not know is not taken for one that it does.
std::optional<gateway::UpstreamState> readState( std::string_view word ) {
    if( word == "ready" ) {
        return gateway::UpstreamState::ready;
    }
    if( word == "draining" ) {
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
        const auto word = in.at( "state" ).get<std::string>();
        const auto state = readState( word );
        if( !state ) {
            problem = "state = " + word + ": expected ready or draining";
            return std::nullopt;
        }
        out.state = *state;
        if( in.contains( "born" ) && !in["born"].is_number_integer() ) {
            problem = "born = " + in["born"].dump() + ": expected a whole number";
            return std::nullopt;
        }
        out.born = bornOf( in );
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
