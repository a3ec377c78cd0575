// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_JSON_TEXT_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_JSON_TEXT_HPP_INCLUDED

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

//! Access to parts of JSON text without parsing the whole. Other systems also write to the store: a
//! value that a parser rejects must not make the rest of a response unreadable.
namespace coursehead::platform {

//! The text of a member's value, by the text of its key between the quotes.
struct JsonMember {
    std::string_view key;
    std::string_view value;
};

//! Splits an object into its members, by brackets, quotes and commas alone; nullopt if `text` is
//! not one object. The views point into `text`.
std::optional<std::vector<JsonMember>> splitObject( std::string_view text );
//! Splits an array into its elements in the same way.
std::optional<std::vector<std::string_view>> splitArray( std::string_view text );
//! The value of the last member with this key; empty if there is none.
std::string_view valueOf( const std::vector<JsonMember>& members, std::string_view key );

//! Parses a value. The result is discarded if the text is not valid JSON, holds a number that
//! neither 64 bits nor a double hold, or is nested so deeply that copying it would exhaust the
//! stack.
nlohmann::json parseJson( std::string_view text );
//! Parses an unsigned integer; nullopt for any other value.
std::optional<std::uint64_t> parseUnsigned( std::string_view text );
//! Parses a string, with U+FFFD in place of what is not valid text; nullopt for any other value.
std::optional<std::string> parseText( std::string_view text );

//! The value as a number without a fraction from `min` to `max`; nullopt for any other value.
template <typename T>
std::optional<T> wholeNumber( const nlohmann::json& in, T min, T max ) {
    if( in.is_number_unsigned() ) {
        const auto out = in.get<std::uint64_t>();
        return std::cmp_greater_equal( out, min ) && std::cmp_less_equal( out, max )
                   ? std::optional( static_cast<T>( out ) )
                   : std::nullopt;
    }
    if( !in.is_number_integer() ) {
        return std::nullopt;
    }
    const auto out = in.get<std::int64_t>();
    return std::cmp_greater_equal( out, min ) && std::cmp_less_equal( out, max )
               ? std::optional( static_cast<T>( out ) )
               : std::nullopt;
}

//! Thrown for a field with an invalid value. The message holds the field and its value.
struct InvalidField : std::runtime_error {
    InvalidField( std::string_view field, const nlohmann::json& value, std::string_view expected );
};

//! Reads a field that holds a number without a fraction from `min` to `max`; nullopt if it is
//! absent. Throws InvalidField for any other value.
template <typename T>
std::optional<T> readWhole( const nlohmann::json& in, const char* field, T min, T max,
                            std::string_view expected ) {
    const auto it = in.find( field );
    if( it == in.end() ) {
        return std::nullopt;
    }
    const auto out = wholeNumber( *it, min, max );
    if( !out ) {
        throw InvalidField( field, *it, expected );
    }
    return out;
}
//! The same for a field that must be there.
template <typename T>
T requireWhole( const nlohmann::json& in, const char* field, T min, T max,
                std::string_view expected ) {
    const auto out = readWhole( in, field, min, max, expected );
    if( !out ) {
        throw InvalidField( field, nlohmann::json(), expected );
    }
    return *out;
}
//! Reads a field that holds a string. Throws InvalidField for any other value.
std::string requireText( const nlohmann::json& in, const char* field );

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_JSON_TEXT_HPP_INCLUDED
