// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_HTTP_CLIENT_HPP_INCLUDED
#define COURSEHEAD_HTTP_CLIENT_HPP_INCLUDED

#include "coursehead/http/message.hpp"
#include "coursehead/kernel/clock.hpp"

#include <memory>

namespace coursehead::http {

//! How far a call got before it failed, which decides whether the server may have acted on it.
enum class Failure {
    none,
    notSent, //!< connecting failed: the server has received nothing
    broken,  //!< lost or timed out after the request may have been sent
};

struct Timeouts {
    Millis connect{ 1000 };
    Millis read{ 5000 }; //!< longest time without received bytes
};

struct Outcome {
    Failure failure = Failure::none;
    std::string detail; //!< text for the failure
    Response response;  //!< valid when failure is none
};

//! Receives a part of a streamed response's body; returning false cancels the call.
using Receiver = std::function<bool( int status, std::string_view bytes )>;

//! A client of one address. Makes one call at a time, and keeps its connection open between calls.
class Client {
public:
    //! `address` is IP:PORT or http://IP:PORT.
    Client( std::string_view address, Timeouts timeouts );
    ~Client();
    Client( Client&& ) noexcept;
    Client& operator=( Client&& ) noexcept;

    //! Sends a request and reads the complete response. One of more than 16 MiB is broken.
    Outcome call( const Request& request );
    //! Sends a request and passes the response's body to `receiver` as it arrives.
    Outcome stream( const Request& request, const Receiver& receiver );
    //! Aborts the call in progress, and all later ones; may be called from another thread.
    void abort();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace coursehead::http

#endif // COURSEHEAD_HTTP_CLIENT_HPP_INCLUDED
