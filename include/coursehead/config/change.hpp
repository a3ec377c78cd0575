// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_CHANGE_HPP_INCLUDED
#define COURSEHEAD_CONFIG_CHANGE_HPP_INCLUDED

#include "coursehead/config/state.hpp"

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

//! Changes of the configuration: pure functions that compute the next state from the current one.
namespace coursehead::config {

enum class Action { create, set, remove };
enum class Kind { model, adapter, service, upstream, requestClass, weights, slot };

//! A field and its new value, as the operator wrote it.
struct FieldValue {
    std::string field;
    std::string value;
};

//! One change of one object.
struct Change {
    Action action = Action::create;
    Kind kind = Kind::model;
    std::string name;
    std::vector<FieldValue> fields;
};

//! Changes that are applied atomically: all of them or none.
struct ChangeSet {
    std::string writeId; //!< unique; tells whether a write took effect when its response was lost
    std::string author;
    std::vector<Change> changes;
};

//! The reason why a change is rejected, with the object, the field and the value.
struct ConfigError {
    Kind kind = Kind::model;
    std::string name;
    std::string field;
    std::string value;
    std::string message;
};

//! Formats the error as one sentence.
std::string describe( const ConfigError& error );

std::string_view kindName( Kind kind );
//! Finds a kind by its singular or plural name; false when there is none.
bool kindFromName( std::string_view word, Kind& out );

//! Returns the state after all changes of the set, with the next revision; or a ConfigError.
boost::leaf::result<State> apply( const State& state, const ChangeSet& set );

//! True when both sets change the same object.
bool overlaps( const ChangeSet& a, const ChangeSet& b );

//! Returns an object's fields as text, for display; empty when there is no such object.
std::vector<FieldValue> fieldsOf( const State& state, Kind kind, std::string_view name );
//! Returns the names of all objects of a kind, sorted (slots by number).
std::vector<std::string> namesOf( const State& state, Kind kind );

//! Parses "8GiB", "512MiB", "1000" as bytes; false when malformed.
bool parseBytes( std::string_view text, std::uint64_t& out );
//! Formats bytes with the largest unit that divides them, such as "8GiB".
std::string formatBytes( std::uint64_t bytes );

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_CHANGE_HPP_INCLUDED
