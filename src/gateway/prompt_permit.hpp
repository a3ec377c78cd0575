// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_PROMPT_PERMIT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_PROMPT_PERMIT_HPP_INCLUDED

#include "gateway/fleet.hpp"

#include <utility>

namespace coursehead::gateway {

//! A sidecar's leave to send one prompt to its engine. Unless it is used the sidecar hears that the
//! prompt does not come: the engine's time would be kept for it otherwise.
class PromptPermit {
public:
    PromptPermit( NodePtr node, EnsureAnswer answer )
        : m_node( std::move( node ) ), m_answer( answer ) {}
    ~PromptPermit() {
        if( m_node ) {
            Fleet::handBack( *m_node, m_answer );
        }
    }
    PromptPermit( const PromptPermit& ) = delete;
    PromptPermit& operator=( const PromptPermit& ) = delete;

    void use() { m_node.reset(); }

private:
    NodePtr m_node; //!< null once the leave is used
    EnsureAnswer m_answer;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_PROMPT_PERMIT_HPP_INCLUDED
