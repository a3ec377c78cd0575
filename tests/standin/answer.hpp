// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_TESTS_ANSWER_HPP_INCLUDED
#define COURSEHEAD_TESTS_ANSWER_HPP_INCLUDED

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

//! What the engine stand-in answers: a function of the model and the prompt, ending in a checksum,
//! so that a test can tell a whole answer, and whose it is.
namespace standin {

inline std::uint32_t fnv( std::string_view text ) {
    std::uint32_t hash = 2166136261U;
    for( const char c : text ) {
        hash = ( hash ^ static_cast<unsigned char>( c ) ) * 16777619U;
    }
    return hash;
}

inline std::string hex( std::uint32_t n ) {
    char buf[9];
    std::snprintf( buf, sizeof( buf ), "%08x", n );
    return buf;
}

//! The answer's tokens; the last one is "#" and the checksum of all text before it.
inline std::vector<std::string> answerTokens( std::string_view model, std::string_view prompt,
                                              std::uint32_t count ) {
    std::vector<std::string> out;
    std::string all;
    const auto seed = fnv( std::string( model ) + "|" + std::string( prompt ) );
    for( std::uint32_t n = 0; n + 1 < count; ++n ) {
        out.push_back( hex( fnv( std::to_string( seed ) + ":" + std::to_string( n ) ) ) + " " );
        all += out.back();
    }
    out.push_back( "#" + hex( fnv( all ) ) );
    return out;
}

inline std::string answerText( std::string_view model, std::string_view prompt,
                               std::uint32_t count ) {
    std::string all;
    for( const auto& it : answerTokens( model, prompt, count ) ) {
        all += it;
    }
    return all;
}

} // namespace standin

#endif // COURSEHEAD_TESTS_ANSWER_HPP_INCLUDED
