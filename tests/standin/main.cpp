// SPDX-License-Identifier: BSL-1.0
#include "coursehead/http/server.hpp"
#include "coursehead/kernel/settings.hpp"
#include "coursehead/kernel/signals.hpp"
#include "standin.hpp"

#include <cstdio>
#include <iostream>

// coursehead-standin store|engine|service|weights [--NAME=VALUE …]
// Prints "port=N" once it listens, and exits on SIGTERM.

namespace {

bool makeHandler( const std::string& role, const standin::Options& options,
                  standin::Handler& out ) {
    if( role == "store" ) {
        out = standin::makeStore( options );
    } else if( role == "engine" ) {
        out = standin::makeEngine( options );
    } else if( role == "service" ) {
        out = standin::makeService( options );
    } else if( role == "weights" ) {
        out = standin::makeWeights( options );
    } else {
        return false;
    }
    return true;
}

standin::Options readOptions( int argc, char** argv ) {
    standin::Options out;
    for( int n = 2; n < argc; ++n ) {
        const std::string text = argv[n];
        const auto equals = text.find( '=' );
        if( text.rfind( "--", 0 ) == 0 && equals != std::string::npos ) {
            out[text.substr( 2, equals - 2 )] = text.substr( equals + 1 );
        }
    }
    return out;
}

} // namespace

int main( int argc, char** argv ) {
    const auto options = readOptions( argc, argv );
    standin::Handler handler;
    if( argc < 2 || !makeHandler( argv[1], options, handler ) ) {
        std::cerr << "usage: coursehead-standin store|engine|service|weights [--NAME=VALUE ...]\n";
        return 2;
    }
    coursehead::blockStopSignals();
    coursehead::http::ServerLimits limits;
    limits.threads = 4096;
    limits.bodyBytes = 8U << 20U;
    limits.readSeconds = 60;
    coursehead::http::Server server( limits, handler, []( int status ) {
        return standin::reply( status, nlohmann::json::object() );
    } );
    const auto listenAddress =
        coursehead::settings::splitAddress( standin::option( options, "listen", "127.0.0.1:0" ) );
    const int port = server.start( listenAddress.host, listenAddress.port );
    if( port < 0 ) {
        std::cerr << "cannot listen on the address of --listen\n";
        return 1;
    }
    std::printf( "port=%d\n", port );
    std::fflush( stdout );
    coursehead::waitForStopSignal();
    // Exits without waiting for open streams; a stand-in has no state to save.
    std::_Exit( 0 );
}
