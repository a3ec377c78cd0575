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

//! A child process; killed and reaped at the end.
class Process {
public:
    Process( const std::string& binary, const Args& args );
    ~Process();
    Process( const Process& ) = delete;
    Process& operator=( const Process& ) = delete;

    void signal( int number ) const;
    //! Kills at once and reaps.
    void kill();
    //! Waits for the end and gives the exit status; -1 after `seconds`.
    int wait( int seconds );
    //! What it printed so far, both streams.
    std::string output() const;
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    std::string m_file;
};

//! Waits until the condition holds; fails the test when it does not within the bound.
void waitUntil( const char* what, const std::function<bool()>& condition, int seconds = 20 );

//! A daemon or stand-in that listens.
struct Node {
    std::unique_ptr<Process> process;
    std::string url;
    int port = 0;
    std::string httpUrl; //!< an agent's health and metrics
};

//! An answer read as a stream.
struct Streamed {
    int status = 0;
    std::string text;
    std::string lastId;  //!< of the last event with an id
    bool done = false;   //!< [DONE] was seen
    Json error;          //!< of an error event, or an error answer's body
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

    //! Puts a VM on the platform's list, or changes its state.
    void listVm( const std::string& name, const std::string& role, int port,
                 const std::string& state = "live" );
    void unlistVm( const std::string& name );

    //! Runs an operator's text; the answer's JSON.
    static Json command( const Node& entry, const std::string& text, int waitMs = 0 );
    //! Runs it and fails the test unless it is accepted and in force everywhere.
    static void require( const Node& entry, const std::string& text );
    static void setFaults( const Node& node, const Json& faults );
    static Json get( const std::string& url, const std::string& path );
    //! A metric's value; 0 when absent.
    static double metric( const std::string& url, const std::string& name );

    //! Waits until the entry sees that many agents, all reporting.
    void waitForAgents( const Node& entry, std::size_t count );
    //! Waits until that many agents give orders.
    static void waitForOrders( const Node& entry, std::size_t count );
    //! Waits until the claim slots are given out and known everywhere.
    void waitForSlots( const Node& entry );
    //! A fresh idempotency key, made after this call's moment.
    static std::string key();

private:
    Node& add( const std::string& name, Node node );
    std::map<std::string, Node> m_nodes;
};

//! Numbers drawn over their full range (RapidCheck's own start small), to steer a test's history.
std::vector<std::uint32_t> draws( std::size_t count );

//! One call with a whole answer.
coursehead::http::Outcome call( const std::string& url, const std::string& method,
                                const std::string& path, const std::string& body = {},
                                const coursehead::http::Headers& headers = {},
                                int readSeconds = 40 );
//! A chat completion's body.
std::string chatBody( const std::string& model, const std::string& prompt, int tokens,
                      bool stream = true );
//! The text that the engine stand-in gives for that body.
std::string expectedText( const std::string& model, const std::string& prompt, int tokens );
//! Sends a streaming request; `onText` may stop it by returning false.
Streamed streamCall( const std::string& url, const std::string& body,
                     const coursehead::http::Headers& headers = {},
                     const std::function<bool( const Streamed& )>& onText = {} );
//! Follows a session.
Streamed resumeCall( const std::string& url, const std::string& session,
                     const std::string& lastEventId );

//! The three lines that most tests configure.
std::string usualConfig( bool checksOrders = true, int latenessMs = 400 );

} // namespace fleet

#endif // COURSEHEAD_TESTS_FLEET_HPP_INCLUDED
