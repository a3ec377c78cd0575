// SPDX-License-Identifier: BSL-1.0
// A runner sends some of its refusals twice, and the second copy arrives late, in the place where
// the answer to the next request on that connection is due. See claim.txt.
#include "../harness.hpp"

using namespace review;

namespace {

constexpr int slots = 2;
constexpr int queue = 1;
constexpr double workMs = 60;
//! Dose of `garble`, how = "extra late", in the site file: for 5 s, on a share of 0.6 of the
//! runners, x = 0.03 of their answers. Here: two of four runners.
constexpr double surplusShare = 0.03;
constexpr int troubleMs = 5000;
constexpr int quietMs = 2000;
constexpr int rounds = 11;
//! Clients that each ask again after a random time of this mean: about 110 requests a second.
constexpr int clientCount = 60;
constexpr int runnerCount = 4;
constexpr int faultyRunners = 2;
constexpr double thinkMs = 500;
constexpr int gatewayCount = 4;
constexpr int deadlineMs = 1000;

struct Runs {
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> byId; //!< runners that began each request
};

//! A plain service's runner: some requests at once, some queued, and 503 with X-Not-Run beyond.
class Runner {
public:
    Runner( std::string id, const std::string& ip, bool faulty, Record& record, Runs& runs,
            std::atomic<bool>& trouble )
        : m_id( std::move( id ) ), m_faulty( faulty ), m_record( record ), m_runs( runs ),
          m_trouble( trouble ), m_random( std::random_device{}() ),
          m_server( ip, appPort, [this]( Connection& it ) { serve( it ); } ) {}
    int surplus() const { return m_surplus; }
    int refused() const { return m_refused; }

private:
    void serve( Connection& connection ) {
        std::string late;
        std::string lateId;
        for( ;; ) {
            const auto request = connection.read( Clock::now() + std::chrono::seconds( 60 ) );
            if( !request ) {
                return;
            }
            const auto id = request->field( "X-Request-Id" );
            if( !late.empty() ) {
                ++m_surplus;
                m_record.line( m_id + " surplus 503 of " + lateId + " in the place of " + id );
                connection.write( late );
                late.clear();
            }
            const auto text = answer( *request, id );
            const bool refusal = text.rfind( "HTTP/1.1 503", 0 ) == 0;
            if( refusal && drawSurplus() ) {
                late = text;
                lateId = id;
            }
            if( !connection.write( text ) ) {
                return;
            }
        }
    }
    std::string answer( const Message& request, const std::string& id ) {
        const auto idField = "X-Request-Id: " + id + "\r\n";
        const auto expected = request.field( "X-Expect-Instance" );
        if( !expected.empty() && expected != m_id ) {
            return answerText( 421, idField + "X-Instance-Id: " + m_id + "\r\n", "" );
        }
        double work = 0;
        {
            std::unique_lock lock( m_mutex );
            work =
                std::clamp( std::exponential_distribution<>( 1 / workMs )( m_random ), 5.0, 220.0 );
            if( m_running + m_waiting >= slots + queue ) {
                ++m_refused;
                m_record.line( m_id + " refuses " + id );
                return answerText( 503, idField + "X-Not-Run: 1\r\n", "" );
            }
            ++m_waiting;
            m_freed.wait( lock, [this] { return m_running < slots; } );
            --m_waiting;
            ++m_running;
        }
        m_record.line( m_id + " runs " + id );
        {
            const std::lock_guard lock( m_runs.mutex );
            m_runs.byId[id].push_back( m_id );
        }
        pause( static_cast<int>( work ) );
        {
            const std::lock_guard lock( m_mutex );
            --m_running;
        }
        m_freed.notify_one();
        return answerText( 200, idField + "X-Response-Seal: " + id + ".seal\r\n",
                           "answer to " + id );
    }
    bool drawSurplus() {
        if( !m_faulty || !m_trouble ) {
            return false;
        }
        const std::lock_guard lock( m_mutex );
        return std::uniform_real_distribution<>( 0, 1 )( m_random ) < surplusShare;
    }

    std::string m_id;
    bool m_faulty;
    Record& m_record;
    Runs& m_runs;
    std::atomic<bool>& m_trouble;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_running = 0;
    int m_waiting = 0;
    std::atomic<int> m_surplus{ 0 };
    std::atomic<int> m_refused{ 0 };
    std::mt19937 m_random;
    Server m_server;
};

Json configuration() {
    return { { "version", 7 },
             { "routes",
               { { { "name", "r-till" },
                   { "host", "tills.example" },
                   { "pathPrefix", "/till/" },
                   { "kind", "unsafe" },
                   { "timeoutMs", deadlineMs },
                   { "goalMs", 150 },
                   { "priority", 2 },
                   { "service", "card-lookup" },
                   { "attempts", 2 },
                   { "resumable", false } } } },
             { "services",
               { { { "name", "card-lookup" },
                   { "healthPath", "/health" },
                   { "connectionLimit", 100 } } } },
             { "limits",
               { { "headerBytes", 16384 },
                 { "bodyBytes", 4194304 },
                 { "headerMs", 3000 },
                 { "idleMs", 15000 } } } };
}

Json entry( const std::string& address ) {
    return { { "service", "card-lookup" },
             { "address", address },
             { "zone", "regina-a" },
             { "version", "v1" },
             { "slots", slots },
             { "state", "ready" },
             { "coldMs", 0 },
             { "born", 1700000000000 },
             { "sequence", 4 } };
}

} // namespace

