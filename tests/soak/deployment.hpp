// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_DEPLOYMENT_HPP_INCLUDED
#define COURSEHEAD_SOAK_DEPLOYMENT_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "soak/child.hpp"
#include "soak/link.hpp"
#include "soak/runner.hpp"

#include <memory>
#include <string>
#include <vector>

namespace coursehead::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    int seconds = 30;
    int gateways = 3;
    int engines = 5;
    int services = 2;
    int callers = 16;
    std::string binary; //!< the program under test
    std::string folder; //!< for settings and logs
};

//! Bounds that the settings give, and that the checks hold the processes to.
inline constexpr Millis contactBound = knowledgeBound;
inline constexpr Millis drainBound{ 1500 };
inline constexpr Millis configurationBound{ 1500 };
inline constexpr Millis evacuationBound{ 1500 };
inline constexpr int graceS = 5;

inline constexpr int frontPort = 7001;
inline constexpr int readyPort = 7002;
inline constexpr const char* hostName = "soak.example";

//! A gateway or a sidecar: a real process, and the links that it is reached by.
struct Process {
    std::string name;
    std::string ip;
    std::unique_ptr<Child> child;
    std::unique_ptr<Link> toStore;
    std::unique_ptr<Link> toIt;   //!< callers to a gateway, gateways to a sidecar
    std::string reachedIp;        //!< address of `toIt`
    MonoTime stopAsked;           //!< SIGTERM was sent
    bool held = false;            //!< stopped by SIGSTOP
    bool down = false;            //!< killed, not yet started again
    int misses = 2;               //!< readiness questions in a row without a 200
    std::uint64_t seenConfig = 0; //!< in this life
    int seenLife = 0;
};

//! An upstream with its link.
struct Upstream {
    std::unique_ptr<Runner> runner;
    std::unique_ptr<Link> toIt;
    bool starting = false; //!< a new life is about to begin
};

//! Everything that a soak runs, on loopback addresses of its own.
class Deployment {
public:
    Deployment( net::asio::io_context& context, Record& record, RandomSource& random,
                SoakOptions options );

    const SoakOptions& options() const { return m_options; }
    net::asio::io_context& context() { return m_context; }
    Record& record() { return m_record; }
    RandomSource& random() { return m_random; }
    support::ObjectStore& store() { return m_store; }
    std::vector<std::unique_ptr<Process>>& gateways() { return m_gateways; }
    std::vector<std::unique_ptr<Process>>& sidecars() { return m_sidecars; }
    std::vector<Upstream>& upstreams() { return m_upstreams; }

    void start();
    //! Writes a new configuration: the newest versions' own routes come and go.
    void changeConfiguration();
    //! Regions that streams which may be resumed are served in, from the next change on.
    void setHomes( std::vector<std::string> homes ) { m_homes = std::move( homes ); }
    std::uint64_t version() const { return m_version; }
    MonoTime changedAt() const { return m_changedAt; }
    //! Writes a gateway's settings anew, with other figures where that does no harm.
    void rewriteSettings( const Process& process );
    //! Ends what does not stop by itself, starts again what has ended.
    void look();
    //! A gateway that takes callers, as the platform's balancer sees it.
    Process& pickGateway();

private:
    std::string address( int index ) const;
    std::string settingsPath( const Process& process ) const;
    void writeSettings( const Process& process, int engine );
    void addGateway( int index );
    void addUpstream( int index, bool engine );
    void makeChild( Process& process, const std::string& role );
    net::Task<> askReadiness( Process& process );

    net::asio::io_context& m_context;
    Record& m_record;
    RandomSource& m_random;
    SoakOptions m_options;
    support::ObjectStore m_store;
    std::string m_network;
    std::vector<std::unique_ptr<Process>> m_gateways;
    std::vector<std::unique_ptr<Process>> m_sidecars;
    std::vector<Upstream> m_upstreams;
    std::uint64_t m_version = 0;
    std::vector<std::string> m_homes;
    MonoTime m_changedAt;
    bool m_firstStart = true;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_DEPLOYMENT_HPP_INCLUDED
