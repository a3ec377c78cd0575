// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_NODE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_NODE_HPP_INCLUDED

#include "decide/announcement.hpp"
#include "decide/backoff.hpp"
#include "decide/cold_gate.hpp"
#include "decide/gateway_limits.hpp"
#include "gateway/connection_pool.hpp"
#include "gateway/health.hpp"
#include "gateway/messages.hpp"
#include "gateway/model.hpp"
#include "gateway/prefix_cache.hpp"
#include "gateway/reading_budget.hpp"
#include "gateway/spec_text.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace coursehead::gateway {

class SidecarLink;

//! What a gateway knows of one upstream, and what it has in flight there.
struct Node {
    Node( Upstream listed, MonoTime now )
        : upstream( std::move( listed ) ), addedAt( now ), prefixes( 0 ) {}

    Upstream upstream;
    MonoTime addedAt;                         //!< when this gateway first heard of it
    StartTime bornSentToSidecar = 0;          //!< start that its sidecar was told of
    EncodedSpecPtr specSentToSidecar;         //!< description that its sidecar was told of
    std::shared_ptr<const EngineSpec> engine; //!< null for plain services
    Millis gapTarget{ 0 };                    //!< of the service's streams; 0: none
    ConnectionPool pool;
    Health health;
    ReadingBudget reading;
    PrefixCache prefixes;
    std::shared_ptr<SidecarLink> sidecar; //!< null for plain services
    std::optional<SidecarReport> report;  //!< the sidecar's last
    MonoTime reportAt;
    bool engineReachable = true;         //!< as the sidecar says
    bool connectedToAllGateways = false; //!< all gateways are connected to its sidecar
    decide::AnnouncedState announced;    //!< what it has said of itself in its answers
    decide::LimitState limit;            //!< what it takes from all gateways together
    decide::SlowStart slowStart;         //!< what it is sent behind a back-off
    decide::ColdGate cold;               //!< what it bears after a start
    double coldPerS = 0;              //!< requests a second that it is sent while cold; 0: no rule
    Millis coldDuration{ 0 };         //!< how long upstreams of its service stay cold
    bool replaced = false;            //!< another start has the address; the entry is about to go
    bool gone = false;                //!< no longer in the fleet
    std::optional<MonoTime> leavesAt; //!< it was announced to be gone by then
    std::optional<MonoTime> stopAt;   //!< its hall is emptied: nothing is sent from then on
    int inFlight = 0;
    int prefilling = 0;       //!< of those, without a first event yet
    double prefillMs = 0;     //!< their estimated prompt reading time
    MonoTime lastReceivedAt;  //!< bytes from any of its connections
    double readingWaitMs = 0; //!< until it could begin with a prompt, as its sidecar last said
    MonoTime readingWaitAt;   //!< when the sidecar said so
    std::map<std::string, MonoTime>
        loading;                        //!< models that this gateway waits for there, since when
    std::vector<SentPart> sentParts;    //!< shared parts sent there since the last demand message
    std::set<std::string> adaptersUsed; //!< MODEL/NAME sent there since the last demand message
    std::map<std::string, int, std::less<>> running; //!< in flight, by MODEL and by MODEL/NAME

    //! It has started again under its id: nothing that was known of the earlier start holds. What
    //! is in flight goes on counting until it ends.
    void resetForRestart( StartTime born, MonoTime now );
    //! True when it is about to end, by its entry or by its own word, which is some hundred
    //! milliseconds earlier and comes also when the store does not.
    bool leaving() const { return upstream.state != UpstreamState::ready || announced.leaving(); }
    //! Takes what one of its answers said of it. `gateways` send to it, this one included.
    void hear( const decide::Announcement& said, int gateways, MonoTime now );
    //! True while new requests may go there.
    bool takesRequests() const { return !gone && !replaced && !leaving(); }
    //! The same, and its hall is not emptied.
    bool takesRequests( MonoTime now ) const {
        return takesRequests() && ( !stopAt || now < *stopAt );
    }
    //! The same, and it has not asked this gateway for a back-off: 105 requests came to one within
    //! the 2.5 s that it had asked for, each turned away again when it was full.
    bool takesRequestsNow( MonoTime now ) const {
        return takesRequests( now ) && announced.backoffLeft( now ).count() == 0;
    }
    bool reportFresh( MonoTime now ) const;
    //! True while its sidecar has had little time to report: what it holds is not known yet.
    bool awaitsFirstReport( MonoTime now ) const;
    //! How much prompt reading this gateway may ask of it.
    ReadingBudget::Limits readingLimits( MonoTime now ) const;
    //! What it holds: by the sidecar's report when fresh, else by its entry.
    const std::vector<Resident>& residents( MonoTime now ) const;
    bool holdsModel( std::string_view model, MonoTime now ) const;
    bool holdsAdapter( std::string_view model, std::string_view adapter, MonoTime now ) const;
    //! Models that it holds, and those that requests are in flight for.
    std::set<std::string> modelsHeldOrInFlight( MonoTime now ) const;
    //! Notes a prompt that is sent there.
    void notePrompt( std::span<const std::uint64_t> keys, const Generation& generation );
    //! It stays cold for this much longer, as far as is told.
    void noteCold( Millis left, MonoTime now ) { cold.noteCold( left, now ); }
    //! Takes the sidecar's word on the engine: all of it, or the load alone.
    void takeReport( const SidecarReport& next, MonoTime now );
    void takeLoad( const EngineLoad& load, MonoTime now );
    //! Takes the sidecar's word on when the engine could begin with a prompt.
    void takeReadingWait( double waitMs, MonoTime now );
    //! What is left of that wait.
    double readingWaitLeft( MonoTime now ) const;
    //! True when prompts are sent with its sidecar's leave.
    bool sidecarAdmitsPrompts( MonoTime now ) const;
    //! Requests of this gateway in flight there for a model, or for MODEL/NAME.
    int runningOf( std::string_view key ) const;
    //! Adapters of a model that were sent there since the last demand message or are in flight.
    std::vector<std::string> adaptersInUse( const std::string& model ) const;
};
using NodePtr = std::shared_ptr<Node>;

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_NODE_HPP_INCLUDED
