// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_HEADERS_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_HEADERS_HPP_INCLUDED

#include "decide/announcement.hpp"
#include "gateway/model.hpp"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>
#include <string_view>

//! The headers of requests and answers on the platform.
namespace coursehead::platform {

namespace http = boost::beast::http;

//! What a client's request says beside method, path and body.
struct RequestHead {
    std::string requestId;
    std::optional<gateway::KeyDigest> key; //!< of the key that it carries, if it is well formed
    std::optional<std::int64_t> tokens;    //!< of its prompt and the most it may generate, together
    std::optional<Millis> deadline;        //!< how long the client will wait
    std::optional<std::uint64_t> lastEventId; //!< the client resumes behind this event
    std::optional<gateway::Generation> generation;
};
RequestHead readRequestHead( const http::fields& fields );
//! The key of a request's head; nullopt when there is none, more than one, or it is malformed.
//! Trailers must not be among the fields yet.
std::optional<gateway::KeyDigest> readClientKey( const http::fields& fields );
//! Drops the headers that only the system may set: an upstream would act on them. Returns how many.
std::size_t removeSystemHeaders( http::fields& fields );

//! What one send to an upstream carries beside the client's own headers.
struct SendHead {
    std::string upstreamId;
    Millis deadline{ 0 };
    std::optional<int> urgency;               //!< 0 (first) to 9
    std::optional<std::uint64_t> lastEventId; //!< go on behind this event
    bool keyed = false;                       //!< requests carry keys, which upstreams don't see
    std::string organisation;                 //!< whom the key belongs to; empty: nobody's
};
//! The headers of a send that are the system's own. What the client gave under the same names is
//! removed from `client`. They are kept apart, since what a client's `Connection` header names
//! would be taken for its own and dropped.
http::fields takeSendHead( const SendHead& head, http::fields& client );

//! How an upstream's answer is to be understood.
enum class AnswerClass {
    complete, //!< the upstream's own answer to a request that it ran (of any status)
    notRun,   //!< the upstream has not run the request and never will
    moved,    //!< not run: another upstream has the address, or lacks the model
};
struct AnswerHead {
    std::string requestId;
    AnswerClass answerClass = AnswerClass::complete;
    bool sealed = false;        //!< carries the upstream's signature
    std::string actualUpstream; //!< who has the address, when it is not the one that was meant
    decide::Announcement announcement;
    std::string badField; //!< name and value of an announcement that can't be read
};
AnswerHead readAnswerHead( unsigned status, const http::fields& fields );

//! Milliseconds for a header that counts seconds, fractions allowed.
std::string retryAfterText( Millis delay );

//! Header in which a refusal names the upstream that has the address.
std::string_view actualUpstreamHeader();
//! Header that makes any upstream but the named one refuse.
std::string_view expectedUpstreamHeader();

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_HEADERS_HPP_INCLUDED
