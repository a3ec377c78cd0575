// SPDX-License-Identifier: BSL-1.0
#include "coursehead/claims/table.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace coursehead::claims {

using peer::ClaimAnswer;
using peer::ClaimOutcome;
using peer::ClaimRequest;
using peer::ClaimStep;
using peer::ClaimVerdict;

namespace {

ClaimAnswer makeAnswer( ClaimVerdict verdict ) {
    ClaimAnswer out;
    out.verdict = verdict;
    return out;
}

ClaimAnswer describe( const ClaimRecord& record ) {
    ClaimAnswer out;
    out.verdict = record.state;
    out.holder = record.holder;
    out.status = record.status;
    out.contentType = record.contentType;
    out.body = record.body;
    return out;
}

bool sameRequest( const peer::ClaimHolder& a, const peer::ClaimHolder& b ) {
    return a.requestId == b.requestId;
}

//! Checks the key's slot and creation time, without the records; `granted` when they allow the
//! request.
ClaimVerdict precheck( const ClaimTable& table, std::string_view key, WallMillis made,
                       const ClaimRules& rules, WallMillis now ) {
    const auto owned = table.ownedSince.find( slotOf( key ) );
    if( owned == table.ownedSince.end() ) {
        return ClaimVerdict::notOwner;
    }
    if( made > now + rules.skew.count() ) {
        return ClaimVerdict::keyTimeInFuture;
    }
    // A request whose key is older than this ownership may have run under an earlier owner. The
    // caller's clock may be ahead, hence the skew.
    const bool beforeOwnership = made <= owned->second + rules.skew.count();
    const bool tooOld = made < now - rules.window.count();
    return beforeOwnership || tooOld ? ClaimVerdict::unknown : ClaimVerdict::granted;
}

ClaimAnswer claim( ClaimTable& table, const ClaimRequest& request, WallMillis made ) {
    const auto found = table.records.find( request.key );
    if( found == table.records.end() ) {
        ClaimRecord record;
        record.fingerprint = request.fingerprint;
        record.holder = request.holder;
        record.made = made;
        table.records.emplace( request.key, std::move( record ) );
        return makeAnswer( ClaimVerdict::granted );
    }
    if( found->second.fingerprint != request.fingerprint ) {
        return makeAnswer( ClaimVerdict::mismatch );
    }
    // The same attempt claims again when the first answer to it was lost.
    const bool isRepeat = found->second.state == ClaimVerdict::busy &&
                          sameRequest( found->second.holder, request.holder ) &&
                          found->second.holder.attempt == request.holder.attempt;
    return isRepeat ? makeAnswer( ClaimVerdict::granted ) : describe( found->second );
}

ClaimAnswer move( ClaimTable& table, const ClaimRequest& request ) {
    const auto found = table.records.find( request.key );
    if( found == table.records.end() ) {
        return makeAnswer( ClaimVerdict::unknown );
    }
    // Only the attempt that directly follows the barred one may take over the claim. If two callers
    // learn that the attempt was barred, only one of them succeeds.
    auto& record = found->second;
    if( record.state != ClaimVerdict::busy ||
        request.holder.attempt != record.holder.attempt + 1 ) {
        return describe( record );
    }
    record.holder = request.holder;
    return makeAnswer( ClaimVerdict::granted );
}

ClaimAnswer resolve( ClaimTable& table, const ClaimRequest& request, const ClaimRules& rules ) {
    const auto found = table.records.find( request.key );
    if( found == table.records.end() ) {
        return makeAnswer( ClaimVerdict::unknown );
    }
    auto& record = found->second;
    const bool isHolder = sameRequest( record.holder, request.holder ) &&
                          record.holder.attempt == request.holder.attempt;
    if( record.state != ClaimVerdict::busy || !isHolder ) {
        return describe( record );
    }
    if( request.outcome == ClaimOutcome::notRun ) {
        table.records.erase( found );
        return makeAnswer( ClaimVerdict::granted );
    }
    const bool keepAnswer =
        request.outcome == ClaimOutcome::finished && request.body.size() <= rules.maxAnswerBytes;
    record.state = keepAnswer ? ClaimVerdict::finished : ClaimVerdict::unknown;
    if( keepAnswer ) {
        record.status = request.status;
        record.contentType = request.contentType;
        record.body = request.body;
    }
    return makeAnswer( ClaimVerdict::granted );
}

bool isProvenGone( const config::ClaimSlot& slot, const VmList& vmList ) {
    const bool listed =
        std::find( vmList.present.begin(), vmList.present.end(), slot.vm ) != vmList.present.end();
    return !listed && vmList.version >= slot.seen;
}

std::string_view chooseOwner( std::uint32_t slot, std::span<const std::string> members ) {
    std::string_view best;
    std::uint64_t bestHash = 0;
    const auto name = std::to_string( slot );
    for( const auto& it : members ) {
        const auto hash = hash64( it, name );
        if( best.empty() || hash > bestHash ) {
            best = it;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace

void updateOwnership( ClaimTable& table, const config::State& state, std::string_view vm,
                      WallMillis now ) {
    std::map<std::uint32_t, WallMillis> owned;
    for( const auto& it : state.slots ) {
        if( it.vm == vm ) {
            const auto before = table.ownedSince.find( it.slot );
            owned[it.slot] = before == table.ownedSince.end() ? now : before->second;
        }
    }
    table.ownedSince = std::move( owned );
    std::erase_if( table.records, [&table]( const auto& it ) {
        return !table.ownedSince.contains( slotOf( it.first ) );
    } );
}

ClaimAnswer answer( ClaimTable& table, const ClaimRequest& request, const ClaimRules& rules,
                    WallMillis now ) {
    const auto made = keyTime( request.key );
    if( !made ) {
        return makeAnswer( ClaimVerdict::mismatch );
    }
    const auto precheckVerdict = precheck( table, request.key, *made, rules, now );
    const bool followsClaim =
        precheckVerdict == ClaimVerdict::unknown && request.step != ClaimStep::claim;
    if( precheckVerdict != ClaimVerdict::granted && !followsClaim ) {
        return makeAnswer( precheckVerdict );
    }
    switch( request.step ) {
    case ClaimStep::claim:
        return claim( table, request, *made );
    case ClaimStep::move:
        return move( table, request );
    case ClaimStep::resolve:
        return resolve( table, request, rules );
    }
    return makeAnswer( ClaimVerdict::unknown );
}

void forget( ClaimTable& table, const ClaimRules& rules, WallMillis now ) {
    // Twice the window: a request may be claimed at the end of its key's window and run for as long
    // again.
    const auto limit = now - 2 * rules.window.count() - rules.skew.count();
    std::erase_if( table.records, [limit]( const auto& it ) { return it.second.made < limit; } );
}

std::vector<config::ClaimSlot> reassign( const config::State& state, const VmList& vmList ) {
    std::vector<config::ClaimSlot> out;
    if( vmList.members.empty() ) {
        return out;
    }
    std::vector<const config::ClaimSlot*> owners( slotCount, nullptr );
    for( const auto& it : state.slots ) {
        if( it.slot < slotCount ) {
            owners[it.slot] = &it;
        }
    }
    for( std::uint32_t slot = 0; slot < slotCount; ++slot ) {
        if( owners[slot] == nullptr || isProvenGone( *owners[slot], vmList ) ) {
            const auto next = chooseOwner( slot, vmList.members );
            out.push_back( { slot, std::string( next ), vmList.version } );
        }
    }
    return out;
}

} // namespace coursehead::claims
