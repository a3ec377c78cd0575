// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CTL_CTL_HPP_INCLUDED
#define COURSEHEAD_CTL_CTL_HPP_INCLUDED

#include <span>
#include <string>

namespace coursehead::ctl {

//! The role `coursehead ctl`: sends an operator's text to an entry and prints the response.
int runCtl( std::span<const std::string> arguments );

} // namespace coursehead::ctl

#endif // COURSEHEAD_CTL_CTL_HPP_INCLUDED
