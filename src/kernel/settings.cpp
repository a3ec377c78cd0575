// SPDX-License-Identifier: BSL-1.0
#include "coursehead/kernel/settings.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <list>
#include <memory>
#include <stdexcept>

namespace coursehead::settings {

namespace {

constexpr int maxPort = 65535;
constexpr std::string_view urlScheme = "http://";

bool parseNumber( std::string_view text, std::int64_t& out ) {
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars( text.data(), end, out );
    return ec == std::errc() && ptr == end;
}

bool isNameChar( char c ) {
    return std::isalnum( static_cast<unsigned char>( c ) ) != 0 || c == '-' || c == '_' || c == '.';
}

//! The reason why a value is invalid; empty if it is valid.
std::string valueProblem( const Spec& spec, const std::string& value ) {
    switch( spec.kind ) {
    case Kind::optional:
        return {};
    case Kind::text:
        return value.empty() ? "must not be empty" : "";
    case Kind::name:
        return !value.empty() && std::all_of( value.begin(), value.end(), isNameChar )
                   ? ""
                   : "expected letters, digits, '-', '_' or '.'";
    case Kind::number: {
        std::int64_t n = 0;
        if( parseNumber( value, n ) && n >= spec.low && n <= spec.high ) {
            return {};
        }
        return "expected a whole number from " + std::to_string( spec.low ) + " to " +
               std::to_string( spec.high );
    }
    case Kind::share: {
        char* end = nullptr;
        const double n = std::strtod( value.c_str(), &end );
        const bool whole = !value.empty() && *end == '\0';
        return whole && n >= 0.0 && n <= 1.0 ? "" : "expected a decimal from 0 to 1";
    }
    case Kind::address:
        return splitAddress( value ).port >= 0 && value.rfind( urlScheme, 0 ) != 0
                   ? ""
                   : "expected IP:PORT";
    case Kind::url:
        return splitAddress( value ).port > 0 && value.rfind( urlScheme, 0 ) == 0
                   ? ""
                   : "expected http://IP:PORT";
    case Kind::logLevel:
        return value == "debug" || value == "info" || value == "warn" || value == "error"
                   ? ""
                   : "expected debug, info, warn or error";
    case Kind::upstream:
        return value == "runner" || value == "service" ? "" : "expected runner or service";
    case Kind::flag:
        return value == "true" || value == "false" ? "" : "expected true or false";
    }
    return "has an unknown kind";
}

std::string initialValue( const Spec& spec, Environment environment ) {
    const char* set = environment( environmentName( spec.name ).c_str() );
    return set != nullptr ? set : std::string( spec.defaultValue );
}

using ValueArg = TCLAP::ValueArg<std::string>;

std::vector<std::unique_ptr<ValueArg>>
addArguments( TCLAP::CmdLine& line, std::span<const Spec> specs, Environment environment ) {
    std::vector<std::unique_ptr<ValueArg>> out;
    for( const auto& spec : specs ) {
        std::string help( spec.help );
        help += " [";
        help += environmentName( spec.name );
        help += "]";
        out.push_back( std::make_unique<ValueArg>( "", std::string( spec.name ), help, false,
                                                   initialValue( spec, environment ), "value",
                                                   line ) );
    }
    return out;
}

void checkValues( std::span<const Spec> specs, const std::vector<std::unique_ptr<ValueArg>>& found,
                  Parsed& out ) {
    std::map<std::string, std::string, std::less<>> values;
    for( std::size_t n = 0; n < specs.size(); ++n ) {
        const Spec& spec = specs[n];
        const std::string& value = found[n]->getValue();
        const std::string why = valueProblem( spec, value );
        if( !why.empty() ) {
            std::string problem = "--";
            problem += spec.name;
            problem += " (";
            problem += environmentName( spec.name );
            problem += ") = '";
            problem += value;
            problem += "': ";
            problem += why;
            out.problems.push_back( std::move( problem ) );
        }
        values.emplace( spec.name, value );
    }
    out.settings = Settings( std::move( values ) );
}

} // namespace

std::string environmentName( std::string_view name ) {
    std::string out = "COURSEHEAD_";
    for( const char c : name ) {
        out.push_back( c == '-' ? '_' : static_cast<char>( std::toupper( c ) ) );
    }
    return out;
}

HostPort splitAddress( std::string_view text ) {
    if( text.rfind( urlScheme, 0 ) == 0 ) {
        text.remove_prefix( urlScheme.size() );
    }
    const auto colon = text.rfind( ':' );
    std::int64_t port = 0;
    if( colon == std::string_view::npos || colon == 0 ||
        !parseNumber( text.substr( colon + 1 ), port ) || port < 0 || port > maxPort ) {
        return { "", -1 };
    }
    return { std::string( text.substr( 0, colon ) ), static_cast<int>( port ) };
}

Parsed parse( std::string_view role, std::span<const Spec> specs,
              std::span<const std::string> arguments, Environment environment ) {
    Parsed out;
    try {
        TCLAP::CmdLine line( "coursehead " + std::string( role ), ' ', COURSEHEAD_VERSION );
        line.setExceptionHandling( false );
        auto found = addArguments( line, specs, environment );
        TCLAP::SwitchArg print( "", "print-settings", "Print the checked settings and exit", line );
        std::vector<std::string> args{ "coursehead-" + std::string( role ) };
        args.insert( args.end(), arguments.begin(), arguments.end() );
        line.parse( args );
        out.printSettings = print.getValue();
        checkValues( specs, found, out );
    } catch( const TCLAP::ArgException& ex ) {
        out.problems.push_back( ex.argId() + ": " + ex.error() );
    } catch( const TCLAP::ExitException& ) {
        out.helpShown = true;
    }
    return out;
}

const std::string& Settings::text( std::string_view name ) const {
    const auto it = m_values.find( name );
    if( it == m_values.end() ) {
        throw std::logic_error( "no setting named " + std::string( name ) );
    }
    return it->second;
}

std::int64_t Settings::number( std::string_view name ) const {
    return std::stoll( text( name ) );
}

double Settings::share( std::string_view name ) const {
    return std::stod( text( name ) );
}

bool Settings::flag( std::string_view name ) const {
    return text( name ) == "true";
}

std::string Settings::print() const {
    constexpr std::string_view secretSuffix = "-token";
    std::string out;
    for( const auto& [name, value] : m_values ) {
        const bool secret = std::string_view( name ).ends_with( secretSuffix );
        out += name + "=" + ( secret && !value.empty() ? "(hidden)" : value ) + "\n";
    }
    return out;
}

} // namespace coursehead::settings
