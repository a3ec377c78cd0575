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
 * Evacuation of halls: gateways send no more requests to the upstreams of an evacuated hall until
 * the order is revoked. Requests that already run there continue. It is designed for a third of the
 * engines leaving at once, some of them the only holders of a model, while demand continues.
 */
namespace coursehead::decide {

//! Time bounds of an evacuation.
struct EvacuationRule {
    Millis bound{ 0 };   //!< from the order to the last send, if connected; 0: no evacuation
    Millis contact{ 0 }; //!< a process counts as connected this long after its fault ends
};

//! How long after receiving the order a process may still send requests to the hall for models that
//! only that hall holds. Half of the bound leaves the other half for the order's delivery. Half of
//! the contact time covers a process that was stopped or cut off and reads the order from a backlog
//! of messages.
Millis evacuationGrace( const EvacuationRule& rule );

//! Evacuated halls, as known to one process.
class Evacuations {
public:
    //! Starts a hall's evacuation; true when it was not known. `justOrdered`: the order was
    //! received as it was given, so that the grace time applies; if the order may be older, sending
    //! stops at once.
    bool begin( const std::string& hall, bool justOrdered, const EvacuationRule& rule,
                MonoTime now );
    //! Ends a hall's evacuation; true when it was known.
    bool end( const std::string& hall );
    //! Known evacuations that `halls` lacks: their orders were revoked without this process
    //! receiving the message.
    template <typename Halls>
    std::vector<std::string> missingFrom( const Halls& halls ) const {
        std::vector<std::string> out;
        for( const auto& it : m_stopTimes ) {
            if( !halls.contains( it.first ) ) {
                out.push_back( it.first );
            }
        }
        return out;
    }
    //! Time from which nothing is sent to a hall; nullopt when it is not evacuated.
    std::optional<MonoTime> stopAt( std::string_view hall ) const;

private:
    std::map<std::string, MonoTime, std::less<>> m_stopTimes;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_EVACUATION_HPP_INCLUDED
