// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_RETURN_PLACES_HPP_INCLUDED
#define COURSEHEAD_DECIDE_RETURN_PLACES_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/fingerprint.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace coursehead::decide {

//! A prompt that was refused with a time to return.
struct RefusedPrompt {
    Fingerprint content = 0; //!< 0: unknown, no place is held
    std::uint64_t key = 0;   //!< identifies the refused ask
    int urgency = 0;         //!< 0 (most urgent) to 9
    double workMs = 0;       //!< time to read it
    Millis wait{ 0 };        //!< until the engine could start to read it
};

//! What the refused client may be told.
struct HeldPlace {
    Millis wait{ 0 }; //!< until the place is open
    Millis held{ 0 }; //!< how long it is held from then on; 0: no place is held
};

enum class ReturnVerdict {
    unknown, //!< no place is held for it
    early,   //!< its place is not open yet; the prompt counts as a new one
    inTime,
};

/**
 * Places at one engine for prompts that were refused with a time to return. Designed for an engine
 * that refuses many prompts within a second, of whose clients some return as told, some return at
 * once and often, and the others never.
 *
 * A content has one place, which is neither moved nor lengthened by an early return. Each place
 * opens behind the work of those before it, so that the times told are spread by what the engine
 * can read. New prompts leave room for held places by the share of places that were taken up
 * lately.
 */
class ReturnPlaces {
public:
    //! Holds a place, and returns from when and how long. A content that has a place keeps it.
    HeldPlace hold( const RefusedPrompt& prompt, MonoTime now );
    //! A prompt has come; one that returns in time takes up its place.
    ReturnVerdict arrive( Fingerprint content, MonoTime now );
    //! Gives back the place of an ask whose client was told another time, or was served.
    void release( std::uint64_t key );
    //! The prompt was admitted without its place, because it came early and there was room.
    void drop( Fingerprint content ) { m_places.erase( content ); }
    //! Drops places that were not taken up in time, and returns their number.
    std::size_t expire( MonoTime now );
    //! Drops all places: the engine has restarted.
    void clear() { m_places.clear(); }

    //! Reading time for which a new prompt has to leave room that could be read from `startAt` on:
    //! that of the places that are open by then, and no less urgent.
    double reservedMs( int urgency, MonoTime startAt ) const;
    std::size_t size() const noexcept { return m_places.size(); }

private:
    struct Place {
        std::uint64_t key = 0;
        int urgency = 0;
        double workMs = 0;
        MonoTime from;
        MonoTime until;
    };

    void noteTakenUp( bool takenUp );

    std::map<Fingerprint, Place> m_places; //!< by content
    double m_takenUpShare = 0.25;          //!< of the places held lately; unknown at first
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_RETURN_PLACES_HPP_INCLUDED
