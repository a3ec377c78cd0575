// SPDX-License-Identifier: BSL-1.0
#include "coursehead/kernel/log.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace coursehead::log {

namespace {

bool needsQuotes( std::string_view value ) {
    return value.empty() || value.find_first_of( " \"=\n\r\t" ) != std::string_view::npos;
}

void appendValue( std::string& line, std::string_view value ) {
    if( !needsQuotes( value ) ) {
        line.append( value );
        return;
    }
    line.push_back( '"' );
    for( const char c : value ) {
        if( c == '\n' || c == '\r' || c == '\t' ) {
            line.push_back( ' ' );
            continue;
        }
        if( c == '"' || c == '\\' ) {
            line.push_back( '\\' );
        }
        line.push_back( c );
    }
    line.push_back( '"' );
}

void write( spdlog::level::level_enum level, std::string_view event,
            std::initializer_list<Field> fields ) {
    if( spdlog::should_log( level ) ) {
        spdlog::log( level, "{}", formatLine( event, fields ) );
    }
}

//! Capacity of the queue of lines that are not yet written.
constexpr std::size_t maxQueuedLines = 4096;

void installLogger( std::shared_ptr<spdlog::logger> logger, std::string_view level,
                    std::string_view role, std::string_view vm ) {
    logger->set_level( spdlog::level::from_str( std::string( level ) ) );
    logger->flush_on( spdlog::level::info );
    const std::string prefix = "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l role=" + std::string( role ) +
                               " vm=" + std::string( vm ) + " %v";
    logger->set_pattern( prefix, spdlog::pattern_time_type::utc );
    spdlog::set_default_logger( std::move( logger ) );
}

} // namespace

void setUp( std::string_view level, std::string_view role, std::string_view vm ) {
    installLogger( spdlog::stderr_logger_mt( "coursehead" ), level, role, vm );
}

void setUpBounded( std::string_view level, std::string_view role, std::string_view vm ) {
    spdlog::init_thread_pool( maxQueuedLines, 1 );
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger = std::make_shared<spdlog::async_logger>(
        "coursehead", std::move( sink ), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest );
    installLogger( std::move( logger ), level, role, vm );
}

std::string decimal( double number ) {
    return spdlog::fmt_lib::format( "{:.6g}", number );
}

std::string formatLine( std::string_view event, std::initializer_list<Field> fields ) {
    std::string line = "event=";
    line.append( event );
    for( const auto& it : fields ) {
        line.push_back( ' ' );
        line.append( it.key );
        line.push_back( '=' );
        appendValue( line, it.value );
    }
    return line;
}

void debug( std::string_view event, std::initializer_list<Field> fields ) {
    write( spdlog::level::debug, event, fields );
}
void info( std::string_view event, std::initializer_list<Field> fields ) {
    write( spdlog::level::info, event, fields );
}
void warn( std::string_view event, std::initializer_list<Field> fields ) {
    write( spdlog::level::warn, event, fields );
}
void error( std::string_view event, std::initializer_list<Field> fields ) {
    write( spdlog::level::err, event, fields );
}

} // namespace coursehead::log
