// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_PLATFORM_ROLE_HPP_INCLUDED
#define COURSEHEAD_KERNEL_PLATFORM_ROLE_HPP_INCLUDED

#include "platform/node_settings.hpp"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace coursehead::daemon {

//! Checks the flags and the platform's settings file, sets up the log and runs the role. Returns
//! the exit code.
int runPlatformRole( std::string_view role, std::span<const std::string> arguments,
                     const std::function<int( const platform::NodeSettings& )>& run );

} // namespace coursehead::daemon

#endif // COURSEHEAD_KERNEL_PLATFORM_ROLE_HPP_INCLUDED
