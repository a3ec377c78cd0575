// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_MODELS_HPP_INCLUDED
#define COURSEHEAD_SOAK_MODELS_HPP_INCLUDED

//! Models and engines of the soak, for the configuration and the simulated upstreams.
namespace coursehead::soak {

inline constexpr int modelCount = 6;
inline constexpr int adapterCount = 4;
inline constexpr double modelMb = 1000;
inline constexpr double adapterMb = 10;
inline constexpr double engineMb = 3100; //!< memory for three models and ten adapters
inline constexpr int engineAdapters = 3;
inline constexpr int engineSlots = 32;
inline constexpr double loadS = 0.3;
inline constexpr double storeLoadsPerS = 6;
inline constexpr double tokenBytes = 163840; //!< size of a cached token
inline constexpr double linkMbps = 740000;   //!< of the links between engines

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_MODELS_HPP_INCLUDED
