// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_OPERATOR_API_HPP_INCLUDED
#define COURSEHEAD_OPERATOR_API_HPP_INCLUDED

#include "coursehead/http/message.hpp"
#include "operator/evaluate.hpp"

//! The operators' HTTP interface of an entry: POST /operator/v1/command.
namespace coursehead::op {

struct OperatorApiSettings {
    std::string token; //!< empty: no token is asked for
};

//! Waits until every live process is at the revision; false when the time ran out.
using SpreadWaiter = std::function<bool( config::Revision revision, MonoTime deadline )>;

class OperatorApi {
public:
    OperatorApi( OperatorApiSettings settings, World world, SpreadWaiter waiter,
                 const Clock& clock );

    //! Runs the command in a body of {"text", "dry_run", "wait_ms", "author"}.
    http::Response handle( const http::Request& request );

private:
    OperatorApiSettings m_settings;
    World m_world;
    SpreadWaiter m_waiter;
    const Clock& m_clock;
};

//! The result as JSON.
std::string toJson( const CommandResult& result );
std::string_view statusWord( CommandStatus status );

} // namespace coursehead::op

#endif // COURSEHEAD_OPERATOR_API_HPP_INCLUDED
