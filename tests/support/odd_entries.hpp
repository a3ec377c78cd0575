// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_ODD_ENTRIES_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_ODD_ENTRIES_HPP_INCLUDED

#include "support/object_store.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

//! Entries of the store as other systems may write them, as JSON text: a JSON library could not
//! write all of them.
namespace coursehead::support {

//! A JSON string with these bytes, whatever they are.
inline std::string quoted( const std::string& bytes ) {
    constexpr unsigned char firstPrintable = ' ';
    std::string out = "\"";
    for( const char it : bytes ) {
        const bool isControl = static_cast<unsigned char>( it ) < firstPrintable;
        if( isControl ) {
            const std::string escaped = nlohmann::json( std::string( 1, it ) ).dump();
            out += escaped.substr( 1, escaped.size() - 2 );
            continue;
        }
        out += it == '"' || it == '\\' ? "\\" : "";
        out += it;
    }
    return out + "\"";
}

//! An object of the store; `name` and `specification` are JSON text.
inline std::string objectText( const std::string& name, const std::string& specification ) {
    return R"({"metadata":{"name":)" + name + R"(,"revision":7,"created":3},"specification":)" +
           specification + "}";
}

//! `object` with one more field, or with another value of one; `value` is JSON text.
inline std::string withField( nlohmann::json object, const std::string& field,
                              const std::string& value ) {
    object.erase( field );
    auto out = object.dump();
    out.pop_back();
    return out + ( object.empty() ? "" : "," ) + quoted( field ) + ":" + value + "}";
}

inline std::string nested( std::size_t levels ) {
    return std::string( levels, '[' ) + std::string( levels, ']' );
}

//! Numbers that neither 64 bits nor, where they have a fraction or an exponent, a double holds.
inline std::vector<std::string> hugeNumbers() {
    return { std::string( 400, '9' ), std::string( 30, '9' ), "-" + std::string( 400, '9' ),
             "1e400", std::string( 400, '9' ) + ".5" };
}

//! Names that mean something else in the target of a request, or that can't stand in one.
inline std::vector<std::string> oddNames() {
    return { " ", "a b",  "&",     "&watch=1", "#",      "+",        "%",          "%39",
             "?", "/",    "/../x", "=",        "\r\n",   "\t",       "\"",         "\\",
             "é", "\xff", "\xc3x", "\x7f",     ";a=1,b", "<script>", "a\nb: c\r\n" };
}

//! Writes entries that name no upstream, some of them in front of all others and some behind, and
//! one of each other kind.
void putOddEntries( ObjectStore& store );

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_ODD_ENTRIES_HPP_INCLUDED
