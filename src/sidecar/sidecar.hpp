// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_SIDECAR_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_SIDECAR_HPP_INCLUDED

#include <span>
#include <string>

namespace coursehead::sidecar {

//! Runs the sidecar of an engine, the only process that sends the engine orders. Returns the exit
//! code.
int runSidecar( std::span<const std::string> arguments );

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_SIDECAR_HPP_INCLUDED
