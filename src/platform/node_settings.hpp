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

//! IP and port.
struct Endpoint {
    std::string ip;
    int port = 0;

    bool operator==( const Endpoint& ) const = default;
    bool valid() const noexcept { return port > 0; }
    std::string text() const { return ip + ":" + std::to_string( port ); }
};

//! Reads IP:PORT; an endpoint with port 0 when malformed.
Endpoint readEndpoint( std::string_view text );

//! The bounds of the platform that the product's timing is derived from.
struct Bounds {
    Millis contact{ 3000 };       //!< a process is judged again this long after trouble ends
    Millis drain{ 2000 };         //!< time to stop sending to an upstream that is leaving
    Millis grace{ 8000 };         //!< from SIGTERM to SIGKILL
    Millis configuration{ 2000 }; //!< time to put a configuration in force
    double retryRatio = 0.2;      //!< retries allowed per request
    Millis retryWindow{ 10000 };
    double retrySlack = 50;       //!< retries allowed per window on top, by all processes
    Millis ceilingWindow{ 5000 }; //!< window of the weight store's rate
    double ceilingOver = 1.1;     //!< tolerated factor over the weight store's rate
    Millis quotaWindow{ 8000 };   //!< in which organisations' quotas are judged
    double quotaOver = 0;         //!< part of a quota that may be passed
    double quotaSlack = 0;        //!< units that may be spent on top
    bool fencingRequired = false; //!< upstreams check fencing tokens
    Millis evacuation{ 0 }; //!< time to send nothing more to a hall that is emptied; 0: none is
    double coldOver = 0;    //!< factor on what a cold upstream says it bears
    double coldSlack = 0;   //!< requests a second on top
};

//! The rule by which organisations' quotas are judged.
inline decide::QuotaRule quotaRule( const Bounds& bounds ) {
    return { bounds.quotaWindow, bounds.quotaOver, bounds.quotaSlack };
}

//! The rule by which halls are emptied.
inline decide::EvacuationRule evacuationRule( const Bounds& bounds ) {
    return { bounds.evacuation, bounds.contact };
}

//! The rule by which cold upstreams are spared.
inline decide::ColdRule coldRule( const Bounds& bounds ) {
    return { bounds.coldOver, bounds.coldSlack };
}

//! The settings that the platform lays down for a process.
struct NodeSettings {
    std::string vm;
    std::string hall;
    std::map<std::string, std::string> regions; //!< of each hall
    Endpoint front;    //!< where clients are accepted; invalid on VMs beside an engine
    Endpoint ready;    //!< where readiness is asked for
    std::string ip;    //!< of this VM
    int firstPort = 0; //!< first of the ports free for the project's own traffic
    int lastPort = 0;
    int metricsPort = 0;     //!< where the process's own figures are served
    Endpoint engine;         //!< the engine on this VM; invalid on fronts
    std::string service;     //!< of that engine
    bool firstStart = false; //!< of the whole deployment: no process has ever run before
    Endpoint store;          //!< the platform's object store
    std::uint64_t storeReadsPerS = 0;
    Bounds bounds;
};

//! The settings, or every problem found, each naming field and value.
struct ReadSettings {
    NodeSettings settings;
    std::vector<std::string> problems;
};

//! The file's path from the environment; empty when not set.
std::string settingsPath();
ReadSettings parseNodeSettings( std::string_view json );
ReadSettings readNodeSettings( const std::string& path );

//! Notices that the settings file was replaced: it may change without a signal.
class SettingsWatch {
public:
    explicit SettingsWatch( std::string path );
    //! True when the file's text is another than at the last call. One that cannot be read has not
    //! changed: it may be in the middle of being replaced.
    bool changed();

private:
    std::string m_path;
    std::uint64_t m_hash; //!< of the text that was seen last
};

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_NODE_SETTINGS_HPP_INCLUDED
