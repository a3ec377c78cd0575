// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_STATUS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_STATUS_HPP_INCLUDED

//! HTTP status codes that a gateway sends or interprets.
namespace coursehead::gateway {

inline constexpr unsigned statusOk = 200;
inline constexpr unsigned statusNoContent = 204;
inline constexpr unsigned statusNotModified = 304;
inline constexpr unsigned statusBadRequest = 400;
inline constexpr unsigned statusUnauthorized = 401;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusRequestTimeout = 408;
inline constexpr unsigned statusContentTooLarge = 413;
inline constexpr unsigned statusTooManyRequests = 429;
inline constexpr unsigned statusHeaderTooLarge = 431;
inline constexpr unsigned statusBadGateway = 502;
inline constexpr unsigned statusUnavailable = 503;
inline constexpr unsigned statusGatewayTimeout = 504;

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_STATUS_HPP_INCLUDED
