// SPDX-License-Identifier: BSL-1.0
#include "coursehead/http/client.hpp"
#include "standin/answer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

// coursehead-load URL MODEL STREAMS TOKENS ROUNDS [direct]: runs STREAMS concurrent streams, each
// with one answer per round, and checks that every answer is complete and belongs to its request.
// STREAMS and ROUNDS are capped. With a model name of "-" and the URL of an engine, requests go to
// the engine itself, without entry and agent.

namespace {

using Clock = std::chrono::steady_clock;
using coursehead::Millis;
using Json = nlohmann::json;

struct Samples {
    std::mutex mutex;
    std::vector<double> first;
    std::vector<double> between;
    std::size_t complete = 0;
    std::size_t broken = 0;
    std::size_t tokens = 0;
};

double valueAtShare( std::vector<double>& values, double share ) {
    if( values.empty() ) {
        return 0;
    }
    std::sort( values.begin(), values.end() );
    return values[static_cast<std::size_t>( share * static_cast<double>( values.size() - 1 ) )];
}

double elapsedMs( Clock::time_point from ) {
    return std::chrono::duration<double, std::milli>( Clock::now() - from ).count();
}

void requestAnswer( const std::string& url, const std::string& model, const std::string& prompt,
                    int tokens, bool direct, Samples& out ) {
    const Json messages = Json::array( { { { "role", "user" }, { "content", prompt } } } );
    Json body{ { "model", model },
               { "messages", messages },
               { "max_tokens", tokens },
               { "stream", true } };
    if( direct ) {
        body["request_id"] = prompt;
    }
    coursehead::http::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body.dump();
    coursehead::http::Client client( url, { Millis( 5000 ), Millis( 60000 ) } );
    std::string text;
    std::string partial;
    std::vector<double> gaps;
    auto last = Clock::now();
    const auto parseLine = [&]( const std::string& line ) {
        if( line.rfind( "data: {", 0 ) != 0 ) {
            return;
        }
        const auto event = Json::parse( line.substr( 6 ), nullptr, false );
        if( !event.is_object() || !event.contains( "choices" ) || event["choices"].empty() ||
            !event["choices"][0].contains( "delta" ) ) {
            return;
        }
        const auto piece = event["choices"][0]["delta"].value( "content", "" );
        if( !piece.empty() ) {
            text += piece;
            gaps.push_back( elapsedMs( last ) );
            last = Clock::now();
        }
    };
    client.stream( request, [&]( int, std::string_view bytes ) {
        partial.append( bytes );
        for( auto end = partial.find( '\n' ); end != std::string::npos;
             end = partial.find( '\n' ) ) {
            parseLine( partial.substr( 0, end ) );
            partial.erase( 0, end + 1 );
        }
        return true;
    } );
    const bool complete =
        text == standin::answerText( model, messages.dump(), static_cast<std::uint32_t>( tokens ) );
    const std::lock_guard lock( out.mutex );
    ( complete ? out.complete : out.broken ) += 1;
    out.tokens += gaps.size();
    if( !gaps.empty() ) {
        out.first.push_back( gaps.front() );
        out.between.insert( out.between.end(), gaps.begin() + 1, gaps.end() );
    }
}

} // namespace

int main( int argc, char** argv ) {
    if( argc < 6 ) {
        std::fprintf( stderr, "usage: coursehead-load URL MODEL STREAMS TOKENS ROUNDS [direct]\n" );
        return 2;
    }
    const std::string url = argv[1];
    const std::string model = argv[2];
    const int streams = std::min( std::stoi( argv[3] ), 2000 );
    const int tokens = std::stoi( argv[4] );
    const int rounds = std::min( std::stoi( argv[5] ), 100 );
    const bool direct = argc > 6;
    Samples samples;
    const auto begin = Clock::now();
    {
        std::vector<std::jthread> threads;
        threads.reserve( static_cast<std::size_t>( streams ) );
        for( int n = 0; n < streams; ++n ) {
            threads.emplace_back( [&, n] {
                for( int k = 0; k < rounds; ++k ) {
                    requestAnswer( url, model,
                                   "p" + std::to_string( n ) + "-" + std::to_string( k ), tokens,
                                   direct, samples );
                }
            } );
        }
    }
    const double seconds = elapsedMs( begin ) / 1000;
    std::printf(
        "streams=%d whole=%zu broken=%zu tokens_per_s=%.0f first_p50=%.2fms first_p99=%.2fms "
        "between_p50=%.2fms between_p99=%.2fms seconds=%.1f\n",
        streams, samples.complete, samples.broken, static_cast<double>( samples.tokens ) / seconds,
        valueAtShare( samples.first, 0.5 ), valueAtShare( samples.first, 0.99 ),
        valueAtShare( samples.between, 0.5 ), valueAtShare( samples.between, 0.99 ), seconds );
    return samples.broken == 0 ? 0 : 1;
}
