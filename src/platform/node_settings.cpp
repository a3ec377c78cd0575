// SPDX-License-Identifier: BSL-1.0
#include "platform/node_settings.hpp"

#include "kernel/hash.hpp"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>

namespace coursehead::platform {

namespace {

using Json = nlohmann::json;

constexpr int maxPort = 65535;
constexpr double millisPerSecond = 1000.0;

//! Reads the fields of a JSON object and collects the problems found.
class FieldReader {
public:
    FieldReader( const Json& table, std::string path, std::vector<std::string>& problems )
        : m_table( table ), m_path( std::move( path ) ), m_problems( problems ) {}

    std::string text( const char* name ) const {
        const auto* it = find( name );
        if( it == nullptr || !it->is_string() || it->get_ref<const std::string&>().empty() ) {
            addProblem( name, it, "expected a non-empty string" );
            return {};
        }
        return it->get<std::string>();
    }
    double number( const char* name, double defaultValue ) const {
        const auto* it = find( name );
        if( it == nullptr || it->is_null() ) {
            return defaultValue;
        }
        if( !it->is_number() || it->get<double>() < 0 ) {
            addProblem( name, it, "expected a number, 0 or more" );
            return defaultValue;
        }
        return it->get<double>();
    }
    Millis millis( const char* name, Millis defaultValue ) const {
        return Millis( static_cast<std::int64_t>(
            number( name, static_cast<double>( defaultValue.count() ) ) ) );
    }
    Millis seconds( const char* name, Millis defaultValue ) const {
        const double duration =
            number( name, static_cast<double>( defaultValue.count() ) / millisPerSecond );
        return Millis( static_cast<std::int64_t>( duration * millisPerSecond ) );
    }
    bool flag( const char* name, bool defaultValue ) const {
        const auto* it = find( name );
        if( it == nullptr || it->is_null() ) {
            return defaultValue;
        }
        if( !it->is_boolean() ) {
            addProblem( name, it, "expected true or false" );
            return defaultValue;
        }
        return it->get<bool>();
    }
    //! Reads an optional IP:PORT field.
    Endpoint endpoint( const char* name ) const {
        const auto* it = find( name );
        if( it == nullptr || it->is_null() ) {
            return {};
        }
        Endpoint out = it->is_string() ? readEndpoint( it->get<std::string>() ) : Endpoint{};
        if( !out.valid() ) {
            addProblem( name, it, "expected IP:PORT" );
        }
        return out;
    }
    const Json& table( const char* name ) const {
        static const Json empty = Json::object();
        const auto* it = find( name );
        return it != nullptr && it->is_object() ? *it : empty;
    }
    const Json* find( const char* name ) const {
        const auto it = m_table.find( name );
        return it == m_table.end() ? nullptr : &*it;
    }
    void addProblem( const char* name, const Json* value, std::string_view why ) const {
        const std::string shown = value == nullptr ? "(missing)" : value->dump();
        m_problems.push_back( m_path + name + " = " + shown + ": " + std::string( why ) );
    }

private:
    const Json& m_table;
    std::string m_path;
    std::vector<std::string>& m_problems;
};

Bounds readBounds( const FieldReader& in ) {
    Bounds out;
    out.contact = in.millis( "contactMs", out.contact );
    out.drain = in.millis( "drainMs", out.drain );
    out.grace = in.seconds( "graceS", out.grace );
    out.configuration = in.millis( "configurationMs", out.configuration );
    out.retryRatio = in.number( "budgetRatio", out.retryRatio );
    out.retryWindow = in.seconds( "budgetWindowS", out.retryWindow );
    out.retrySlack = in.number( "budgetSlack", out.retrySlack );
    out.ceilingWindow = in.seconds( "ceilingWindowS", out.ceilingWindow );
    out.weightStoreRateFactor = in.number( "ceilingOver", out.weightStoreRateFactor );
    out.quotaWindow = in.seconds( "quotaWindowS", out.quotaWindow );
    out.quotaExcessShare = in.number( "quotaOver", out.quotaExcessShare );
    out.quotaSlack = in.number( "quotaSlack", out.quotaSlack );
    out.evacuation = in.millis( "evacuationMs", out.evacuation );
    out.coldRateFactor = in.number( "coldOver", out.coldRateFactor );
    out.coldRateSlack = in.number( "coldSlack", out.coldRateSlack );
    out.fencingRequired = in.flag( "fencingRequired", out.fencingRequired );
    return out;
}

VmLimits readVmLimits( const FieldReader& in ) {
    constexpr double bytesPerMb = 1e6;
    constexpr double bytesPerMbit = 125000;
    VmLimits out;
    out.memoryBytes = static_cast<std::uint64_t>( in.number( "memoryMb", 0 ) * bytesPerMb );
    out.descriptors = static_cast<std::uint64_t>( in.number( "fileDescriptors", 0 ) );
    out.linkBytesPerS = in.number( "linkMbps", 0 ) * bytesPerMbit;
    return out;
}

void readPorts( const FieldReader& in, NodeSettings& out ) {
    const auto* it = in.find( "internalPorts" );
    const bool pair = it != nullptr && it->is_array() && it->size() == 2 &&
                      ( *it )[0].is_number_integer() && ( *it )[1].is_number_integer();
    if( pair ) {
        out.firstPort = ( *it )[0].get<int>();
        out.lastPort = ( *it )[1].get<int>();
        out.metricsPort = out.lastPort;
    }
    if( !pair || out.firstPort <= 0 || out.lastPort < out.firstPort || out.lastPort > maxPort ) {
        in.addProblem( "internalPorts", it, "expected [first port, last port]" );
    }
}

} // namespace

Endpoint readEndpoint( std::string_view text ) {
    const auto colon = text.rfind( ':' );
    if( colon == std::string_view::npos || colon == 0 ) {
        return {};
    }
    int port = 0;
    const auto digits = text.substr( colon + 1 );
    const auto [ptr, ec] = std::from_chars( digits.data(), digits.data() + digits.size(), port );
    if( ec != std::errc() || ptr != digits.data() + digits.size() || port <= 0 || port > maxPort ) {
        return {};
    }
    std::string ip( text.substr( 0, colon ) );
    in_addr address{};
    return ::inet_pton( AF_INET, ip.c_str(), &address ) == 1 ? Endpoint{ std::move( ip ), port }
                                                             : Endpoint{};
}

std::string settingsPath() {
    const char* path = std::getenv( "COURSEHEAD_NODE_FILE" );
    return path != nullptr ? path : "";
}

ParsedNodeSettings parseNodeSettings( std::string_view json ) {
    ParsedNodeSettings out;
    const auto parsed = Json::parse( json, nullptr, false );
    if( !parsed.is_object() ) {
        out.problems.emplace_back( "the settings file is not a JSON object" );
        return out;
    }
    const FieldReader top( parsed, "", out.problems );
    auto& settings = out.settings;
    settings.vm = top.text( "nodeName" );
    settings.hall = top.text( "zone" );
    settings.ip = top.text( "ip" );
    for( const auto& [hall, region] : top.table( "zones" ).items() ) {
        if( region.is_string() ) {
            settings.regions[hall] = region.get<std::string>();
        } else {
            top.addProblem( "zones", &region, "expected a region name for hall " + hall );
        }
    }
    readPorts( top, settings );
    const FieldReader listen( top.table( "listen" ), "listen.", out.problems );
    settings.clientEndpoint = listen.endpoint( "front" );
    settings.ready = listen.endpoint( "ready" );
    settings.engine = top.endpoint( "app" );
    if( settings.engine.valid() ) {
        settings.service = top.text( "service" );
    }
    settings.limits = readVmLimits( FieldReader( top.table( "limits" ), "limits.", out.problems ) );
    settings.bounds = readBounds( FieldReader( top.table( "bounds" ), "bounds.", out.problems ) );
    const FieldReader platform( top.table( "platform" ), "platform.", out.problems );
    settings.store = platform.endpoint( "address" );
    if( !settings.store.valid() ) {
        platform.addProblem( "address", platform.find( "address" ), "expected IP:PORT" );
    }
    settings.firstStart = top.flag( "bootstrap", false );
    settings.storeReadsPerS = static_cast<std::uint64_t>( platform.number( "readsPerS", 0 ) );
    return out;
}

namespace {

std::optional<std::string> readTextFile( const std::string& path ) {
    std::ifstream in( path );
    if( path.empty() || !in ) {
        return std::nullopt;
    }
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

} // namespace

ParsedNodeSettings readNodeSettings( const std::string& path ) {
    const auto text = readTextFile( path );
    if( !text ) {
        ParsedNodeSettings out;
        out.problems.push_back( "COURSEHEAD_NODE_FILE = '" + path + "': cannot be read" );
        return out;
    }
    return parseNodeSettings( *text );
}

SettingsWatch::SettingsWatch( std::string path )
    : m_path( std::move( path ) ), m_hash( hash64( readTextFile( m_path ).value_or( "" ) ) ) {}

bool SettingsWatch::changed() {
    const auto text = readTextFile( m_path );
    if( !text || text->empty() || hash64( *text ) == m_hash ) {
        return false;
    }
    m_hash = hash64( *text );
    return true;
}

} // namespace coursehead::platform
