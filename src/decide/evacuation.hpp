// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_EVACUATION_HPP_INCLUDED
#define COURSEHEAD_DECIDE_EVACUATION_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * Halls that are to be emptied: nothing more is sent to their upstreams until that is taken back.
 * What runs there runs on. The load that this answers: a third of the engines leave at once, some
 * of them the only ones with a model, while the demand goes on.
 */
namespace coursehead::decide {

//! The bounds that say how soon.
struct EvacuationRule {
    Millis bound{ 0 };   //!< from the order on, for a process in touch; 0: halls are not emptied
    Millis contact{ 0 }; //!< a process counts as in touch so long after its trouble
};

//! How long after it has heard of the order a process may still send there what only that hall
//! holds. Half of the bound leaves the other half for the way; half of the contact time covers a
//! process that was stopped or cut off and finds the order among what waited for it.
Millis evacuationGrace( const EvacuationRule& rule );

//! The halls that one process knows to be emptied.
class Evacuations {
public:
    //! A hall is to be emptied. `justOrdered`: heard as it happened; of one that may be older
    //! nothing more is sent at once. True when it was not known.
    bool begin( const std::string& hall, bool justOrdered, const EvacuationRule& rule,
                MonoTime now );
    //! It was taken back; true when it was known.
    bool end( const std::string& hall );
    //! Halls that are not among `halls` were taken back while this process did not hear of it.
    template <typename Halls>
    std::vector<std::string> missingFrom( const Halls& halls ) const {
        std::vector<std::string> out;
        for( const auto& it : m_stops ) {
            if( !halls.contains( it.first ) ) {
                out.push_back( it.first );
            }
        }
        return out;
    }
    //! From when on nothing is sent to a hall; nullopt when it is not emptied.
    std::optional<MonoTime> stopAt( std::string_view hall ) const;

private:
    std::map<std::string, MonoTime, std::less<>> m_stops;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_EVACUATION_HPP_INCLUDED
