// SPDX-License-Identifier: BSL-1.0
#include "agent/claim_service.hpp"

namespace coursehead::agent {

namespace {
constexpr Millis requestTimeout{ 5000 };
} // namespace

void ClaimService::serve( peer::Stream& stream ) {
    const auto got = stream.receive( m_clock.now() + requestTimeout );
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
    stream.send( encode( answer ), m_clock.now() + requestTimeout );
    stream.finish();
}

void ClaimService::update( const config::State& state ) {
    const std::lock_guard lock( m_mutex );
    // Two threads may deliver two revisions out of order.
    if( state.revision > m_revision ) {
        m_revision = state.revision;
        claims::updateOwnership( m_table, state, m_vm, m_clock.wall() );
    }
}

void ClaimService::removeExpired() {
    const std::lock_guard lock( m_mutex );
    claims::forget( m_table, m_rules, m_clock.wall() );
}

std::size_t ClaimService::records() const {
    const std::lock_guard lock( m_mutex );
    return m_table.records.size();
}

} // namespace coursehead::agent
