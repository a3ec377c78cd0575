// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_CARRYING_CAPACITY_HPP_INCLUDED
#define COURSEHEAD_DECIDE_CARRYING_CAPACITY_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/**
 * What a gateway can carry. Gateways differ in processor time and links, and clients may be spread
 * unevenly over them. One that has more work than it can carry delays all its requests while others
 * have room. It first refuses connections (accept_limiter.hpp); if that does not suffice, or others
 * have no room either, it refuses the least urgent requests at once, and for a short time shows
 * that new connections had better go elsewhere.
 */
namespace coursehead::decide {

//! Limits of a gateway's vm; 0: not stated, and not judged.
struct CapacityLimits {
    std::uint64_t memoryBytes = 0;
    std::uint64_t descriptors = 0;
    double linkBytesPerS = 0;
    Millis shortestGoal{
        0 }; //!< of all routes; the limit on the event loop's delay follows from it

    bool any() const noexcept { return memoryBytes > 0 || descriptors > 0 || linkBytesPerS > 0; }
};

//! What a gateway measured since the last measurement.
struct CapacityMeasure {
    double loopDelayMs = 0; //!< how late a timer fired
    double linkBytesPerS = 0;
    std::uint64_t descriptors = 0; //!< in use; 0: not known
    std::uint64_t memoryBytes = 0; //!< resident; 0: not known
};

enum class CapacityCause { none, loopDelay, link, descriptors, memory };

std::string_view capacityCauseText( CapacityCause cause );

//! The highest load of a gateway, as a share of a threshold, and what it is measured by.
struct CapacityLoad {
    double load = 0;
    CapacityCause cause = CapacityCause::none;
};

/**
 * Decides which requests a gateway takes. A level of 0 takes all; level k refuses the k least
 * urgent ranks of requests.
 */
class CarryingCapacity {
public:
    void setLimits( const CapacityLimits& limits ) { m_limits = limits; }
    //! Whether new connections are refused for the load. The level rises later then, because the
    //! work that was accepted before takes a while.
    void setConnectionsRefused( bool refused ) { m_connectionsRefused = refused; }
    //! Takes a measurement, made every tenth of a second. Returns true when the level changes.
    bool note( const CapacityMeasure& measure, MonoTime now );

    //! True if a request is refused. `rank` counts the distinct priorities of the configuration
    //! from 0, the most urgent one, to `ranks` - 1. The most urgent one is refused only when
    //! descriptors or memory run out: serving it would then end all requests.
    bool refuses( int rank, int ranks ) const noexcept;

    int level() const noexcept { return m_level; }
    const CapacityLoad& load() const noexcept { return m_load; }
    //! The load by the last measurements; one that is out of line changes little.
    const CapacityLoad& recentLoad() const noexcept { return m_recentLoad; }
    double medianLoopDelayMs() const noexcept { return m_loopDelayMs; }
    //! True while the load is twice the usual one or more.
    bool isWorseThanUsual() const noexcept;
    //! When the level last rose from 0; only valid while it is above 0.
    MonoTime raisedAt() const noexcept { return m_raisedAt; }

private:
    static constexpr std::size_t delayCount = 10;
    static constexpr std::size_t recentCount = 5;

    CapacityLoad loadOf( const CapacityMeasure& measure ) const;
    double medianDelay( double delayMs );
    CapacityMeasure recentMeasure( const CapacityMeasure& measure );

    CapacityLimits m_limits;
    std::array<double, delayCount> m_delaysMs{};
    std::size_t m_nextDelay = 0;
    double m_loopDelayMs = 0;
    std::array<CapacityMeasure, recentCount> m_recent{};
    std::size_t m_nextRecent = 0;
    CapacityLoad m_load;
    CapacityLoad m_recentLoad;
    bool m_connectionsRefused = false;
    double m_usualLoad = 0;
    int m_level = 0;
    MonoTime m_highSince{}; //!< since when the load is 1 or more; default value: it is not
    MonoTime m_lowSince{};  //!< since when the load is low; default value: it is not
    MonoTime m_changedAt{}; //!< last change of the level
    MonoTime m_raisedAt{};
};

//! When a gateway shows that it is not ready because of its load.
class ReadinessRule {
public:
    //! `gatewayHash` is a hash of the gateway's name.
    explicit ReadinessRule( std::uint64_t gatewayHash ) : m_hash( gatewayHash ) {}

    //! Whether new connections had better go to other gateways, of which `gateways` are known,
    //! including this one. `wall` selects which gateways may show it at a time: about a quarter.
    bool showsNotReady( const CarryingCapacity& capacity, int gateways, WallMillis wall,
                        MonoTime now );

private:
    std::uint64_t m_hash;
    bool m_notReady = false;
    MonoTime m_since{}; //!< when it last began to be not ready; default value: never
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_CARRYING_CAPACITY_HPP_INCLUDED
