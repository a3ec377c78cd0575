// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_SOUND_PARTS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_SOUND_PARTS_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/fingerprint.hpp"

#include <array>
#include <optional>

namespace coursehead::decide {

/**
 * Prompt parts that a gateway has lately seen to be sound: an upstream has written an answer on
 * them and gone on. The table is a direct-mapped cache of 64 KB, so that a part may overwrite
 * another one.
 */
class SoundParts {
public:
    //! A run with the part began to write its answer at `begunAt`, and the upstream went on.
    void note( Fingerprint part, MonoTime begunAt ) {
        auto& entry = m_entries[part % m_entries.size()];
        if( entry.part != part || entry.begunAt < begunAt ) {
            entry = { part, begunAt };
        }
    }
    //! Begin of the newest such run; nullopt: none within the last minute is known.
    std::optional<MonoTime> begunAt( Fingerprint part, MonoTime now ) const {
        const auto& entry = m_entries[part % m_entries.size()];
        const bool known = entry.part == part && now - entry.begunAt < memory;
        return known ? std::optional( entry.begunAt ) : std::nullopt;
    }

private:
    struct Entry {
        Fingerprint part = 0;
        MonoTime begunAt{};
    };

    static constexpr std::size_t entryCount = 4096;
    static constexpr Millis memory{ 60000 };
    std::array<Entry, entryCount> m_entries{};
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_SOUND_PARTS_HPP_INCLUDED
