// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_RANDOM_HPP_INCLUDED
#define COURSEHEAD_KERNEL_RANDOM_HPP_INCLUDED

#include <cstdint>
#include <mutex>
#include <random>
#include <string>

namespace coursehead {

//! A seeded, thread-safe source of random numbers.
class RandomSource {
public:
    explicit RandomSource( std::uint64_t seed ) : m_engine( seed ) {}

    //! A number in [0, bound); 0 if `bound` is 0.
    std::uint64_t below( std::uint64_t bound );
    //! A number in [0, 1).
    double unit();
    //! `digits` random lower-case hexadecimal digits.
    std::string hex( std::size_t digits );

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

//! A seed from the operating system, for production use.
std::uint64_t systemSeed();

} // namespace coursehead

#endif // COURSEHEAD_KERNEL_RANDOM_HPP_INCLUDED
