// SPDX-License-Identifier: BSL-1.0
#include "operator/api.hpp"

#include "coursehead/kernel/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace coursehead::op {

using Json = nlohmann::json;

namespace {

constexpr std::int64_t maxWaitMs = 600000;

http::Response answer( int status, std::string body ) {
    http::Response out;
    out.status = status;
    out.body = std::move( body );
    return out;
}

int httpStatus( CommandStatus status ) {
    switch( status ) {
    case CommandStatus::ok:
    case CommandStatus::waitTimedOut:
        return 200;
    case CommandStatus::syntax:
    case CommandStatus::rejected:
        return 400;
    case CommandStatus::conflict:
        return 409;
    case CommandStatus::unavailable:
    case CommandStatus::unknown:
        return 503;
    }
    return 500;
}

} // namespace

std::string_view statusName( CommandStatus status ) {
    switch( status ) {
    case CommandStatus::ok:
        return "ok";
    case CommandStatus::syntax:
        return "syntax";
    case CommandStatus::rejected:
        return "rejected";
    case CommandStatus::conflict:
        return "conflict";
    case CommandStatus::unavailable:
        return "unavailable";
    case CommandStatus::unknown:
        return "unknown";
    case CommandStatus::waitTimedOut:
        return "wait-timed-out";
    }
    return "unknown";
}

std::string toJson( const CommandResult& result ) {
    Json tables = Json::array();
    for( const auto& it : result.tables ) {
        tables.push_back(
            { { "title", it.title }, { "columns", it.columns }, { "rows", it.rows } } );
    }
    Json out{ { "status", statusName( result.status ) },
              { "revision", result.revision },
              { "message", result.message },
              { "tables", tables } };
    if( result.status == CommandStatus::syntax ) {
        out["syntax"] = { { "line", result.syntax.line },
                          { "column", result.syntax.column },
                          { "expected", result.syntax.expected },
                          { "found", result.syntax.found } };
    }
    return out.dump( -1, ' ', false, Json::error_handler_t::replace );
}

OperatorApi::OperatorApi( OperatorApiSettings settings, StatementContext world,
                          RolloutWaiter rolloutWaiter, const Clock& clock )
    : m_settings( std::move( settings ) ), m_world( std::move( world ) ),
      m_rolloutWaiter( std::move( rolloutWaiter ) ), m_clock( clock ) {}

http::Response OperatorApi::handle( const http::Request& request ) {
    constexpr int badRequest = 400;
    constexpr int unauthorized = 401;
    if( !m_settings.token.empty() &&
        request.header( "Authorization" ) != "Bearer " + m_settings.token ) {
        return answer( unauthorized,
                       R"({"status":"rejected","message":"operator token missing"})" );
    }
    const auto body = Json::parse( request.body, nullptr, false );
    if( !body.is_object() || !body.contains( "text" ) || !body["text"].is_string() ) {
        return answer( badRequest,
                       R"({"status":"rejected","message":"field 'text': expected a string"})" );
    }
    CommandOptions options;
    std::int64_t waitMs = 0;
    try {
        options.dryRun = body.value( "dry_run", false );
        options.author = body.value( "author", "" );
        waitMs =
            std::clamp<std::int64_t>( body.value( "wait_ms", std::int64_t{ 0 } ), 0, maxWaitMs );
    } catch( const Json::exception& ex ) {
        return answer( badRequest,
                       Json{ { "status", "rejected" }, { "message", ex.what() } }.dump() );
    }
    auto result = runText( body["text"].get<std::string>(), m_world, options );
    log::info( "operator_command", { { "status", statusName( result.status ) },
                                     { "author", options.author },
                                     { "revision", static_cast<std::int64_t>( result.revision ) },
                                     { "message", result.message } } );
    if( result.status == CommandStatus::ok && waitMs > 0 && !options.dryRun &&
        !m_rolloutWaiter( result.revision, m_clock.now() + Millis( waitMs ) ) ) {
        result.status = CommandStatus::waitTimedOut;
        result.message += "; not yet in force everywhere";
    }
    return answer( httpStatus( result.status ), toJson( result ) );
}

} // namespace coursehead::op
