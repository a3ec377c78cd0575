// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_HASH_HPP_INCLUDED
#define COURSEHEAD_KERNEL_HASH_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

//! Hashes (xxHash) that are stable across processes and builds; not cryptographic.
namespace coursehead {

std::uint64_t hash64( std::string_view text );
//! Hash of a pair of texts, for rendezvous hashing.
std::uint64_t hash64( std::string_view a, std::string_view b );
//! A 128-bit hash as 32 hexadecimal digits.
std::string hashText( std::string_view text );

} // namespace coursehead

#endif // COURSEHEAD_KERNEL_HASH_HPP_INCLUDED
