// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_CHANGE_HPP_INCLUDED
#define COURSEHEAD_CONFIG_CHANGE_HPP_INCLUDED

#include "coursehead/config/state.hpp"

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

//! Changes of the configuration, as pure functions from one state to the next.
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

//! Changes that are accepted together or not at all.
struct ChangeSet {
    std::string writeId; //!< unique; settles whether a write whose answer was lost took effect
    std::string author;
    std::vector<Change> changes;
};

//! Why a change is not acceptable; names the object, the field and the value.
struct ConfigError {
    Kind kind = Kind::model;
    std::string name;
    std::string field;
    std::string value;
    std::string message;
};

//! The error in one sentence.
std::string describe( const ConfigError& error );

std::string_view kindName( Kind kind );
//! Finds a kind by its singular or plural word; false when there is none.
bool kindFromName( std::string_view word, Kind& out );

//! The state after the whole set, one revision up; or ConfigError and no change.
boost::leaf::result<State> apply( const State& state, const ChangeSet& set );

//! True when both sets touch the same object.
bool overlaps( const ChangeSet& a, const ChangeSet& b );

//! An object's fields as text, for showing; empty when there is no such object.
std::vector<FieldValue> fieldsOf( const State& state, Kind kind, std::string_view name );
//! The names of all objects of a kind, in order.
std::vector<std::string> namesOf( const State& state, Kind kind );

//! Reads "8GiB", "512MiB", "1000" as bytes; false when malformed.
bool parseBytes( std::string_view text, std::uint64_t& out );
//! Bytes with the largest unit that divides them: "8GiB".
std::string formatBytes( std::uint64_t bytes );

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_CHANGE_HPP_INCLUDED
