// SPDX-License-Identifier: BSL-1.0
#include "agent/claim_service.hpp"

namespace coursehead::agent {

namespace {
constexpr Millis requestPatience{ 5000 };
} // namespace

void ClaimService::serve( peer::Stream& stream ) {
    const auto got = stream.receive( m_clock.now() + requestPatience );
    if( got.status != peer::ReceiveStatus::frame ) {
        return;
    }
    const auto decoded = peer::decode( got.frame );
    const auto* request = std::get_if<peer::ClaimRequest>( &decoded.message );
    if( !decoded.ok || request == nullptr ) {
        return;
    }
    peer::ClaimAnswer answer;
    {
        const std::lock_guard lock( m_mutex );
        answer = claims::answer( m_table, *request, m_rules, m_clock.wall() );
    }
    stream.send( encode( answer ), m_clock.now() + requestPatience );
    stream.finish();
}

void ClaimService::update( const config::State& state ) {
    const std::lock_guard lock( m_mutex );
    // Two revisions may be announced out of order by two threads.
    if( state.revision > m_revision ) {
        m_revision = state.revision;
        claims::updateOwnership( m_table, state, m_vm, m_clock.wall() );
    }
}

void ClaimService::tidy() {
    const std::lock_guard lock( m_mutex );
    claims::forget( m_table, m_rules, m_clock.wall() );
}

std::size_t ClaimService::records() const {
    const std::lock_guard lock( m_mutex );
    return m_table.records.size();
}

} // namespace coursehead::agent
