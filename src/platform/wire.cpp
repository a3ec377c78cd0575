// SPDX-License-Identifier: BSL-1.0
#include "platform/wire.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace coursehead::platform {

namespace {

using Json = nlohmann::json;
using gateway::Configuration;
using gateway::EngineReport;
using gateway::EngineSpec;
using gateway::RequestKind;
using gateway::Route;
using gateway::Service;

constexpr double millisPerSecond = 1000.0;
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusAccepted = 202;
constexpr unsigned statusOk = 200;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusPrecondition = 412;

Millis secondsOf( const Json& table, const char* name ) {
    return Millis( static_cast<std::int64_t>( table.value( name, 0.0 ) * millisPerSecond ) );
}

RequestKind readKind( const std::string& word ) {
    if( word == "safe" ) {
        return RequestKind::repeatable;
    }
    return word == "streaming" ? RequestKind::stream : RequestKind::once;
}

Route readRoute( const Json& in ) {
    Route out;
    out.name = in.at( "name" ).get<std::string>();
    out.host = in.at( "host" ).get<std::string>();
    out.pathPrefix = in.at( "pathPrefix" ).get<std::string>();
    out.kind = readKind( in.at( "kind" ).get<std::string>() );
    out.timeout = Millis( static_cast<std::int64_t>( in.at( "timeoutMs" ).get<double>() ) );
    out.goal = Millis( static_cast<std::int64_t>( in.value( "goalMs", 0.0 ) ) );
    out.gapTarget = Millis( static_cast<std::int64_t>( in.value( "gapTargetMs", 0.0 ) ) );
    out.priority = in.value( "priority", 0 );
    out.attempts = in.value( "attempts", 1 );
    out.resumable = in.value( "resumable", false );
    if( in.contains( "split" ) && in["split"].is_array() ) {
        for( const auto& it : in["split"] ) {
            out.splits.push_back(
                { it.at( "service" ).get<std::string>(), it.at( "weight" ).get<int>() } );
        }
    } else {
        out.splits.push_back( { in.at( "service" ).get<std::string>(), 1 } );
    }
    return out;
}

std::shared_ptr<const EngineSpec> readEngine( const Json& in ) {
    auto out = std::make_shared<EngineSpec>();
    out->slots = in.value( "slots", 0 );
    out->cacheTokens = in.value( "cacheTokens", std::int64_t{ 0 } );
    out->weightsMb = in.value( "weightsMb", 0.0 );
    out->adapterSlots = in.value( "adapterSlots", 0 );
    out->storeLoadsPerS = in.value( "loadsPerS", 0.0 );
    for( const auto& it : in.value( "models", Json::array() ) ) {
        gateway::ModelSpec model;
        model.name = it.at( "name" ).get<std::string>();
        model.weightsMb = it.at( "weightsMb" ).get<double>();
        model.adapterMb = it.value( "adapterMb", 0.0 );
        model.adapters = it.value( "adapters", 0 );
        model.storeLoad = secondsOf( it, "loadS" );
        model.diskLoad = it.contains( "diskS" ) ? secondsOf( it, "diskS" ) : model.storeLoad;
        model.memoryLoad = it.contains( "warmS" ) ? secondsOf( it, "warmS" ) : model.diskLoad;
        out->models.push_back( std::move( model ) );
    }
    return out;
}

Service readService( const Json& in ) {
    Service out;
    out.name = in.at( "name" ).get<std::string>();
    out.connectionLimit = in.value( "connectionLimit", 0 );
    if( in.contains( "engine" ) && in["engine"].is_object() ) {
        out.engine = readEngine( in["engine"] );
    }
    return out;
}

gateway::ClientLimits readLimits( const Json& in ) {
    gateway::ClientLimits out;
    out.headerBytes = in.value( "headerBytes", out.headerBytes );
    out.bodyBytes = in.value( "bodyBytes", out.bodyBytes );
    out.headerTime = Millis( in.value( "headerMs", out.headerTime.count() ) );
    out.idleTime = Millis( in.value( "idleMs", out.idleTime.count() ) );
    return out;
}

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

EngineReport reportOf( const Json& in ) {
    EngineReport out;
    out.residents = readResidents( in.value( "models", Json::array() ) );
    out.coming = readComing( in.value( "coming", Json::array() ) );
    const auto available = in.value( "available", Json::object() );
    if( available.is_object() ) {
        out.onDisk = readNames( available.value( "onDisk", Json::array() ) );
        out.inMemory = readNames( available.value( "inMemory", Json::array() ) );
    }
    out.ordering = in.value( "busySlots", false ); // says that an order is under way
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

StoreObject readObject( const Json& in ) {
    StoreObject out;
    const auto& metadata = in.at( "metadata" );
    out.name = metadata.at( "name" ).get<std::string>();
    out.revision = metadata.value( "revision", std::uint64_t{ 0 } );
    out.created = metadata.value( "created", std::uint64_t{ 0 } );
    out.spec = in.contains( "specification" ) ? in["specification"].dump() : "null";
    return out;
}

} // namespace

std::optional<Configuration> readConfiguration( std::string_view json, std::string& problem ) {
    try {
        const auto in = Json::parse( json );
        Configuration out;
        out.version = in.at( "version" ).get<std::uint64_t>();
        for( const auto& it : in.at( "routes" ) ) {
            out.routes.push_back( readRoute( it ) );
        }
        for( const auto& it : in.at( "services" ) ) {
            auto service = readService( it );
            out.services.emplace( service.name, std::move( service ) );
        }
        out.limits = readLimits( in.value( "limits", Json::object() ) );
        return out;
    } catch( const Json::exception& ex ) {
        problem = ex.what();
        return std::nullopt;
    }
}

std::optional<gateway::Upstream> readUpstream( std::string_view id, std::string_view json,
                                               std::string& problem ) {
    try {
        const auto in = Json::parse( json );
        gateway::Upstream out;
        out.id = std::string( id );
        out.service = in.at( "service" ).get<std::string>();
        const auto endpoint = readEndpoint( in.at( "address" ).get<std::string>() );
        if( !endpoint.valid() ) {
            problem = "address is not IP:PORT";
            return std::nullopt;
        }
        out.ip = endpoint.ip;
        out.port = endpoint.port;
        out.hall = in.value( "zone", "" );
        out.slots = in.value( "slots", 1 );
        out.state = in.value( "state", "ready" ) == "draining" ? gateway::UpstreamState::draining
                                                               : gateway::UpstreamState::ready;
        if( in.contains( "remainingMs" ) && in["remainingMs"].is_number() ) {
            out.remaining = Millis( in["remainingMs"].get<std::int64_t>() );
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

std::string listPath( std::string_view kind, std::string_view after ) {
    std::string out = "/objects/";
    out += kind;
    if( !after.empty() ) {
        out += "?after=";
        out += after;
    }
    return out;
}

std::string watchPath( std::string_view kind, std::uint64_t revision, Millis wait ) {
    std::string out = "/objects/";
    out += kind;
    out += "?watch=" + std::to_string( revision );
    out += "&waitMs=" + std::to_string( wait.count() );
    return out;
}

std::optional<StorePage> readPage( std::string_view json ) {
    try {
        const auto in = Json::parse( json );
        StorePage out;
        for( const auto& it : in.at( "items" ) ) {
            out.objects.push_back( readObject( it ) );
        }
        out.more = in.value( "morePages", false );
        out.revision = in.at( "timestamp" ).get<std::uint64_t>();
        return out;
    } catch( const Json::exception& ) {
        return std::nullopt;
    }
}

std::optional<StoreEvents> readEvents( std::string_view json ) {
    try {
        const auto in = Json::parse( json );
        StoreEvents out;
        for( const auto& it : in.at( "events" ) ) {
            out.events.push_back(
                { readObject( it.at( "object" ) ), it.value( "isGone", false ) } );
        }
        out.revision = in.at( "timestamp" ).get<std::uint64_t>();
        return out;
    } catch( const Json::exception& ) {
        return std::nullopt;
    }
}

} // namespace coursehead::platform
