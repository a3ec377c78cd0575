// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_VM_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_VM_HPP_INCLUDED

#include "coursehead/platform/store.hpp"

#include <string>

namespace coursehead::platform {

enum class VmRole { entry, runner, service };
enum class VmState { live, leaving };

//! A VM in the platform's list. The list lags behind; a VM that has left it does not return.
struct Vm {
    std::string name;
    std::string ip;
    int port = 0; //!< listening port of the coursehead process on this VM
    std::string hall;
    std::string region;
    VmRole role = VmRole::runner;
    VmState state = VmState::live;
};

//! Parses a VM object; returns false if it is malformed.
bool readVm( const Object& object, Vm& out );

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_VM_HPP_INCLUDED
