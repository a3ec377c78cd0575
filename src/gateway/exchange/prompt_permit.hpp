// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_PROMPT_PERMIT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_PROMPT_PERMIT_HPP_INCLUDED

#include "gateway/choice/fleet.hpp"

#include <utility>

namespace coursehead::gateway {

//! A sidecar's permit to send one prompt to its engine. If it is not used, the destructor returns
//! it to the sidecar, which would otherwise reserve the engine's time for the prompt.
class PromptPermit {
public:
    PromptPermit( NodePtr node, EnsureAnswer answer )
        : m_node( std::move( node ) ), m_answer( answer ) {}
    ~PromptPermit() {
        if( m_node ) {
            Fleet::returnPermit( *m_node, m_answer );
        }
    }
    PromptPermit( const PromptPermit& ) = delete;
    PromptPermit& operator=( const PromptPermit& ) = delete;

    void use() { m_node.reset(); }

private:
    NodePtr m_node; //!< null once the permit is used
    EnsureAnswer m_answer;
};

//! A place on return that a sidecar holds. Unless the client is told its time, the destructor gives
//! it back.
class ReturnPlace {
public:
    ReturnPlace( NodePtr node, EnsureAnswer answer, MonoTime at )
        : m_node( std::move( node ) ), m_answer( answer ), m_at( at ) {}
    ~ReturnPlace() {
        if( m_node ) {
            Fleet::returnPermit( *m_node, m_answer );
        }
    }
    ReturnPlace( const ReturnPlace& ) = delete;
    ReturnPlace& operator=( const ReturnPlace& ) = delete;

    //! The client is told its time.
    void keep() { m_node.reset(); }
    MonoTime at() const { return m_at; } //!< when it opens
    Millis held() const { return Millis( m_answer.placeHeldMs ); }

private:
    NodePtr m_node; //!< null once the place is kept
    EnsureAnswer m_answer;
    MonoTime m_at;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_PROMPT_PERMIT_HPP_INCLUDED
