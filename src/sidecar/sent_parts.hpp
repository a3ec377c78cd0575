// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_SENT_PARTS_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_SENT_PARTS_HPP_INCLUDED

#include "gateway/messages.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <span>
#include <vector>

namespace coursehead::sidecar {

/**
 * The shared prompt parts that all gateways have sent to an engine, and that it may have cached.
 * One gateway of thirty sends the engine too few prompts to know what it has cached.
 */
class SentParts {
public:
    void add( std::span<const gateway::SentPart> parts );
    //! The parts added or used again since the last call, most recently used last.
    std::vector<gateway::SentPart> takeUnpublished();
    //! All parts that are kept, most recently used last.
    std::vector<gateway::SentPart> all() const;
    void clear();

private:
    struct Entry {
        gateway::SentPart part;
        bool published = false;
    };

    std::list<Entry> m_entries; //!< most recently used last
    std::map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_SENT_PARTS_HPP_INCLUDED
