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

ClaimAnswer verdict( ClaimVerdict what ) {
    ClaimAnswer out;
    out.verdict = what;
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

//! Refusals that follow from the key's time and slot alone; granted when there are none.
ClaimVerdict screen( const ClaimTable& table, std::string_view key, WallMillis made,
                     const ClaimRules& rules, WallMillis now ) {
    const auto owned = table.ownedSince.find( slotOf( key ) );
    if( owned == table.ownedSince.end() ) {
        return ClaimVerdict::notOwner;
    }
    if( made > now + rules.skew.count() ) {
        return ClaimVerdict::early;
    }
    // A key made before we began, by a clock that may be ahead, may have run under an earlier
    // owner.
    const bool beforeUs = made <= owned->second + rules.skew.count();
    const bool tooOld = made < now - rules.window.count();
    return beforeUs || tooOld ? ClaimVerdict::unknown : ClaimVerdict::granted;
}

ClaimAnswer claim( ClaimTable& table, const ClaimRequest& request, WallMillis made ) {
    const auto found = table.records.find( request.key );
    if( found == table.records.end() ) {
        ClaimRecord record;
        record.fingerprint = request.fingerprint;
        record.holder = request.holder;
        record.made = made;
        table.records.emplace( request.key, std::move( record ) );
        return verdict( ClaimVerdict::granted );
    }
    if( found->second.fingerprint != request.fingerprint ) {
        return verdict( ClaimVerdict::mismatch );
    }
    // The same request asking again lost our first answer.
    const bool again = found->second.state == ClaimVerdict::busy &&
                       sameRequest( found->second.holder, request.holder ) &&
                       found->second.holder.attempt == request.holder.attempt;
    return again ? verdict( ClaimVerdict::granted ) : describe( found->second );
}

ClaimAnswer move( ClaimTable& table, const ClaimRequest& request ) {
    const auto found = table.records.find( request.key );
    if( found == table.records.end() ) {
        return verdict( ClaimVerdict::unknown );
    }
    // Only the attempt that directly follows the barred one may take over, so that of two callers
    // who both saw the bar one loses.
    auto& record = found->second;
    if( record.state != ClaimVerdict::busy ||
        request.holder.attempt != record.holder.attempt + 1 ) {
        return describe( record );
    }
    record.holder = request.holder;
    return verdict( ClaimVerdict::granted );
}

ClaimAnswer resolve( ClaimTable& table, const ClaimRequest& request, const ClaimRules& rules ) {
    const auto found = table.records.find( request.key );
    if( found == table.records.end() ) {
        return verdict( ClaimVerdict::unknown );
    }
    auto& record = found->second;
    const bool holds = sameRequest( record.holder, request.holder ) &&
                       record.holder.attempt == request.holder.attempt;
    if( record.state != ClaimVerdict::busy || !holds ) {
        return describe( record );
    }
    if( request.outcome == ClaimOutcome::notRun ) {
        table.records.erase( found );
        return verdict( ClaimVerdict::granted );
    }
    const bool keep =
        request.outcome == ClaimOutcome::finished && request.body.size() <= rules.answerBytes;
    record.state = keep ? ClaimVerdict::finished : ClaimVerdict::unknown;
    if( keep ) {
        record.status = request.status;
        record.contentType = request.contentType;
        record.body = request.body;
    }
    return verdict( ClaimVerdict::granted );
}

bool provedGone( const config::ClaimSlot& slot, const Presence& presence ) {
    const bool listed = std::find( presence.present.begin(), presence.present.end(), slot.vm ) !=
                        presence.present.end();
    return !listed && presence.version >= slot.seen;
}

std::string_view bestOwner( std::uint32_t slot, std::span<const std::string> members ) {
    std::string_view best;
    std::uint64_t bestHash = 0;
    const auto name = std::to_string( slot );
    for( const auto& it : members ) {
        const auto h = hash64( it, name );
        if( best.empty() || h > bestHash ) {
            best = it;
            bestHash = h;
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
        return verdict( ClaimVerdict::mismatch );
    }
    const auto screened = screen( table, request.key, *made, rules, now );
    const bool late = screened == ClaimVerdict::unknown && request.step != ClaimStep::claim;
    if( screened != ClaimVerdict::granted && !late ) {
        return verdict( screened );
    }
    switch( request.step ) {
    case ClaimStep::claim:
        return claim( table, request, *made );
    case ClaimStep::move:
        return move( table, request );
    case ClaimStep::resolve:
        return resolve( table, request, rules );
    }
    return verdict( ClaimVerdict::unknown );
}

void forget( ClaimTable& table, const ClaimRules& rules, WallMillis now ) {
    // Twice the window: a request may run on for as long as its key's window after its claim.
    const auto limit = now - 2 * rules.window.count() - rules.skew.count();
    std::erase_if( table.records, [limit]( const auto& it ) { return it.second.made < limit; } );
}

std::vector<config::ClaimSlot> reassign( const config::State& state, const Presence& presence ) {
    std::vector<config::ClaimSlot> out;
    if( presence.members.empty() ) {
        return out;
    }
    std::vector<const config::ClaimSlot*> owners( slotCount, nullptr );
    for( const auto& it : state.slots ) {
        if( it.slot < slotCount ) {
            owners[it.slot] = &it;
        }
    }
    for( std::uint32_t slot = 0; slot < slotCount; ++slot ) {
        if( owners[slot] == nullptr || provedGone( *owners[slot], presence ) ) {
            const auto next = bestOwner( slot, presence.members );
            out.push_back( { slot, std::string( next ), presence.version } );
        }
    }
    return out;
}

} // namespace coursehead::claims
