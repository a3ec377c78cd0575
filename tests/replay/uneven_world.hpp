// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_TESTS_REPLAY_UNEVEN_WORLD_HPP_INCLUDED
#define COURSEHEAD_TESTS_REPLAY_UNEVEN_WORLD_HPP_INCLUDED

#include <cstdint>
#include <vector>

//! Engines of different speeds before many gateways, in virtual time. Meter, admission, costs and
//! choice are the product's; what gateways hear is a load report's interval old.
namespace coursehead::replay {

//! How gateways choose an engine.
enum class Way {
    ownGuess,     //!< by each gateway's own measurement
    expectedTime, //!< shortest expected time by the sidecars' measurements
    powerOfTwo,   //!< the better of two drawn at random among the near ones
    weighted,     //!< drawn among the near ones by their speed, as the gateways do
};

struct UnevenSettings {
    Way way = Way::ownGuess;
    std::uint64_t seed = 1;
    //! Speed of every engine; they take turns.
    std::vector<double> speeds{ 0.55, 1.2, 1.2, 1.2 };
    double load = 1;       //!< factor on the request rate
    bool turnSlow = false; //!< five engines take four times as long in the middle third
};

struct UnevenOutcome {
    struct Group {
        int requests = 0; //!< sent
        int late = 0;     //!< of those, first event after the goal or a pause over the gap target
    };
    Group slow; //!< at engines of less than usual speed, or at those that turn slow meanwhile
    Group usual;
    int refused = 0;
    //! Time until most of the gateways' time factors for most of the engines that turn slow
    //! exceeded 1.5, and after its end until they were below 1.25; -1: never.
    double noticedAfterMs = -1;
    double forgivenAfterMs = -1;

    int arrived() const { return slow.requests + usual.requests + refused; }
    //! Share of all requests that were served in time.
    double inTime() const;
};

UnevenOutcome replayUnevenEngines( const UnevenSettings& settings );

} // namespace coursehead::replay

#endif // COURSEHEAD_TESTS_REPLAY_UNEVEN_WORLD_HPP_INCLUDED
