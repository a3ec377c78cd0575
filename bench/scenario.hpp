// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_BENCH_SCENARIO_HPP_INCLUDED
#define COURSEHEAD_BENCH_SCENARIO_HPP_INCLUDED

#include "coursehead/config/state.hpp"

#include <array>
#include <cstdint>
#include <string_view>

//! Assumptions of the policy bench: all sizes that the users' brief does not give.
namespace bench {

inline constexpr std::uint64_t gib = 1ULL << 30U;

// --- assumptions about engines
inline constexpr double prefillSeconds = 0.25;    //!< first token, prompt not cached
inline constexpr double prefillHitSeconds = 0.08; //!< first token, prefix of the prompt cached
inline constexpr double stepBaseSeconds = 0.018;  //!< between tokens, without the part per request
inline constexpr double stepPerRequest = 0.0016;  //!< added for each running request
inline constexpr double tokensPerAnswer = 110;
inline constexpr std::uint32_t slotsPerRunner = 18; //!< keeps the time between tokens within 47 ms
inline constexpr std::uint32_t queueLimit = 48;
inline constexpr std::size_t prefixesCached = 60; //!< prompt prefixes that one runner caches
inline constexpr double loadBaseSeconds = 4;
inline constexpr double loadSecondsPerGib = 0.25;
inline constexpr double unloadSeconds = 0.5;
// --- weight store, from the brief
inline constexpr double loadsPerSecond = 2;
inline constexpr std::uint32_t loadsAtOnce = 8;
// --- assumptions about models: weights from 12 to 44 GiB in even steps, KV cache of 6 GiB
inline constexpr std::uint64_t smallestModel = 12 * gib;
inline constexpr std::uint64_t modelStep = 8 * gib;
inline constexpr std::uint32_t modelSizes = 5;
inline constexpr std::uint64_t kvBytes = 6 * gib;
inline constexpr std::uint64_t acceleratorBytes = 80 * gib;
// --- assumptions about callers
inline constexpr std::uint32_t prefixesPerModel = 40; //!< conversations and templates in use
inline constexpr double coldWaitTimeoutSeconds = 20;
inline constexpr double demandSkew = 0.9; //!< exponent of the models' shares

//! Shape of the demand over a day.
enum class Shape { evening, office };

struct Deployment {
    std::string_view name;
    std::uint32_t runners = 0;
    std::uint32_t halls = 0;
    std::uint32_t models = 0;
    std::uint32_t acceleratorsPerRunner = 1;
    double peakRate = 0; //!< requests per second over all models
    Shape shape = Shape::evening;
    coursehead::config::Weights weights;
};

inline constexpr double simulatedHours = 4;

//! The users' two deployments: numbers of runners, halls and models from the brief; rates are
//! assumptions.
inline constexpr std::array<Deployment, 2> deployments{ {
    { "card-desk", 20, 4, 40, 1, 40, Shape::evening, { 1.0, 1.0 } },
    { "chart-house", 20, 3, 35, 1, 14, Shape::office, { 1.0, 60.0 } },
} };

} // namespace bench

#endif // COURSEHEAD_BENCH_SCENARIO_HPP_INCLUDED
