// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_RUNNER_HPP_INCLUDED
#define COURSEHEAD_SOAK_RUNNER_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "soak/models.hpp"
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

//! How an upstream responds to requests.
enum class RunnerMode {
    normal,
    slow,         //!< takes five times as long for each step
    unresponsive, //!< runs requests and sends no response
    failing,      //!< responds with status 500
    full,         //!< refuses requests with X-Not-Run
    truncating,   //!< closes the connection in the middle of a response
    dropping,     //!< runs requests, then closes the connection without a response
    duplicating,  //!< sends each complete response twice
};

//! Copies of answers that an upstream sends again where the next answer on the connection is due.
struct SurplusAnswers {
    double share = 0;  //!< of all answers that are not streams
    bool named = true; //!< the copies carry the id of the request that they answered
    bool whole = true; //!< false: each copy ends at a random byte, without an end of its connection
};

//! Service, addresses and hall of an upstream.
struct RunnerSettings {
    std::string service;
    bool engine = false;
    std::string ip;           //!< address that the upstream listens on
    std::string advertisedIp; //!< address in the store, which gateways connect to
    int port = 0;
    std::string hall;
    std::string version; //!< of its software
    Millis drain{ 0 };   //!< time after the start of leaving from which no request may arrive
};

//! Simulates an upstream, a model engine or a plain service, according to the platform's
//! documentation.
class Runner {
public:
    Runner( net::asio::io_context& context, support::ObjectStore& store, Record& record,
            RandomSource& random, RunnerSettings settings );

    //! Starts a new instance with a new id.
    void start();
    //! Ends the instance at once, without an announcement.
    void crash();
    //! Ends the instance at once; after `downtime` another one starts under the same id with
    //! another software version, and writes its entry `entryDelay` later.
    void restartUnderSameId( std::string version, Millis downtime, Millis entryDelay );
    //! Announces that the upstream leaves, keeps serving for a while, and then ends.
    void leave();
    void setMode( RunnerMode mode ) { m_mode = mode; }
    //! The software version of the instances that start from now on.
    void setVersion( std::string version ) { m_settings.version = std::move( version ); }
    //! Refuses the next `requests` requests; each refusal asks the gateway to send nothing for
    //! `backoff`.
    void turnAway( int requests, Millis backoff );
    //! Announces a rate limit in all responses from now on; nullopt: no limit any more.
    void nameLimit( std::optional<double> perS ) { m_limit.setLimit( perS, MonoClock::now() ); }
    const support::LimitWatch& limit() const { return m_limit; }
    //! Answers, streams too, end with their connection, without a length or chunks.
    void setUnframed( bool unframed ) { m_unframed = unframed; }
    void setSurplus( SurplusAnswers surplus ) { m_surplus = surplus; }
    //! Number of requests that run at once; more are refused.
    void setSlots( std::size_t slots ) { m_slots = slots; }
    bool alive() const { return m_instance != nullptr; }
    bool isEngine() const { return m_settings.engine; }
    //! Earliest time of the next start after a crash that a request has caused.
    MonoTime restartAllowedAt() const { return m_restartAllowedAt; }

    //! Body and seal that callers must find in a complete response.
    static std::string bodyFor( const std::string& id );
    static std::string sealFor( const std::string& id, const std::string& body );
    //! Number of events of a stream, which the attempt that began it identifies.
    static int eventsFor( const std::string& stream );

private:
    //! A back-off that the upstream has asked for.
    struct Backoff {
        MonoTime since;
        Millis length{ 0 };
        //! Requests received during the back-off, except those that may have been in flight.
        int arrived = 0;
    };
    //! An instance of the upstream, from its start to its end.
    struct Instance {
        std::string id;
        std::int64_t born = 0; //!< start time in Unix milliseconds
        bool over = false;
        std::optional<MonoTime> leavingSince;
        std::optional<MonoTime> announcedLeavingAt; //!< time of the first response that says so
        std::set<std::shared_ptr<net::Socket>> sockets;
        std::map<std::string, std::set<std::string>> models; //!< loaded models with their adapters
        std::map<std::string, int> runs;                     //!< by request id
        std::map<std::string, int> runEvents;
        std::uint64_t sequence = 0;
        bool orderInProgress = false;
        std::string holder;
        MonoTime orderedAt;
        std::uint64_t heartbeats = 0;
        std::vector<Backoff> backoffs;
    };
    using InstancePtr = std::shared_ptr<Instance>;
    using Request = request<string_body>;

