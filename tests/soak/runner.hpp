// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_RUNNER_HPP_INCLUDED
#define COURSEHEAD_SOAK_RUNNER_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "soak/record.hpp"
#include "support/limit_watch.hpp"
#include "support/object_store.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coursehead::soak {

using support::http::request;
using support::http::string_body;

//! How an upstream treats requests.
enum class RunnerMode {
    well,
    slow,    //!< everything takes five times as long
    mute,    //!< runs requests and answers nothing
    failing, //!< answers 500
    full,    //!< refuses: not run
    cutting, //!< breaks off inside its answers
    losing,  //!< runs requests, then resets
    talking, //!< sends a second answer after each whole one
};

//! Where an upstream stands.
struct RunnerSettings {
    std::string service;
    bool engine = false;
    std::string ip;       //!< it listens here
    std::string listedIp; //!< others reach it here
    int port = 0;
    std::string hall;
    Millis drain{ 0 }; //!< nobody may send to it so long after it began to leave
};

//! A stand-in for an upstream: a model engine or a plain service, as the platform's pages say.
class Runner {
public:
    Runner( net::asio::io_context& context, support::ObjectStore& store, Record& record,
            RandomSource& random, RunnerSettings settings );

    //! Begins a new life, with a new id.
    void start();
    //! Ends at once, without a word.
    void crash();
    //! Says that it leaves, serves on, and ends.
    void leave();
    void setMode( RunnerMode mode ) { m_mode = mode; }
    //! Turns the next requests away and asks whoever sent them to send nothing for `backoff`.
    void turnAway( int requests, Millis backoff );
    //! Names a limit in all its answers from now on; nullopt: none any more.
    void nameLimit( std::optional<double> perS ) { m_limit.setLimit( perS, MonoClock::now() ); }
    const support::LimitWatch& limit() const { return m_limit; }
    bool alive() const { return m_life != nullptr; }
    bool isEngine() const { return m_settings.engine; }
    //! When a new life may begin, after an end that a request has caused.
    MonoTime backAt() const { return m_backAt; }

    //! What callers must find in a whole answer.
    static std::string bodyFor( const std::string& id );
    static std::string sealFor( const std::string& id, const std::string& body );
    //! Events of a request's stream.
    static int eventsFor( const std::string& id );

private:
    //! It asked to be sent nothing for a while.
    struct Backoff {
        MonoTime since;
        Millis length{ 0 };
        int arrived = 0; //!< meanwhile, but for what was under way
    };
    //! One start.
    struct Life {
        std::string id;
        bool over = false;
        std::optional<MonoTime> leavingSince;
        std::optional<MonoTime> saidLeavingAt; //!< in an answer, for the first time
        std::set<std::shared_ptr<net::Socket>> sockets;
        std::map<std::string, std::set<std::string>> models; //!< with adapters
        std::map<std::string, int> runs;                     //!< by request id
        std::map<std::string, int> runEvents;
        std::uint64_t sequence = 0;
        bool orderInProgress = false;
        std::string holder;
        MonoTime orderedAt;
        std::uint64_t beats = 0;
        std::vector<Backoff> backoffs;
    };
    using LifePtr = std::shared_ptr<Life>;
    using Request = request<string_body>;

    net::Task<> accept( LifePtr life, std::shared_ptr<net::Acceptor> acceptor );
    net::Task<> serve( LifePtr life, std::shared_ptr<net::Socket> socket );
    net::Task<bool> answer( LifePtr life, std::shared_ptr<net::Socket> socket, Request request );
    net::Task<bool> run( LifePtr life, std::shared_ptr<net::Socket> socket, Request request );
    net::Task<> endUnder( LifePtr life, std::string content );
    net::Task<bool> runPlain( LifePtr life, std::shared_ptr<net::Socket> socket, std::string id );
    net::Task<bool> runStream( LifePtr life, std::shared_ptr<net::Socket> socket, std::string id,
                               int after );
    net::Task<bool> send( std::shared_ptr<net::Socket> socket, std::string bytes );
    std::string takeOrder( Life& life, const Request& request );
    net::Task<> carryOut( LifePtr life, nlohmann::json order );
    void checkOrder( Life& life, const nlohmann::json& order );
    std::string report( const Life& life ) const;
    void noteArrival( Life& life, const std::string& id );
    //! Counts what comes against what it said in its answers, as if all came from one gateway.
    void noteUnheard( Life& life );
    std::string refusal( Life& life, const std::string& id );
    //! What it says of itself in all its answers.
    std::string announcedFields( Life& life );
    std::string leavingField( Life& life );
    void writeEntry( const Life& life );
    net::Task<> beat( LifePtr life );
    net::Task<> end( LifePtr life, Millis after, Millis lapse );
    void close( Life& life );
    Millis work( int most );

    net::asio::io_context& m_context;
    support::ObjectStore& m_store;
    Record& m_record;
    RandomSource& m_random;
    RunnerSettings m_settings;
    RunnerMode m_mode = RunnerMode::well;
    int m_turnsAway = 0;
    Millis m_backoff{ 0 };
    support::LimitWatch m_limit{ knowledgeBound };
    LifePtr m_life;
    MonoTime m_backAt;
    std::shared_ptr<net::Acceptor> m_acceptor;
    int m_lives = 0;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_RUNNER_HPP_INCLUDED
