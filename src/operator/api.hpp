// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_OPERATOR_API_HPP_INCLUDED
#define COURSEHEAD_OPERATOR_API_HPP_INCLUDED

#include "coursehead/http/message.hpp"
#include "operator/evaluate.hpp"

//! The HTTP interface of an entry for operators: POST /operator/v1/command.
namespace coursehead::op {

struct OperatorApiSettings {
    std::string token; //!< empty: requests need no token
};

//! Waits until every live process has the revision; false when the deadline passes first.
using RolloutWaiter = std::function<bool( config::Revision revision, MonoTime deadline )>;

class OperatorApi {
public:
    OperatorApi( OperatorApiSettings settings, StatementContext world, RolloutWaiter rolloutWaiter,
                 const Clock& clock );

    //! Runs the command in a body of {"text", "dry_run", "wait_ms", "author"}.
    http::Response handle( const http::Request& request );

private:
    OperatorApiSettings m_settings;
    StatementContext m_world;
    RolloutWaiter m_rolloutWaiter;
    const Clock& m_clock;
};

//! Formats the result as JSON.
std::string toJson( const CommandResult& result );
std::string_view statusName( CommandStatus status );

} // namespace coursehead::op

#endif // COURSEHEAD_OPERATOR_API_HPP_INCLUDED
