// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_TESTS_FLEET_HPP_INCLUDED
#define COURSEHEAD_TESTS_FLEET_HPP_INCLUDED

#include "coursehead/http/client.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

//! Real daemons and stand-ins as child processes on loopback, for the process tests.
namespace fleet {

using Json = nlohmann::json;
using Args = std::vector<std::string>;

//! A child process; the destructor kills and reaps it.
class Process {
public:
    Process( const std::string& binary, const Args& args );
    ~Process();
    Process( const Process& ) = delete;
    Process& operator=( const Process& ) = delete;

    void signal( int number ) const;
    //! Sends SIGKILL and reaps the process.
    void kill();
    //! Waits for the process to exit and returns its exit status; -1 after `seconds`.
    int wait( int seconds );
    //! Standard output and standard error so far.
    std::string output() const;
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    std::string m_logPath;
};

//! Waits until the condition holds; fails the test when it does not within `seconds`.
void waitUntil( const char* what, const std::function<bool()>& condition, int seconds = 20 );

//! A daemon or stand-in process with its listening port.
struct Node {
    std::unique_ptr<Process> process;
    std::string url;
    int port = 0;
    std::string httpUrl; //!< agents only: base URL for health and metrics
};

//! A streamed answer, as far as it was received.
struct Streamed {
    int status = 0;
    std::string text;
    std::string lastId;  //!< id of the last event that had one
    bool done = false;   //!< the final [DONE] event was received
    Json error;          //!< from an error event, or from the body of an error answer
    bool broken = false; //!< the connection was cut
};

class Fleet {
public:
    //! Starts the store.
    Fleet();

    Node& store() { return m_nodes.at( "store" ); }
    Node& engine( const std::string& name, const Args& options = {} );
    Node& service( const std::string& name );
    Node& agent( const std::string& name, const std::string& upstreamUrl, const Args& options = {},
                 const std::string& kind = "runner" );
    Node& entry( const std::string& name, const Args& options = {} );
    Node& node( const std::string& name ) { return m_nodes.at( name ); }

    //! Adds a VM to the platform's list, or changes its state there.
    void listVm( const std::string& name, const std::string& role, int port,
                 const std::string& state = "live" );
    void unlistVm( const std::string& name );

    //! Runs an operator command and returns the JSON of its answer.
    static Json command( const Node& entry, const std::string& text, int waitMs = 0 );
    //! Runs an operator command; fails the test unless it is accepted and in force everywhere.
    static void require( const Node& entry, const std::string& text );
    static void setFaults( const Node& node, const Json& faults );
    static Json get( const std::string& url, const std::string& path );
    //! A metric's value; 0 when absent.
    static double metric( const std::string& url, const std::string& name );

    //! Waits until the entry lists that many agents as up, which means that all of them report.
    void waitForAgents( const Node& entry, std::size_t count );
    //! Waits until the entry lists that many agents as giving orders.
    static void waitForOrders( const Node& entry, std::size_t count );
    //! Waits until the claim slots are assigned and every agent has that revision.
    void waitForSlots( const Node& entry );
    //! A new idempotency key with the current time.
    static std::string key();

private:
    Node& add( const std::string& name, Node node );
    std::map<std::string, Node> m_nodes;
};

//! Random numbers that determine the course of a test, over the full range: RapidCheck's own
//! generators start with small values.
std::vector<std::uint32_t> draws( std::size_t count );

//! Sends one request and reads the complete answer.
coursehead::http::Outcome call( const std::string& url, const std::string& method,
                                const std::string& path, const std::string& body = {},
                                const coursehead::http::Headers& headers = {},
                                int readSeconds = 40 );
//! The request body of a chat completion.
std::string chatBody( const std::string& model, const std::string& prompt, int tokens,
                      bool stream = true );
//! The text that the engine stand-in generates for such a body.
std::string expectedText( const std::string& model, const std::string& prompt, int tokens );
//! Sends a streaming request; the stream is closed when `onText` returns false.
Streamed streamCall( const std::string& url, const std::string& body,
                     const coursehead::http::Headers& headers = {},
                     const std::function<bool( const Streamed& )>& onText = {} );
//! Resumes a session after the event with this id.
Streamed resumeCall( const std::string& url, const std::string& session,
                     const std::string& lastEventId );

//! The operator commands for the configuration that most tests use.
std::string defaultConfig( bool checksOrders = true, int latenessMs = 400 );

} // namespace fleet

#endif // COURSEHEAD_TESTS_FLEET_HPP_INCLUDED