int main( int argc, char** argv ) {
    if( argc != 3 ) {
        return 2;
    }
    ::signal( SIGPIPE, SIG_IGN );
    ::alarm( 115 );
    const bool trouble = withTrouble();
    Record record( argv[2] );
    record.line( trouble ? "with the disruption" : "without the disruption" );
    const auto network = reserveNetwork();
    Folder folder;
    Runs runs;
    std::atomic<bool> active{ false };
    Store store( network + "1", storePort );
    store.put( "config", "main", configuration() );
    std::vector<std::unique_ptr<Runner>> runners;
    for( int n = 0; n < runnerCount; ++n ) {
        const auto id = "i-" + std::to_string( n );
        const auto address = network + std::to_string( 21 + n );
        const bool faulty = n < faultyRunners;
        runners.push_back( std::make_unique<Runner>( id, address, faulty, record, runs, active ) );
        store.put( "servers", id, entry( address + ":" + std::to_string( appPort ) ) );
    }
    std::vector<std::string> ips;
    std::vector<std::unique_ptr<Child>> gateways;
    for( int n = 0; n < gatewayCount; ++n ) {
        const auto name = "front-regina-a-" + std::to_string( n + 1 );
        ips.push_back( network + std::to_string( 11 + n ) );
        const auto file =
            folder.file( name + ".json", settingsFor( network, name, ips.back(), "front" ) );
        gateways.push_back( std::make_unique<Child>(
            std::vector<std::string>{ argv[1], "gateway", "--metrics-port", "9464" }, file,
            folder.path( name + ".log" ) ) );
        gateways.back()->start();
    }
    for( const auto& ip : ips ) {
        if( !waitReady( ip, 20 ) ) {
            record.line( "a gateway did not become ready" );
            return 2;
        }
    }
    std::mutex mutex;
    std::map<std::string, int> answers; //!< status by id; 0: the connection ended
    std::vector<std::thread> clients;
    std::atomic<bool> over{ false };
    for( int n = 0; n < clientCount; ++n ) {
        clients.emplace_back( [&, n] {
            Connection connection;
            std::mt19937 random( std::random_device{}() );
            std::exponential_distribution<> think( 1 / thinkMs );
            for( int k = 0; !over; ++k ) {
                pause( static_cast<int>( think( random ) ) );
                const auto id = "q" + std::to_string( n ) + "-" + std::to_string( k );
                const std::string body = "activate " + id;
                const std::string request =
                    "POST /till/2f HTTP/1.1\r\nHost: tills.example\r\nX-Request-Id: " + id +
                    "\r\nX-Deadline-Ms: " + std::to_string( deadlineMs ) +
                    "\r\nContent-Length: " + std::to_string( body.size() ) + "\r\n\r\n" + body;
                if( !connection.open() &&
                    !connection.connect( ips[n % gatewayCount], frontPort ) ) {
                    continue;
                }
                record.line( "client sends " + id );
                const bool sent = connection.write( request );
                const auto answer =
                    sent ? connection.read( Clock::now() + milliseconds( deadlineMs + 500 ) )
                         : std::nullopt;
                const int status = answer ? answer->status() : 0;
                record.line( "client gets " + std::to_string( status ) + " for " + id );
                if( !answer || answer->field( "Connection" ) == "close" ) {
                    connection.close();
                }
                const std::lock_guard lock( mutex );
                answers[id] = status;
            }
        } );
    }
    for( int n = 0; n < rounds; ++n ) {
        active = trouble;
        pause( troubleMs );
        active = false;
        pause( quietMs );
    }
    over = true;
    for( auto& it : clients ) {
        it.join();
    }
    pause( 500 );
    bool alive = true;
    for( const auto& it : gateways ) {
        alive = alive && it->running();
        it->kill();
    }
    int twice = 0;
    int refusedAndRun = 0;
    const std::lock_guard lock( runs.mutex );
    for( const auto& [id, where] : runs.byId ) {
        const int status = answers.contains( id ) ? answers.at( id ) : 0;
        if( where.size() > 1 ) {
            ++twice;
            record.line( "TWICE: " + id + " ran at " + where[0] + " and at " + where[1] +
                         ", client got " + std::to_string( status ) );
        }
        if( status == 503 || status == 429 || status == 421 || status == 408 ) {
            ++refusedAndRun;
            record.line( "REFUSED: " + id + " was answered " + std::to_string( status ) +
                         " and ran at " + where[0] );
        }
    }
    std::map<int, int> byStatus;
    for( const auto& it : answers ) {
        ++byStatus[it.second];
    }
    std::string summary = "requests " + std::to_string( answers.size() ) + ", answers";
    for( const auto& [status, n] : byStatus ) {
        summary += " " + std::to_string( status ) + ":" + std::to_string( n );
    }
    int refusals = 0;
    int surplus = 0;
    for( const auto& it : runners ) {
        refusals += it->refused();
        surplus += it->surplus();
    }
    summary += ", refusals of runners " + std::to_string( refusals ) + ", surplus answers " +
               std::to_string( surplus ) + ", run twice " + std::to_string( twice ) +
               ", refused and run " + std::to_string( refusedAndRun );
    record.line( summary );
    std::printf( "%s\n", summary.c_str() );
    if( !alive || byStatus[200] < static_cast<int>( answers.size() ) / 4 ) {
        record.line( "the case could not run" );
        return 2;
    }
    return refusedAndRun > 0 ? 1 : 0;
}
