// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_NET_JSON_CLIENT_HPP_INCLUDED
#define COURSEHEAD_NET_JSON_CLIENT_HPP_INCLUDED

#include "net/net.hpp"
#include "net/read_buffer.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace coursehead::net {

//! A call with a JSON body, or without a body.
struct JsonCall {
    std::string method = "GET";
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    Millis limit{ 1000 };       //!< for the whole call
    std::string responseHeader; //!< name of a response header to return; empty: none
    //! Name of a header of the call whose value the response repeats; empty: none. A response with
    //! another value belongs to another call.
    std::string repeatedHeader;
};

enum class CallOutcome {
    answered, //!< `status` and `body` hold the response
    notSent,  //!< no connection: the call had no effect
    unknown,  //!< no response to this call: it may have taken effect
};

struct JsonResponse {
    CallOutcome outcome = CallOutcome::notSent;
    unsigned status = 0;
    std::string body;
    std::string responseHeader; //!< value of the header that the call named
};

//! Client of one HTTP server; makes one call at a time, on a persistent connection.
class JsonClient {
public:
    JsonClient( asio::io_context& context, std::string ip, int port );

    //! Makes a call. A GET that fails on a reused connection is sent once more within its limit.
    Task<JsonResponse> call( const JsonCall& call );

private:
    Task<JsonResponse> callOnce( const JsonCall& call, MonoTime deadline );
    Task<bool> ensureConnected( MonoTime deadline );
    void disconnect();

    asio::io_context& m_context;
    std::string m_ip;
    int m_port;
    std::unique_ptr<Socket> m_socket;
    ReadBuffer m_buf;
};

} // namespace coursehead::net

#endif // COURSEHEAD_NET_JSON_CLIENT_HPP_INCLUDED
