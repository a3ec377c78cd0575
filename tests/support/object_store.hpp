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

namespace coursehead::support {

namespace http = boost::beast::http;

//! How the store treats its callers.
enum class StoreMode {
    up,
    silent, //!< takes calls and answers nothing
    busy,   //!< answers 503
    reset,  //!< closes the connection
};

//! The platform's object store on loopback, as its published protocol says: lists with pages,
//! watches, conditional writes; with faults at run time.
class ObjectStore {
public:
    //! Port 0 takes a free one.
    explicit ObjectStore( net::asio::io_context& context, int port = 0 );

    int port() const { return m_port; }
    std::uint64_t revision() const { return m_revision; }
    //! Calls taken so far, watches included.
    std::uint64_t calls() const { return m_calls; }
    //! Of these, lists that may be seconds old: a tenth of the price.
    std::uint64_t oldLists() const { return m_oldLists; }

    void put( const std::string& kind, const std::string& name, nlohmann::json specification );
    void remove( const std::string& kind, const std::string& name );
    //! Watches from before now get 410.
    void forgetHistory() { m_oldest = m_revision; }
    //! Keeps a copy of all that it holds now.
    void keepCopy();
    //! Comes back from the copy: what was written since is gone, revisions are given out again, and
    //! a new era begins.
    void restoreCopy();
    std::uint64_t era() const { return m_era; }
    void setMode( StoreMode mode );
    void setDelay( Millis delay ) { m_delay = delay; }
    //! Cuts the watches that wait, and the next calls.
    void cut( int nextCalls );

private:
    using Request = http::request<http::string_body>;
    struct Answer {
        unsigned status = 200;
        nlohmann::json body;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool gone = false;
    };
    struct Call;

    net::Task<> accept();
    net::Task<> serve( net::Socket socket );
    net::Task<Answer> answer( Request request );
    net::Task<Answer> watch( std::string kind, std::uint64_t from, Millis wait );
    Answer list( const std::string& kind, const std::string& after ) const;
    Answer write( const Call& call, const std::string& body );
    Answer change( const Call& call, const nlohmann::json& given, nlohmann::json object );
    Answer events( const std::string& kind, std::uint64_t from ) const;
    void store( const std::string& kind, const std::string& name, nlohmann::json object );
    void note( const std::string& kind, nlohmann::json object, bool gone );

    net::asio::io_context& m_context;
    net::Acceptor m_acceptor;
    int m_port;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::deque<Event> m_events;
    struct Copy {
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
        std::uint64_t revision = 1;
    };
    Copy m_copy;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldest = 1;
    std::uint64_t m_calls = 0;
    std::uint64_t m_oldLists = 0;
    std::uint64_t m_cuts = 0;
    int m_cutNext = 0;
    StoreMode m_mode = StoreMode::up;
    Millis m_delay{ 0 };
    net::Timer m_changed; //!< cancelled at each change, to wake watches
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_OBJECT_STORE_HPP_INCLUDED
