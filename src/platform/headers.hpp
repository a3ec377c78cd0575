// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_HEADERS_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_HEADERS_HPP_INCLUDED

#include "decide/announcement.hpp"
#include "decide/shared_part.hpp"
#include "gateway/model.hpp"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! The headers of requests and responses on the platform.
namespace coursehead::platform {

namespace http = boost::beast::http;

//! The parsed headers of a client's request.
struct RequestHead {
    std::string requestId;
    std::optional<gateway::KeyDigest> key;    //!< digest of the client's key, if well formed
    std::optional<std::int64_t> tokens;       //!< tokens of the prompt plus the maximum to generate
    std::optional<Millis> deadline;           //!< how long the client waits
    std::optional<std::uint64_t> lastEventId; //!< the client resumes after this event
    bool resumes = false;                     //!< the client resumes a stream
    //! Id of the client's attempt that received the stream's first event; empty: not stated.
    std::string streamBeganAs;
    std::optional<gateway::Generation> generation;
    //! All parts of the prompt but the last, which belongs to the request alone.
    std::vector<decide::SharedPart> sharedParts;
};
RequestHead readRequestHead( const http::fields& fields );
//! The digest of the request's bearer key; nullopt if there is no key, more than one, or a
//! malformed one. Must be called before trailers are merged into the fields.
std::optional<gateway::KeyDigest> readClientKey( const http::fields& fields );
//! Removes the headers that only coursehead may set, since upstreams act on them. Returns the
//! number of removed headers.
std::size_t removeSystemHeaders( http::fields& fields );

//! The values of the headers that coursehead adds to a request to an upstream.
struct SendHead {
    std::string upstreamId;
    Millis deadline{ 0 };
    std::optional<int> urgency;               //!< 0 (most urgent) to 9
    std::optional<std::uint64_t> lastEventId; //!< resume after this event
    bool keyed = false;       //!< clients send keys, which are not passed to upstreams
    std::string organisation; //!< organisation that owns the key; empty if there is none
    std::string fetchFrom;    //!< IP:PORT from which the upstream copies cached parts; empty: none
};
//! Returns the headers that coursehead adds to a request, and removes the client's headers of the
//! same names from `client`. They are returned separately because headers that the client's
//! `Connection` header names are dropped, which must not affect those of coursehead.
http::fields makeSendHeaders( const SendHead& head, http::fields& client );

//! The meaning of an upstream's response.
enum class ResponseClass {
    complete, //!< the upstream ran the request and this is its response, of any status
    notRun,   //!< the upstream has not run the request and will not run it
    moved,    //!< not run: another upstream now has the address, or the upstream lacks the model
};
struct ResponseHead {
    std::string requestId; //!< of the request that it answers; empty: it names none
    //! Its fields contradict each other, or it holds the begin of another response, which a cut one
    //! in front of it has run into. Nothing that it says is known to be true.
    bool contradictory = false;
    ResponseClass responseClass = ResponseClass::complete;
    bool sealed = false;        //!< carries the upstream's signature
    std::string actualUpstream; //!< upstream that has the address, if not the expected one
    decide::Announcement announcement;
    std::string unreadableField; //!< name and value of an announcement header that can't be parsed
};
ResponseHead readResponseHead( unsigned status, const http::fields& fields,
                               std::string_view reason = {} );

//! True if `text` holds the begin of a response: an upstream that cuts one short may write the next
//! one into what is left of it.
bool holdsStatusLine( std::string_view text );

//! Formats a delay in seconds with two decimals, for the Retry-After header.
std::string retryAfterText( Millis delay );

//! Header that names a request, and that its answer repeats.
std::string_view requestIdHeaderName();
//! Header in which a refusal names the upstream that now has the address.
std::string_view actualUpstreamHeader();
//! Header that makes an upstream refuse the request unless it is the named one.
std::string_view expectedUpstreamHeader();

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_HEADERS_HPP_INCLUDED
