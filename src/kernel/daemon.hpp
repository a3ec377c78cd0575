// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_DAEMON_HPP_INCLUDED
#define COURSEHEAD_KERNEL_DAEMON_HPP_INCLUDED

#include "coursehead/config/replica.hpp"
#include "coursehead/kernel/settings.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "coursehead/peer/loop.hpp"
#include "coursehead/platform/watcher.hpp"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

//! What the two daemons, entry and agent, have in common.
namespace coursehead::daemon {

//! Exit codes of the daemons.
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;

//! The settings every daemon has, followed by the role's own.
std::vector<settings::Spec> withCommon( std::span<const settings::Spec> own );

//! Checks the settings, sets the log up, then runs the role.
int runRole( std::string_view role, std::span<const settings::Spec> specs,
             std::span<const std::string> arguments,
             const std::function<int( const settings::Settings& )>& run );

//! The peer layer's settings.
peer::LoopSettings loopSettings( const settings::Settings& settings );
platform::WatchSettings watchSettings( const settings::Settings& settings );

//! Waits until nothing is in flight, at most for the setting drain-limit-ms, and logs what is left.
void waitUntilIdle( const settings::Settings& settings, const Clock& clock,
                    const std::function<std::size_t()>& inFlight );

//! Registers the gauges that every daemon has.
void addCommonGauges( metrics::Metrics& metrics, const config::Replica& replica,
                      const platform::StoreStats& store, const peer::Loop& loop );

} // namespace coursehead::daemon

#endif // COURSEHEAD_KERNEL_DAEMON_HPP_INCLUDED
