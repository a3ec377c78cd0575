// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ENTRY_ENTRY_HPP_INCLUDED
#define COURSEHEAD_ENTRY_ENTRY_HPP_INCLUDED

#include <span>
#include <string>

namespace coursehead::entry {

//! Runs the role `coursehead entry` for callers and operators; returns the process's exit code.
int runEntry( std::span<const std::string> arguments );

} // namespace coursehead::entry

#endif // COURSEHEAD_ENTRY_ENTRY_HPP_INCLUDED
