// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_ROUTE_TABLE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_ROUTE_TABLE_HPP_INCLUDED

#include "gateway/model.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coursehead::gateway {

//! A configuration with indices of its routes, keys and gap targets.
class RouteTable {
public:
    explicit RouteTable( Configuration configuration );
    RouteTable( const RouteTable& ) = delete;
    RouteTable& operator=( const RouteTable& ) = delete;

    const Configuration& configuration() const noexcept { return m_configuration; }
    //! The route of a host with the longest prefix of the path; null if none matches.
    //! `host` may carry a port; `target` may carry a query.
    const Route* find( std::string_view host, std::string_view target ) const;
    const Service* service( std::string_view name ) const;
    //! The organisation that has a key; null if none has it.
    const Organisation* organisationOf( const KeyDigest& key ) const;
    //! The smallest gap target of the routes that send streams to a service; 0 if no route sets
    //! one.
    Millis gapTarget( std::string_view service ) const;

private:
    Configuration m_configuration;
    //! Routes by host in lower case; longest prefix first.
    std::map<std::string, std::vector<const Route*>, std::less<>> m_hosts;
    std::map<std::string, Millis, std::less<>> m_gapTargets; //!< by service
    std::unordered_map<KeyDigest, const Organisation*, KeyDigestHash> m_keys;
};

//! Picks a service of a route by weight; `unitRandom` is a random number in [0, 1). Null if all
//! weights are zero.
const Split* pickSplit( const Route& route, double unitRandom );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_ROUTE_TABLE_HPP_INCLUDED
