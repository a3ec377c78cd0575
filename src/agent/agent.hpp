// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_AGENT_HPP_INCLUDED
#define COURSEHEAD_AGENT_AGENT_HPP_INCLUDED

#include <span>
#include <string>

namespace coursehead::agent {

//! Runs the role `coursehead agent` for one upstream; returns the process's exit code.
int runAgent( std::span<const std::string> arguments );

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_AGENT_HPP_INCLUDED
