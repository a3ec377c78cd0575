// SPDX-License-Identifier: BSL-1.0
#include "ctl/ctl.hpp"

#include "coursehead/http/client.hpp"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace coursehead::ctl {

using Json = nlohmann::json;

namespace {

//! Exit codes; docs/commands.md lists them.
enum ExitCode {
    exitOk = 0,
    exitRejected = 1,
    exitUsage = 2,
    exitConflict = 3,
    exitUnavailable = 4,
    exitUnknown = 5,
    exitWaitTimedOut = 6,
};

struct Options {
    std::string entry;
    std::string text;
    std::string token;
    bool json = false;
    bool dryRun = false;
    std::int64_t waitMs = 0;
};

struct StatusRow {
    std::string_view statusName;
    ExitCode code;
};
constexpr std::array<StatusRow, 7> statusRows{ {
    { "ok", exitOk },
    { "syntax", exitUsage },
    { "rejected", exitRejected },
    { "conflict", exitConflict },
    { "unavailable", exitUnavailable },
    { "unknown", exitUnknown },
    { "wait-timed-out", exitWaitTimedOut },
} };

ExitCode exitCodeOf( std::string_view status ) {
    for( const auto& it : statusRows ) {
        if( it.statusName == status ) {
            return it.code;
        }
    }
    return exitUnavailable;
}

std::string environment( const char* name, std::string_view fallback ) {
    const char* found = std::getenv( name );
    return found != nullptr ? found : std::string( fallback );
}

bool readText( const std::string& path, std::string& out ) {
    if( path == "-" ) {
        out.assign( std::istreambuf_iterator<char>( std::cin ), {} );
        return true;
    }
    std::ifstream file( path );
    if( !file ) {
        return false;
    }
    out.assign( std::istreambuf_iterator<char>( file ), {} );
    return true;
}

void printRow( const std::vector<std::string>& row, const std::vector<std::size_t>& widths ) {
    std::string line;
    for( std::size_t n = 0; n < row.size(); ++n ) {
        line += row[n];
        if( n + 1 < row.size() ) {
            line.append( widths[n] - row[n].size() + 2, ' ' );
        }
    }
    std::cout << line << "\n";
}

void printTable( const Json& table ) {
    const auto columns = table.at( "columns" ).get<std::vector<std::string>>();
    const auto rows = table.at( "rows" ).get<std::vector<std::vector<std::string>>>();
    std::vector<std::size_t> widths;
    for( const auto& it : columns ) {
        widths.push_back( it.size() );
    }
    for( const auto& row : rows ) {
        for( std::size_t n = 0; n < row.size(); ++n ) {
            widths[n] = std::max( widths[n], row[n].size() );
        }
    }
    if( rows.empty() ) {
        std::cout << "(none)\n";
        return;
    }
    printRow( columns, widths );
    for( const auto& row : rows ) {
        printRow( row, widths );
    }
}

int printResponse( const Options& options, const http::Outcome& outcome ) {
    const auto body = Json::parse( outcome.response.body, nullptr, false );
    if( !body.is_object() ) {
        std::cerr << "coursehead ctl: the entry's response is not a JSON object (HTTP status "
                  << outcome.response.status << ")\n";
        return exitUnavailable;
    }
    const auto status = body.value( "status", "" );
    if( options.json ) {
        std::cout << body.dump( 2 ) << "\n";
        return exitCodeOf( status );
    }
    for( const auto& it : body.value( "tables", Json::array() ) ) {
        printTable( it );
    }
    const auto message = body.value( "message", "" );
    if( !message.empty() ) {
        ( status == "ok" ? std::cout : std::cerr ) << message << "\n";
    }
    return exitCodeOf( status );
}

int send( const Options& options ) {
    constexpr Millis responseTimeout{ 15000 };
    http::Client client( options.entry,
                         { Millis{ 2000 }, responseTimeout + Millis( options.waitMs ) } );
    http::Request request;
    request.method = "POST";
    request.path = "/operator/v1/command";
    request.body = Json{ { "text", options.text },
                         { "dry_run", options.dryRun },
                         { "wait_ms", options.waitMs },
                         { "author", environment( "USER", "" ) } }
                       .dump( -1, ' ', false, Json::error_handler_t::replace );
    if( !options.token.empty() ) {
        request.headers["Authorization"] = "Bearer " + options.token;
    }
    const auto outcome = client.call( request );
    if( outcome.failure != http::Failure::none ) {
        std::cerr << "coursehead ctl: entry " << options.entry << ": " << outcome.detail << "\n";
        return outcome.failure == http::Failure::notSent ? exitUnavailable : exitUnknown;
    }
    return printResponse( options, outcome );
}

int parseAndSend( std::span<const std::string> arguments ) {
    constexpr std::int64_t defaultWaitMs = 17000;
    TCLAP::CmdLine line( "Sends queries and commands to an entry", ' ', "0.1.0" );
    line.setExceptionHandling( false );
    TCLAP::ValueArg<std::string> entry(
        "", "entry", "The entry's address [COURSEHEAD_ENTRY]", false,
        environment( "COURSEHEAD_ENTRY", "http://127.0.0.1:8080" ), "url", line );
    TCLAP::ValueArg<std::string> token(
        "", "operator-token", "Secret of operators [COURSEHEAD_OPERATOR_TOKEN]", false,
        environment( "COURSEHEAD_OPERATOR_TOKEN", "" ), "value", line );
    TCLAP::ValueArg<std::string> file( "f", "file", "Read the text from a file, or - for stdin",
                                       false, "", "path", line );
    TCLAP::SwitchArg json( "", "json", "Print JSON", line );
    TCLAP::SwitchArg dryRun( "", "dry-run", "Check changes without committing them", line );
    TCLAP::SwitchArg wait( "", "wait", "Wait until changes are in force everywhere", line );
    TCLAP::ValueArg<std::int64_t> waitMs( "", "wait-ms", "How long --wait waits", false,
                                          defaultWaitMs, "ms", line );
    TCLAP::UnlabeledMultiArg<std::string> words( "text", "The text to run", false, "text", line );
    std::vector<std::string> args{ "coursehead-ctl" };
    args.insert( args.end(), arguments.begin(), arguments.end() );
    line.parse( args );

    Options options;
    options.entry = entry.getValue();
    options.token = token.getValue();
    options.json = json.getValue();
    options.dryRun = dryRun.getValue();
    options.waitMs = wait.getValue() ? waitMs.getValue() : 0;
    for( const auto& it : words.getValue() ) {
        options.text += ( options.text.empty() ? "" : " " ) + it;
    }
    if( !file.getValue().empty() && !readText( file.getValue(), options.text ) ) {
        std::cerr << "coursehead ctl: --file = '" << file.getValue() << "': can't be read\n";
        return exitUsage;
    }
    if( options.text.empty() ) {
        std::cerr << "coursehead ctl: expected a text to run, or --file\n";
        return exitUsage;
    }
    return send( options );
}

} // namespace

int runCtl( std::span<const std::string> arguments ) {
    try {
        return parseAndSend( arguments );
    } catch( const TCLAP::ArgException& ex ) {
        std::cerr << "coursehead ctl: " << ex.argId() << ": " << ex.error() << "\n";
        return exitUsage;
    } catch( const TCLAP::ExitException& ) {
        return exitOk;
    }
}

} // namespace coursehead::ctl
