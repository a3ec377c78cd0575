// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_KERNEL_HPP_INCLUDED
#define COURSEHEAD_KERNEL_KERNEL_HPP_INCLUDED

#include <any>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace coursehead {

//! A part of the process with a lifetime. `start` may throw; `stop` must not.
struct Service {
    std::string name;
    std::function<void()> start;
    std::function<void()> stop;
};

//! Thrown if a service or an interface is registered twice, or an interface is absent or has
//! another type.
struct KernelError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/**
 * The micro-kernel: owns the services of the process, starts them in the order of registration and
 * stops them in reverse order. Services look up each other's interfaces by name.
 */
class Kernel {
public:
    //! Registers a service. Services start in the order of registration.
    void add( Service service );

    //! Registers an interface under a name. The object must outlive the kernel.
    template <typename T>
    void provide( std::string_view name, T& object ) {
        publish( name, std::any( &object ) );
    }

    //! Returns a registered interface; throws KernelError if it is absent or has another type.
    template <typename T>
    T& find( std::string_view name ) const {
        auto* const* found = std::any_cast<T*>( &lookUp( name ) );
        if( found == nullptr ) {
            throw KernelError( "interface '" + std::string( name ) + "' has another type" );
        }
        return **found;
    }

    //! Starts all services. If one throws, stops the services already started and rethrows.
    void start();
    //! Stops the started services in reverse order of their start.
    void stop();

private:
    void publish( std::string_view name, std::any object );
    const std::any& lookUp( std::string_view name ) const;

    std::vector<Service> m_services;
    std::size_t m_started = 0;
    std::map<std::string, std::any, std::less<>> m_interfaces;
};

} // namespace coursehead

#endif // COURSEHEAD_KERNEL_KERNEL_HPP_INCLUDED
