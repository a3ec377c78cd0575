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
 * Shared parts of prompts that gateways sent to an engine. One gateway of thirty sends it too few
 * prompts to know what it keeps; together they know.
 */
class SentParts {
public:
    void add( std::span<const gateway::SentPart> parts );
    //! Those added or used again since the last call, the one used last at the end.
    std::vector<gateway::SentPart> takeUnpublished();
    //! All that are remembered, the one used last at the end.
    std::vector<gateway::SentPart> all() const;
    void clear();

private:
    struct Entry {
        gateway::SentPart part;
        bool told = false;
    };

    std::list<Entry> m_entries; //!< the one used last at the end
    std::map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_SENT_PARTS_HPP_INCLUDED
