// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_HTTP_CLIENT_HPP_INCLUDED
#define COURSEHEAD_HTTP_CLIENT_HPP_INCLUDED

#include "coursehead/http/message.hpp"
#include "coursehead/kernel/clock.hpp"

#include <memory>

namespace coursehead::http {

//! How far a call got before it failed; decides whether the far side may have acted.
enum class Failure {
    none,
    notSent, //!< no connection could be made: the far side has seen nothing
    broken,  //!< cut or timed out after the request may have been sent
};

struct Timeouts {
    Millis connect{ 1000 };
    Millis read{ 5000 }; //!< the longest silence while waiting for bytes
};

struct Outcome {
    Failure failure = Failure::none;
    std::string detail; //!< the library's word for the failure
    Response response;  //!< valid when failure is none
};

//! Receives part of a streamed answer; false cancels the call.
using Receiver = std::function<bool( int status, std::string_view bytes )>;

//! A client of one address. One call at a time; keeps its connection open between calls.
class Client {
public:
    //! `address` is IP:PORT or http://IP:PORT.
    Client( std::string_view address, Timeouts timeouts );
    ~Client();
    Client( Client&& ) noexcept;
    Client& operator=( Client&& ) noexcept;

    //! Sends one request and reads the whole answer.
    Outcome call( const Request& request );
    //! Sends one request and hands the answer's body over as it comes.
    Outcome stream( const Request& request, const Receiver& receiver );
    //! Aborts the call in progress; may be called from another thread.
    void abort();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace coursehead::http

#endif // COURSEHEAD_HTTP_CLIENT_HPP_INCLUDED
