// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_VM_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_VM_HPP_INCLUDED

#include "coursehead/platform/store.hpp"

#include <string>

namespace coursehead::platform {

enum class VmRole { entry, runner, service };
enum class VmState { live, leaving };

//! A VM as the platform lists it. The list lags; a VM that left the list is gone for good.
struct Vm {
    std::string name;
    std::string ip;
    int port = 0; //!< where the process of ours on it listens
    std::string hall;
    std::string region;
    VmRole role = VmRole::runner;
    VmState state = VmState::live;
};

//! Reads a VM object; false when it is malformed.
bool readVm( const Object& object, Vm& out );

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_VM_HPP_INCLUDED