    net::Task<> accept( InstancePtr instance, std::shared_ptr<net::Acceptor> acceptor );
    net::Task<> serve( InstancePtr instance, std::shared_ptr<net::Socket> socket );
    net::Task<bool> answer( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                            Request request );
    net::Task<bool> run( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                         Request request );
    net::Task<> crashDuringRequest( InstancePtr instance, std::string content );
    net::Task<bool> runPlain( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                              std::string id );
    //! A run of a stream.
    struct StreamRun {
        std::string id;
        std::string stream; //!< id of the attempt that began it
        int after = 0;      //!< it goes on after this event
        //! Part of its prompt that crashes the upstream after the first event; nullopt: none.
        std::optional<std::string> poisonPart;
    };
    net::Task<bool> runStream( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                               StreamRun run );
    //! Writes half of an event, or nothing more, and crashes.
    net::Task<> crashDuringStream( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                                   StreamRun run );
    std::string framed( const std::string& bytes ) const;
    net::Task<bool> send( std::shared_ptr<net::Socket> socket, std::string bytes );
    //! Sends a complete answer, and may keep a copy of it for the next request's place.
    net::Task<bool> sendAnswer( std::shared_ptr<net::Socket> socket, std::string bytes );
    //! A copy of the answer, changed as SurplusAnswers says.
    std::string surplusCopy( std::string bytes );
    std::string receiveOrder( Instance& instance, const Request& request );
    net::Task<> executeOrder( InstancePtr instance, nlohmann::json order );
    void checkOrder( Instance& instance, const nlohmann::json& order );
    std::string report( const Instance& instance ) const;
    void countFetch( const Request& request );
    void noteArrival( Instance& instance, const std::string& id );
    //! Counts requests that ignore the upstream's announcements. All requests are treated as if
    //! they came from one gateway.
    void countIgnoredAnnouncements( Instance& instance );
    std::string refusal( Instance& instance, const std::string& id );
    //! Header fields with the upstream's announcements, for every response.
    std::string announcementFields( Instance& instance );
    std::string leavingField( Instance& instance );
    void writeEntry( const Instance& instance );
    void startAs( std::string id, Millis entryDelay );
    net::Task<> startLater( std::string id, Millis downtime, Millis entryDelay );
    net::Task<> sendHeartbeats( InstancePtr instance, Millis delay );
    net::Task<> end( InstancePtr instance, Millis after, Millis entryExpiry );
    void close( Instance& instance );
    Millis workTime( int most );

    net::asio::io_context& m_context;
    support::ObjectStore& m_store;
    Record& m_record;
    RandomSource& m_random;
    RunnerSettings m_settings;
    RunnerMode m_mode = RunnerMode::normal;
    bool m_unframed = false;
    SurplusAnswers m_surplus;
    //! Draws surplus answers, so that other draws do not depend on them.
    RandomSource m_surplusRandom;
    std::map<net::Socket*, std::string> m_surplusCopies; //!< not yet sent, by connection
    std::size_t m_slots = engineSlots;
    int m_requestsToRefuse = 0;
    Millis m_backoff{ 0 };
    support::LimitWatch m_limit{ knowledgeBound };
    InstancePtr m_instance;
    MonoTime m_restartAllowedAt;
    std::shared_ptr<net::Acceptor> m_acceptor;
    int m_starts = 0;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_RUNNER_HPP_INCLUDED
