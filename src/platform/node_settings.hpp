// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_NODE_SETTINGS_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_NODE_SETTINGS_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/cold_gate.hpp"
#include "decide/evacuation.hpp"
#include "decide/quota.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coursehead::platform {

//! An IP address and a port; port 0 means that there is no endpoint.
struct Endpoint {
    std::string ip;
    int port = 0;

    bool operator==( const Endpoint& ) const = default;
    bool valid() const noexcept { return port > 0; }
    std::string text() const { return ip + ":" + std::to_string( port ); }
};

//! Parses IP:PORT; the port is 0 if the text is malformed.
Endpoint readEndpoint( std::string_view text );

//! The platform's limits, from which coursehead derives its timing.
struct Bounds {
    Millis contact{ 3000 }; //!< from the end of a fault until a process must meet its bounds again
    Millis drain{ 2000 };   //!< time limit to stop sending to an upstream that is leaving
    Millis grace{ 8000 };   //!< from SIGTERM to SIGKILL
    Millis configuration{ 2000 }; //!< time limit to apply a new configuration
    double retryRatio = 0.2;      //!< retries allowed per request
    Millis retryWindow{ 10000 };
    double retrySlack = 50;       //!< additional retries allowed per window, over all processes
    Millis ceilingWindow{ 5000 }; //!< window for the weight store's rate limit
    double weightStoreRateFactor = 1.1; //!< tolerated factor on the weight store's rate
    Millis quotaWindow{ 8000 };         //!< window for organisations' quotas
    double quotaExcessShare = 0;        //!< tolerated excess as a share of the quota
    double quotaSlack = 0;              //!< tolerated excess in units, in addition
    bool fencingRequired = false;       //!< upstreams check fencing tokens
    Millis evacuation{ 0 };    //!< time limit to stop sending to an evacuated hall; 0: disabled
    double coldRateFactor = 0; //!< factor on the service's rate for cold upstreams
    double coldRateSlack = 0;  //!< requests per second allowed in addition
};

//! The tolerance of organisations' quotas.
inline decide::QuotaRule quotaRule( const Bounds& bounds ) {
    return { bounds.quotaWindow, bounds.quotaExcessShare, bounds.quotaSlack };
}

//! The time limits of a hall's evacuation.
inline decide::EvacuationRule evacuationRule( const Bounds& bounds ) {
    return { bounds.evacuation, bounds.contact };
}

//! The limit on requests to cold upstreams.
inline decide::ColdRule coldRule( const Bounds& bounds ) {
    return { bounds.coldRateFactor, bounds.coldRateSlack };
}

//! What the platform limits a vm to; 0: no limit stated.
struct VmLimits {
    std::uint64_t memoryBytes = 0;
    std::uint64_t descriptors = 0;
    double linkBytesPerS = 0;
};

//! The settings that the platform provides to a process.
struct NodeSettings {
    std::string vm;
    std::string hall;
    std::map<std::string, std::string> regions; //!< region of each hall
    Endpoint clientEndpoint; //!< listens for clients; invalid on VMs that run an engine
    Endpoint ready;          //!< serves readiness probes
    std::string ip;          //!< IP address of this VM
    int firstPort = 0;       //!< first of the ports for coursehead's internal traffic
    int lastPort = 0;
    int metricsPort = 0;     //!< serves the metrics of the process
    Endpoint engine;         //!< the engine on this VM; invalid on gateways' VMs
    std::string service;     //!< service of that engine
    bool firstStart = false; //!< first start of the deployment: no process has run before
    Endpoint store;          //!< the platform's object store
    std::uint64_t storeReadsPerS = 0;
    VmLimits limits;
    bool partFetch = true; //!< engines may fetch cached prompt parts from each other
    Bounds bounds;
};

//! The parsed settings and all problems found. Each problem holds the field and its value.
struct ParsedNodeSettings {
    NodeSettings settings;
    std::vector<std::string> problems;
};

//! The path of the settings file from the environment; empty if it is not set.
std::string settingsPath();
ParsedNodeSettings parseNodeSettings( std::string_view json );
ParsedNodeSettings readNodeSettings( const std::string& path );

//! Detects by polling that the settings file was replaced, since no signal may announce it.
class SettingsWatch {
public:
    explicit SettingsWatch( std::string path );
    //! True if the content differs from that of the last call. An unreadable or empty file counts
    //! as unchanged, since it may be in the middle of being replaced.
    bool changed();

private:
    std::string m_path;
    std::uint64_t m_hash; //!< hash of the content last read
};

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_NODE_SETTINGS_HPP_INCLUDED
