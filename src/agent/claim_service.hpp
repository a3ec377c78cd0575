// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_CLAIM_SERVICE_HPP_INCLUDED
#define COURSEHEAD_AGENT_CLAIM_SERVICE_HPP_INCLUDED

#include "coursehead/claims/table.hpp"
#include "coursehead/peer/stream.hpp"

#include <memory>
#include <mutex>

namespace coursehead::agent {

//! Answers idempotency-key claims for the claim slots that this agent owns.
class ClaimService {
public:
    ClaimService( std::string vm, claims::ClaimRules rules, const Clock& clock )
        : m_vm( std::move( vm ) ), m_rules( rules ), m_clock( clock ) {}

    //! Serves a stream on peer::claimPath.
    void serve( peer::Stream& stream );
    //! Acquires and releases slots according to a new configuration.
    void update( const config::State& state );
    void removeExpired();
    std::size_t records() const;

private:
    std::string m_vm;
    claims::ClaimRules m_rules;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    claims::ClaimTable m_table;
    config::Revision m_revision = 0;
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_CLAIM_SERVICE_HPP_INCLUDED
