// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_RESIDENT_MEMORY_HPP_INCLUDED
#define COURSEHEAD_KERNEL_RESIDENT_MEMORY_HPP_INCLUDED

#include <cstdint>

namespace coursehead {

//! Resident memory of this process in bytes, from /proc/self/statm. 0 if it can't be read, which is
//! logged once.
std::uint64_t residentBytes();

} // namespace coursehead

#endif // COURSEHEAD_KERNEL_RESIDENT_MEMORY_HPP_INCLUDED
