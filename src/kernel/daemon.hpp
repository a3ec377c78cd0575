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

//! Functions shared by the two daemons, entry and agent.
namespace coursehead::daemon {

//! Exit codes of the daemons.
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;

//! Returns the settings that all daemons have, followed by the settings of the role.
std::vector<settings::Spec> withCommon( std::span<const settings::Spec> own );

//! Checks the settings, sets up the log and runs the role. Returns the exit code.
int runRole( std::string_view role, std::span<const settings::Spec> specs,
             std::span<const std::string> arguments,
             const std::function<int( const settings::Settings& )>& run );

//! The settings of the peer layer.
peer::LoopSettings loopSettings( const settings::Settings& settings );
platform::WatchSettings watchSettings( const settings::Settings& settings );

//! Waits until no request is in flight, at most for the setting drain-limit-ms, and logs the number
//! of remaining requests.
void waitUntilIdle( const settings::Settings& settings, const Clock& clock,
                    const std::function<std::size_t()>& inFlight );

//! Registers the gauges that all daemons have.
void addCommonGauges( metrics::Metrics& metrics, const config::Replica& replica,
                      const platform::StoreStats& store, const peer::Loop& loop );

} // namespace coursehead::daemon

#endif // COURSEHEAD_KERNEL_DAEMON_HPP_INCLUDED
