// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_OPERATOR_EVALUATE_HPP_INCLUDED
#define COURSEHEAD_OPERATOR_EVALUATE_HPP_INCLUDED

#include "coursehead/config/committer.hpp"
#include "coursehead/operator/language.hpp"
#include "entry/directory.hpp"

#include <functional>
#include <string>
#include <vector>

//! Runs the operators' statements against an entry's configuration and its view of the agents.
namespace coursehead::op {

//! The result of one query.
struct Table {
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

enum class CommandStatus {
    ok,
    syntax,
    rejected,
    conflict,
    unavailable,
    unknown,
    waitTimedOut,
};

struct CommandResult {
    CommandStatus status = CommandStatus::ok;
    config::Revision revision = 0; //!< this process's revision, or that of the last commit
    std::vector<Table> tables;
    std::string message;
    SyntaxError syntax;
};

//! The state and the functions that statements use.
struct StatementContext {
    std::function<std::shared_ptr<const config::State>()> state;
    std::function<std::vector<entry::AgentView>()> agents;
    std::function<std::vector<std::string>( const std::string& model )> planReasons;
    std::function<config::CommitResult( const config::ChangeSet& set, config::Revision base )>
        commit;
    std::function<std::string()> makeWriteId;
};

struct CommandOptions {
    bool dryRun = false;
    std::string author;
};

//! Runs a text; stops at the first statement that fails. The changes between `begin` and `commit`
//! are applied atomically.
CommandResult runText( std::string_view text, const StatementContext& world,
                       const CommandOptions& options );

} // namespace coursehead::op

#endif // COURSEHEAD_OPERATOR_EVALUATE_HPP_INCLUDED
