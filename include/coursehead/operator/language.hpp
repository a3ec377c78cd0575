// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_OPERATOR_LANGUAGE_HPP_INCLUDED
#define COURSEHEAD_OPERATOR_LANGUAGE_HPP_INCLUDED

#include "coursehead/config/change.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

//! The operators' query and command language; docs/commands.md describes it.
namespace coursehead::op {

//! `FIELD = VALUE` or `FIELD != VALUE` in a `where` clause.
struct Condition {
    std::string field;
    std::string comparison;
    std::string value;
};

//! `show KIND [where …]`.
struct Show {
    std::string kind;
    std::vector<Condition> where;
};

//! `why model NAME`.
struct Why {
    std::string kind;
    std::string name;
};

//! `create KIND NAME FIELD=VALUE …`, `set …`, `delete KIND NAME`.
struct Edit {
    std::string verb;
    std::string kind;
    std::string name;
    std::vector<config::FieldValue> fields;
};

struct Begin {};
struct Commit {};

using Statement = std::variant<Show, Why, Edit, Begin, Commit>;

//! A statement and its position in the text; lines and columns start at 1.
struct LocatedStatement {
    Statement statement;
    std::size_t line = 1;
    std::size_t column = 1;
};

struct SyntaxError {
    std::size_t line = 1;
    std::size_t column = 1;
    std::string expected;
    std::string found; //!< the text at the position, shortened
};

struct ParsedText {
    bool ok = false;
    std::vector<LocatedStatement> statements;
    SyntaxError error;
};

//! Parses all statements of a text; never throws.
ParsedText parse( std::string_view text );

//! Formats the error as one sentence.
std::string describe( const SyntaxError& error );

} // namespace coursehead::op

#endif // COURSEHEAD_OPERATOR_LANGUAGE_HPP_INCLUDED
