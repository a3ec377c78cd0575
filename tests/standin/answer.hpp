// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_TESTS_ANSWER_HPP_INCLUDED
#define COURSEHEAD_TESTS_ANSWER_HPP_INCLUDED

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

//! Answers of the engine stand-in: a function of the model and the prompt that ends in a checksum,
//! so that a test can check that an answer is complete and belongs to its request.
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

//! The tokens of an answer; the last one is "#" and the checksum of all text before it.
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

//! The tokens of an answer that continues `prefix`, which another engine may have generated: the
//! prefix itself, then the remaining tokens, with a checksum over the whole text.
inline std::vector<std::string> continueTokens( std::vector<std::string> tokens,
                                                std::string_view prefix ) {
    constexpr std::size_t tokenBytes = 9;
    std::vector<std::string> out{ std::string( prefix ) };
    std::string all( prefix );
    for( auto n = prefix.size() / tokenBytes; n + 1 < tokens.size(); ++n ) {
        out.push_back( tokens[n] );
        all += tokens[n];
    }
    if( prefix.find( '#' ) == std::string_view::npos ) {
        out.push_back( "#" + hex( fnv( all ) ) );
    }
    return out;
}

//! True when the text ends in the checksum of the text before it.
inline bool isComplete( std::string_view text ) {
    const auto at = text.rfind( '#' );
    return at != std::string_view::npos &&
           text.substr( at + 1 ) == hex( fnv( text.substr( 0, at ) ) );
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
