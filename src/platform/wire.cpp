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

std::string listPath( std::string_view kind, std::string_view after, ListAge age ) {
    std::string out = "/objects/";
    out += kind;
    char mark = '?';
    if( age == ListAge::secondsOld ) {
        out += "?isStale=1";
        mark = '&';
    }
    if( !after.empty() ) {
        out += mark;
        out += "after=";
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

std::string objectPath( std::string_view kind, std::string_view name ) {
    std::string out = "/objects/";
    out += kind;
    out += '/';
    out += name;
    return out;
}

std::string quarantineName( const decide::Quarantine& quarantine ) {
    return decide::fingerprintText( quarantine.fingerprint ) + "-" +
           std::to_string( quarantine.times );
}

std::string encodeQuarantine( const decide::Quarantine& quarantine, WallMillis now ) {
    const Json out{ { "metadata", { { "name", quarantineName( quarantine ) } } },
                    { "specification",
                      { { "fingerprint", decide::fingerprintText( quarantine.fingerprint ) },
                        { "times", quarantine.times },
                        { "untilMs", now + quarantine.holdMs } } } };
    return out.dump();
}

std::optional<decide::Quarantine> readQuarantine( const StoreObject& object, WallMillis now,
                                                  std::string& problem ) {
    try {
        const auto in = Json::parse( object.spec );
        const auto text = in.at( "fingerprint" ).get<std::string>();
        const auto fingerprint = decide::readFingerprint( text );
        const auto until = in.at( "untilMs" ).get<WallMillis>();
        decide::Quarantine out;
        out.times = in.at( "times" ).get<int>();
        const auto longest = decide::holdOf( out.times ).count();
        if( !fingerprint || out.times < 1 ) {
            problem = "fingerprint or times out of range: " + text;
            return std::nullopt;
        }
        out.fingerprint = *fingerprint;
        out.holdMs = std::min( until - now, longest );
        return out;
    } catch( const Json::exception& ex ) {
        problem = ex.what();
        return std::nullopt;
    }
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
