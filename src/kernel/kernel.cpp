// SPDX-License-Identifier: BSL-1.0
#include "coursehead/kernel/kernel.hpp"

#include "coursehead/kernel/clock.hpp"

#include <ctime>

namespace coursehead {

MonoClock::time_point MonoClock::now() noexcept {
    timespec bootTime{};
    ::clock_gettime( CLOCK_BOOTTIME, &bootTime );
    return time_point( std::chrono::seconds( bootTime.tv_sec ) +
                       std::chrono::nanoseconds( bootTime.tv_nsec ) );
}

Clock systemClock() {
    return Clock{
        [] { return MonoClock::now(); },
        [] {
            const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
            return std::chrono::duration_cast<Millis>( sinceEpoch ).count();
        },
    };
}

void Kernel::add( Service service ) {
    for( const auto& it : m_services ) {
        if( it.name == service.name ) {
            throw KernelError( "service '" + service.name + "' is registered twice" );
        }
    }
    m_services.push_back( std::move( service ) );
}

void Kernel::start() {
    while( m_started < m_services.size() ) {
        try {
            m_services[m_started].start();
        } catch( ... ) {
            stop();
            throw;
        }
        ++m_started;
    }
}

void Kernel::stop() {
    while( m_started > 0 ) {
        --m_started;
        m_services[m_started].stop();
    }
}

void Kernel::publish( std::string_view name, std::any object ) {
    const auto inserted = m_interfaces.emplace( std::string( name ), std::move( object ) ).second;
    if( !inserted ) {
        throw KernelError( "interface '" + std::string( name ) + "' is provided twice" );
    }
}

const std::any& Kernel::lookUp( std::string_view name ) const {
    const auto it = m_interfaces.find( name );
    if( it == m_interfaces.end() ) {
        throw KernelError( "interface '" + std::string( name ) + "' is not provided" );
    }
    return it->second;
}

} // namespace coursehead
