// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_NET_ANSWER_STATUS_HPP_INCLUDED
#define COURSEHEAD_NET_ANSWER_STATUS_HPP_INCLUDED

//! Statuses of answers to requests that ask for no other protocol. What is neither interim nor
//! final is no answer (RFC 9110, section 15).
namespace coursehead::net {

//! True for a status whose answer is followed by the final one.
constexpr bool isInterimStatus( unsigned status ) {
    constexpr unsigned switchingProtocols = 101;
    return status >= 100 && status < 200 && status != switchingProtocols;
}

constexpr bool isFinalStatus( unsigned status ) {
    return status >= 200 && status < 600;
}

} // namespace coursehead::net

#endif // COURSEHEAD_NET_ANSWER_STATUS_HPP_INCLUDED
