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

//! Thrown when a service is registered twice, or is looked up but absent.
struct KernelError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/**
 * The micro-kernel: holds the process's services, starts them in the order of registration and
 * stops them in reverse. Services find each other's interfaces by name.
 */
class Kernel {
public:
    //! Registers a service; the order of calls is the order of starting.
    void add( Service service );

    //! Publishes an interface under a name. The object must outlive the kernel.
    template <typename T>
    void provide( std::string_view name, T& object ) {
        publish( name, std::any( &object ) );
    }

    //! Finds a published interface; throws KernelError when absent or of another type.
    template <typename T>
    T& find( std::string_view name ) const {
        auto* const* found = std::any_cast<T*>( &lookUp( name ) );
        if( found == nullptr ) {
            throw KernelError( "service '" + std::string( name ) + "' has another type" );
        }
        return **found;
    }

    //! Starts every service; on failure stops those already started, then rethrows.
    void start();
    //! Stops the started services in reverse order.
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
