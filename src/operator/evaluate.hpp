// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_OPERATOR_EVALUATE_HPP_INCLUDED
#define COURSEHEAD_OPERATOR_EVALUATE_HPP_INCLUDED

#include "coursehead/config/committer.hpp"
#include "coursehead/operator/language.hpp"
#include "entry/directory.hpp"

#include <functional>
#include <string>
#include <vector>

//! Runs the operators' statements against what an entry knows.
namespace coursehead::op {

//! A result for people and programs.
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
    config::Revision revision = 0; //!< in force here, or made by the last commit
    std::vector<Table> tables;
    std::string message;
    SyntaxError syntax;
};

//! What statements are run against.
struct World {
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

//! Runs a text; stops at the first statement that fails. Nothing between `begin` and `commit` is
//! in force unless all of it is.
CommandResult runText( std::string_view text, const World& world, const CommandOptions& options );

} // namespace coursehead::op

#endif // COURSEHEAD_OPERATOR_EVALUATE_HPP_INCLUDED
