// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_FIELDS_HPP_INCLUDED
#define COURSEHEAD_CONFIG_FIELDS_HPP_INCLUDED

#include "coursehead/config/change.hpp"

#include <span>
#include <string>
#include <string_view>

//! A table of fields for each kind of object: each row parses, checks and formats one field.
namespace coursehead::config::Detail {

//! A field of an object of type T.
template <typename T>
struct Field {
    std::string_view name;
    //! Sets the field from text; returns the expected format when the text is invalid, else empty.
    std::string ( *set )( T& object, std::string_view text );
    std::string ( *show )( const T& object );
};

template <typename T>
std::span<const Field<T>> fields();

template <>
std::span<const Field<Model>> fields<Model>();
template <>
std::span<const Field<Adapter>> fields<Adapter>();
template <>
std::span<const Field<ServiceDefinition>> fields<ServiceDefinition>();
template <>
std::span<const Field<Upstream>> fields<Upstream>();
template <>
std::span<const Field<RequestClass>> fields<RequestClass>();
template <>
std::span<const Field<Weights>> fields<Weights>();

} // namespace coursehead::config::Detail

#endif // COURSEHEAD_CONFIG_FIELDS_HPP_INCLUDED
