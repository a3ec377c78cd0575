// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_HASH_HPP_INCLUDED
#define COURSEHEAD_KERNEL_HASH_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

//! Hashes that are the same in every process and build (xxHash); not for secrets.
namespace coursehead {

std::uint64_t hash64( std::string_view text );
//! Hash of a pair, as rendezvous hashing needs it.
std::uint64_t hash64( std::string_view a, std::string_view b );
//! 128 bits as 32 hexadecimal digits.
std::string hashText( std::string_view text );

} // namespace coursehead

#endif // COURSEHEAD_KERNEL_HASH_HPP_INCLUDED
