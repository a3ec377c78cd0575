// SPDX-License-Identifier: BSL-1.0
#include "soak/child.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace coursehead::soak {

Child::Child( std::vector<std::string> command, std::string settingsFile, std::string logFile )
    : m_command( std::move( command ) ), m_settingsFile( std::move( settingsFile ) ),
      m_logFile( std::move( logFile ) ) {}

Child::~Child() {
    if( running() ) {
        signal( SIGKILL );
        ::waitpid( m_pid, nullptr, 0 );
    }
}

void Child::start() {
    std::vector<char*> arguments;
    for( auto& it : m_command ) {
        arguments.push_back( it.data() );
    }
    arguments.push_back( nullptr );
    const std::string setting = "COURSEHEAD_NODE_FILE=" + m_settingsFile;
    m_pid = ::fork();
    if( m_pid < 0 ) {
        throw std::runtime_error( "cannot start " + m_command.front() );
    }
    if( m_pid == 0 ) {
        // The kernel kills this process when the soak ends, also after a crash of the soak.
        ::prctl( PR_SET_PDEATHSIG, SIGKILL );
        const int log =
            ::open( m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644 );
        ::dup2( log, STDOUT_FILENO );
        ::dup2( log, STDERR_FILENO );
        // Inherited sockets of the soak would stay open here after the soak has closed them.
        ::close_range( STDERR_FILENO + 1, ~0U, 0 );
        ::putenv( const_cast<char*>( setting.c_str() ) );
        ::execv( arguments.front(), arguments.data() );
        ::_exit( 127 );
    }
    ++m_starts;
}

void Child::signal( int number ) const {
    if( m_pid > 0 ) {
        ::kill( m_pid, number );
    }
}

bool Child::running() {
    if( m_pid <= 0 ) {
        return false;
    }
    if( ::waitpid( m_pid, nullptr, WNOHANG ) == m_pid ) {
        m_pid = -1;
        return false;
    }
    return true;
}

long Child::peakKb() const {
    std::ifstream in( "/proc/" + std::to_string( m_pid ) + "/status" );
    std::string word;
    while( in >> word ) {
        if( word == "VmHWM:" ) {
            long out = 0;
            in >> out;
            return out;
        }
    }
    return 0;
}

} // namespace coursehead::soak
