// SPDX-License-Identifier: BSL-1.0
// Parses and checks the operator's configuration.
#include "platform/wire.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <unordered_set>

namespace coursehead::platform {

namespace {

using Json = nlohmann::json;
using gateway::Configuration;
using gateway::EngineSpec;
using gateway::Organisation;
using gateway::QuotaLimit;
using gateway::QuotaUnit;
using gateway::RequestKind;
using gateway::Route;
using gateway::Service;

constexpr double millisPerSecond = 1000.0;

//! Thrown for an invalid field. The message holds the field and its value, but never a client key.
struct FieldError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Millis secondsOf( const Json& table, const char* name ) {
    return Millis( static_cast<std::int64_t>( table.value( name, 0.0 ) * millisPerSecond ) );
}

RequestKind readKind( const std::string& text ) {
    if( text == "safe" ) {
        return RequestKind::repeatable;
    }
    return text == "streaming" ? RequestKind::stream : RequestKind::once;
}

double readAmount( const Json& in, const char* name, const std::string& path ) {
    const auto it = in.find( name );
    if( it == in.end() || it->is_null() ) {
        return 0;
    }
    if( !it->is_number() || it->get<double>() < 0 ) {
        throw FieldError( path + name + " = " + it->dump() + ": expected a number, 0 or more" );
    }
    return it->get<double>();
}

std::vector<std::string> readHomeRegions( const Json& in, const std::string& path ) {
    const auto it = in.find( "homeRegions" );
    if( it == in.end() || it->is_null() ) {
        return {};
    }
    const auto isText = []( const Json& value ) {
        return value.is_string();
    };
    if( !it->is_array() || !std::all_of( it->begin(), it->end(), isText ) ) {
        throw FieldError( path + "homeRegions = " + it->dump() +
                          ": expected an array of region names" );
    }
    return it->get<std::vector<std::string>>();
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
    out.keyless = in.value( "keyless", false );
    out.homeRegions = readHomeRegions( in, "routes." + out.name + "." );
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
    if( in.value( "moves", false ) ) {
        out->partLink = { in.value( "tokenBytes", 0.0 ), in.value( "linkMbps", 0.0 ) };
    }
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
    const auto path = "services." + out.name + ".";
    out.coldDuration =
        Millis( static_cast<std::int64_t>( readAmount( in, "coldS", path ) * millisPerSecond ) );
    out.coldPerS = readAmount( in, "coldPerS", path );
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

QuotaUnit readUnit( const Json& in, const std::string& path ) {
    const auto it = in.find( "unit" );
    if( it == in.end() || *it == "requests" ) {
        return QuotaUnit::requests;
    }
    if( *it == "tokens" ) {
        return QuotaUnit::tokens;
    }
    throw FieldError( path + "unit = " + it->dump() + ": expected \"requests\" or \"tokens\"" );
}

Organisation readOrganisation( const Json& in, const std::string& path ) {
    Organisation out;
    out.name = in.at( "name" ).get<std::string>();
    for( const auto& it : in.value( "keys", Json::array() ) ) {
        if( !it.is_string() ) {
            throw FieldError( path + "keys: expected an array of strings" );
        }
        out.keys.push_back( gateway::digestOf( it.get_ref<const std::string&>() ) );
    }
    if( in.contains( "priority" ) && in["priority"].is_number_integer() ) {
        out.priority = in["priority"].get<int>();
    }
    QuotaLimit& limit = out.limit;
    limit.perS = readAmount( in, "perS", path );
    limit.burst = readAmount( in, "burst", path );
    limit.unit = readUnit( in, path );
    limit.defaultTokens = static_cast<std::int64_t>( readAmount( in, "plainTokens", path ) );
    out.homeRegions = readHomeRegions( in, path );
    return out;
}

std::vector<Organisation> readOrganisations( const Json& in ) {
    std::vector<Organisation> out;
    std::unordered_set<gateway::KeyDigest, gateway::KeyDigestHash> allKeys;
    for( const auto& it : in ) {
        const auto path = "tenants[" + std::to_string( out.size() ) + "].";
        out.push_back( readOrganisation( it, path ) );
        const auto& keys = out.back().keys;
        std::unordered_set<gateway::KeyDigest, gateway::KeyDigestHash> organisationKeys(
            keys.begin(), keys.end() );
        for( const auto& key : organisationKeys ) {
            if( !allKeys.insert( key ).second ) {
                throw FieldError( path + "keys, of '" + out.back().name +
                                  "': one of them also belongs to another organisation" );
            }
        }
    }
    return out;
}

Configuration readAll( const Json& in ) {
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
    out.keyed = in.contains( "tenants" ) && in["tenants"].is_array();
    if( out.keyed ) {
        out.organisations = readOrganisations( in["tenants"] );
    }
    return out;
}

} // namespace

std::optional<Configuration> readConfiguration( std::string_view json, std::string& problem ) {
    // Parses without exceptions: those of the parser quote the input, which holds client keys.
    const auto in = Json::parse( json, nullptr, false );
    if( in.is_discarded() ) {
        problem = "not JSON";
        return std::nullopt;
    }
    try {
        return readAll( in );
    } catch( const Json::exception& ex ) {
        problem = ex.what();
    } catch( const FieldError& ex ) {
        problem = ex.what();
    }
    return std::nullopt;
}

} // namespace coursehead::platform
