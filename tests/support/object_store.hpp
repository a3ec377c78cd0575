// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_OBJECT_STORE_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_OBJECT_STORE_HPP_INCLUDED

#include "net/net.hpp"

#include <nlohmann/json.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coursehead::support {

namespace http = boost::beast::http;

//! How the store answers calls.
enum class StoreMode {
    up,
    silent, //!< accepts calls and never answers
    busy,   //!< answers 503
    reset,  //!< closes the connection
};

//! Stand-in for the platform's object store on loopback. Implements the published protocol (paged
//! lists, watches, conditional writes) and can be made to fail at run time. It decodes targets as
//! HTML forms encode them, and refuses queries with a key that the protocol does not have.
class ObjectStore {
public:
    //! Listens on `port`; 0 chooses a free port.
    explicit ObjectStore( net::asio::io_context& context, int port = 0 );

    int port() const { return m_port; }
    std::uint64_t revision() const { return m_revision; }
    //! Calls received so far, watches included.
    std::uint64_t calls() const { return m_calls; }
    //! Number of list calls that accept a list some seconds old; the store charges a tenth for
    //! them.
    std::uint64_t staleListCalls() const { return m_staleListCalls; }

    void put( const std::string& kind, const std::string& name, nlohmann::json specification );
    //! Writes an object as another system may write it: the store returns `text` for it, whatever
    //! that is.
    void putText( const std::string& kind, const std::string& name, std::string text );
    void remove( const std::string& kind, const std::string& name );
    //! Answers 410 to watches that start from an earlier revision.
    void discardHistory() { m_oldestWatchable = m_revision; }
    //! Saves a copy of all current objects.
    void saveCopy();
    //! Restores the saved copy: writes since then are lost, their revisions are assigned again, and
    //! a new era starts.
    void restoreCopy();
    std::uint64_t era() const { return m_era; }
    void setMode( StoreMode mode );
    void setDelay( Millis delay ) { m_delay = delay; }
    //! Largest number of objects on a page of a list.
    void setPageSize( std::size_t objects ) { m_pageSize = objects; }
    //! Answers each page of a list with the first one.
    void repeatFirstPage() { m_repeatsFirstPage = true; }
    //! Closes the connections of all waiting watches and of the next `nextCalls` calls, unanswered.
    void cut( int nextCalls );

private:
    using Request = http::request<http::string_body>;
    struct Answer {
        unsigned status = 200;
        std::string body = "{}";
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text; //!< of the object
        bool removed = false;
    };
    struct Call;

    net::Task<> accept();
    net::Task<> serve( net::Socket socket );
    net::Task<Answer> answer( Request request );
    net::Task<Answer> watch( std::string kind, std::uint64_t from, Millis wait );
    Answer list( const std::string& kind, const std::string& after ) const;
    Answer write( const Call& call, const std::string& body );
    Answer update( const Call& call, const nlohmann::json& given, nlohmann::json object );
    //! Texts of the events of a kind after a revision.
    std::vector<std::string> events( const std::string& kind, std::uint64_t from ) const;
    std::string textOf( const std::string& kind, const std::string& name ) const;
    void writeObject( const std::string& kind, const std::string& name, nlohmann::json object );
    void recordEvent( const std::string& kind, std::string text, bool removed );

    net::asio::io_context& m_context;
    net::Acceptor m_acceptor;
    int m_port;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    //! Texts returned in place of objects, by kind and name.
    std::map<std::string, std::map<std::string, std::string>> m_texts;
    std::deque<Event> m_events;
    struct Copy {
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
        std::uint64_t revision = 1;
    };
    Copy m_copy;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldestWatchable = 1;
    std::uint64_t m_calls = 0;
    std::uint64_t m_staleListCalls = 0;
    std::uint64_t m_cutCount = 0;
    int m_callsToCut = 0;
    StoreMode m_mode = StoreMode::up;
    Millis m_delay{ 0 };
    std::size_t m_pageSize = 50;
    bool m_repeatsFirstPage = false;
    net::Timer m_changeSignal; //!< cancelled on each change to wake the waiting watches
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_OBJECT_STORE_HPP_INCLUDED
