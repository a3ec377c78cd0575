// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_RECORD_HPP_INCLUDED
#define COURSEHEAD_SOAK_RECORD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

//! A randomized soak of the platform's roles: real processes under faults from outside.
namespace coursehead::soak {

//! What callers ask for.
enum class Kind {
    safe,    //!< plain, may run again
    once,    //!< plain, at most once
    stream,  //!< a stream that may be resumed
    fragile, //!< a stream that may not
};
inline constexpr int kinds = 4;
//! Requests whose path holds this end the upstream that begins to run them.
inline constexpr std::string_view endsUpstream = "ends-upstream";
//! What three upstreams have shown everybody knows after this.
inline constexpr Millis knowledgeBound{ 1500 };
std::string_view nameOf( Kind kind );
//! What upstreams count: wishes in their answers, and what came against them.
inline constexpr std::string_view askedForBackoff = "back-offs asked for";
inline constexpr std::string_view saidItLeaves = "upstreams that said in an answer that they leave";
inline constexpr std::string_view cameAfterLeaving = "requests long after such an answer";

//! What callers and upstreams have seen, and the promises that it breaks.
class Record {
public:
    //! A caller sends a request for the first time.
    void asked( const std::string& id, Kind kind );
    //! An upstream begins to run it.
    void ran( const std::string& id );
    //! The caller was told that it has not run and never will.
    void toldNotRun( const std::string& id );
    int runs( const std::string& id ) const;
    //! An upstream of a hall begins to run a request.
    void ranIn( const std::string& hall ) { ++m_runsIn[hall]; }
    int runsIn( const std::string& hall ) { return m_runsIn[hall]; }

    //! An upstream begins to run a request that ends it. `content` is what its tries have in
    //! common.
    void began( const std::string& content );
    //! Upstreams that ended under it.
    int endings( const std::string& content ) const;

    //! Requests that came to one upstream while it had asked to be sent nothing, so far.
    void arrivedInBackoff( int requests ) {
        m_mostInBackoff = std::max( m_mostInBackoff, requests );
    }
    int mostInBackoff() const { return m_mostInBackoff; }

    //! Something happened from which on bounds in time hold again only after a while.
    void disturbed( MonoTime until );
    //! True when nothing disturbed the time since `from`.
    bool calmSince( MonoTime from ) const { return m_disturbedUntil <= from; }

    void breach( const std::string& promise, const std::string& detail );
    const std::vector<std::string>& breaches() const { return m_breaches; }

    void count( const std::string& what ) { ++m_counts[what]; }
    const std::map<std::string, int>& counts() const { return m_counts; }
    int countOf( std::string_view what ) const {
        const auto it = m_counts.find( std::string( what ) );
        return it == m_counts.end() ? 0 : it->second;
    }

private:
    struct Request {
        Kind kind = Kind::safe;
        int runs = 0;
        bool toldNotRun = false;
    };
    //! A request that ends what runs it.
    struct Poison {
        int endings = 0;
        MonoTime third;     //!< when the third upstream ended
        int afterThird = 0; //!< begun by others once everybody had to know
    };

    bool mayRunAgain( const Request& request ) const;
    void checkPromise( const std::string& id, const Request& request );

    std::map<std::string, Request> m_requests;
    std::map<std::string, Poison> m_poison; //!< by content
    std::map<std::string, int> m_counts;
    std::map<std::string, int> m_runsIn; //!< by hall
    int m_mostInBackoff = 0;
    std::vector<std::string> m_breaches;
    MonoTime m_disturbedUntil;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_RECORD_HPP_INCLUDED
