// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_NODE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_NODE_HPP_INCLUDED

#include "decide/announcement.hpp"
#include "decide/backoff.hpp"
#include "decide/cold_gate.hpp"
#include "decide/engine_speed.hpp"
#include "decide/gateway_limits.hpp"
#include "gateway/choice/connection_pool.hpp"
#include "gateway/choice/health.hpp"
#include "gateway/choice/prefix_cache.hpp"
#include "gateway/choice/reading_budget.hpp"
#include "gateway/links/spec_text.hpp"
#include "gateway/messages.hpp"
#include "gateway/model.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace coursehead::gateway {

class SidecarLink;

//! A gateway's state of one upstream: its knowledge of the upstream and its requests in flight
//! there.
struct Node {
    Node( Upstream listed, MonoTime now )
        : upstream( std::move( listed ) ), addedAt( now ), prefixes( 0 ) {}

    Upstream upstream;
    MonoTime addedAt;                 //!< when this gateway learnt of the upstream
    StartTime bornSentToSidecar = 0;  //!< start of the upstream, as last sent to its sidecar
    EncodedSpecPtr specSentToSidecar; //!< engine description that was last sent to its sidecar
    std::shared_ptr<const EngineSpec> engine; //!< null for plain services
    Millis gapTarget{ 0 };                    //!< gap target of the service's streams; 0: none
    ConnectionPool pool;
    Health health;
    ReadingBudget reading;
    PrefixCache prefixes;
    std::shared_ptr<SidecarLink> sidecar; //!< null for plain services
    std::optional<SidecarReport> report;  //!< last report of the sidecar
    MonoTime reportAt;
    std::vector<HallGateways> gatewayHalls; //!< gateways that its sidecar has counted
    bool engineReachable = true;            //!< by the sidecar's last report
    bool connectedToAllGateways = false;    //!< all gateways are connected to its sidecar
    decide::AnnouncedState announced;       //!< announcements in the upstream's answers
    decide::LimitState limit;               //!< limit on the requests of all gateways together
    decide::SlowStart slowStart;            //!< limits requests in flight after a back-off
    decide::ColdGate cold;                  //!< limits the request rate while the upstream is cold
    double coldPerS = 0;                    //!< requests a second allowed while cold; 0: no rule
    Millis coldDuration{ 0 }; //!< how long upstreams of this service stay cold after a start
    MonoTime brokenAt{};      //!< last time that a connection to it broke or could not be opened
    bool replaced = false; //!< another upstream has its address; the store's entry will be removed
    bool gone = false;     //!< no longer in the fleet
    std::optional<MonoTime> leavesAt; //!< announced time by which the upstream will have ended
    std::optional<MonoTime> stopAt;   //!< its hall is evacuated: no request is sent from then on
    int inFlight = 0;
    int prefilling = 0;          //!< requests in flight without a first event yet
    double prefillMs = 0;        //!< estimated prompt reading time of those requests
    MonoTime lastReceivedAt;     //!< last time that bytes arrived over any of its connections
    double readingWaitMs = 0;    //!< until the engine could begin with a prompt, by its sidecar
    MonoTime readingWaitAt;      //!< when the sidecar sent that value
    double usualTimeRatio = 1;   //!< of the service's engines, see decide::usualTimeRatio()
    decide::SlowState slowState; //!< as last logged
    //! Models that this gateway waits for, with the wait's start.
    std::map<std::string, MonoTime> loading;
    std::vector<SentPart> sentParts;    //!< shared prompt parts sent since the last demand message
    std::set<std::string> adaptersUsed; //!< MODEL/NAME sent since the last demand message
    std::map<std::string, int, std::less<>> running; //!< in flight, by MODEL and by MODEL/NAME

    //! Discards what was known of the earlier start, after the upstream has started again under its
    //! id. Requests in flight stay counted until they end.
    void resetForRestart( StartTime born, MonoTime now );
    //! True if the upstream is about to end, by the store's entry or by its own announcement. The
    //! announcement arrives some hundred milliseconds earlier, and also when the store is down.
    bool leaving() const { return upstream.state != UpstreamState::ready || announced.leaving(); }
    //! Applies what one of the upstream's answers announced. `gateways`: the number of gateways
    //! that send to the upstream, this one included.
    void takeAnnouncement( const decide::Announcement& announcement, int gateways, MonoTime now );
    //! True while new requests may be sent to the upstream.
    bool takesRequests() const { return !gone && !replaced && !leaving(); }
    //! True while new requests may be sent to the upstream and its hall is not evacuated at `now`.
    bool takesRequests( MonoTime now ) const {
        return takesRequests() && ( !stopAt || now < *stopAt );
    }
    //! True if takesRequests( now ), and the upstream has not asked this gateway for a back-off
    //! that is still in force. Requests sent during a back-off (105 within one of 2.5 s) were
    //! refused again because the upstream was full.
    bool isAvailable( MonoTime now ) const {
        return takesRequests( now ) && announced.backoffLeft( now ).count() == 0;
    }
    bool reportFresh( MonoTime now ) const;
    //! True while the sidecar's first report may still arrive: resident models are not known yet.
    bool awaitsFirstReport( MonoTime now ) const;
    //! Limits on the prompt reading that this gateway may request of the engine.
    ReadingBudget::Limits readingLimits( MonoTime now ) const;
    //! Resident models and adapters: by the sidecar's report if fresh, else by the store's entry.
    const std::vector<Resident>& residents( MonoTime now ) const;
    bool holdsModel( std::string_view model, MonoTime now ) const;
    bool holdsAdapter( std::string_view model, std::string_view adapter, MonoTime now ) const;
    //! Resident models and models that requests are in flight for.
    std::set<std::string> modelsHeldOrInFlight( MonoTime now ) const;
    //! Records the parts of a prompt that is sent to the engine.
    void notePrompt( std::span<const std::uint64_t> keys, const Generation& generation,
                     MonoTime now = {} );
    //! The upstream stays cold for this much longer.
    void noteCold( Millis left, MonoTime now ) { cold.noteCold( left, now ); }
    //! Applies a report of the sidecar on the engine: a complete one, or the load alone.
    void takeReport( const SidecarReport& next, MonoTime now );
    void takeLoad( const EngineLoad& load, MonoTime now );
    //! The engine's speed by its sidecar, with its certainty as of now; none if it is not fresh.
    decide::EngineSpeed speed( MonoTime now ) const;
    //! Factor on the usual time for reading prompts; 1 while nothing is known.
    double timeFactor( MonoTime now ) const;
    //! Sets how long the engine needs until it could begin with a prompt, by the sidecar.
    void takeReadingWait( double waitMs, MonoTime now );
    //! Remaining part of that time, in milliseconds.
    double readingWaitLeft( MonoTime now ) const;
    //! True if prompts are sent only after the sidecar has admitted them.
    bool sidecarAdmitsPrompts( MonoTime now ) const;
    //! Its software version; nullopt if it may have started again at another one unnoticed.
    std::optional<std::string> certainVersion( MonoTime now ) const;
    //! Number of this gateway's requests in flight for a model, or for MODEL/NAME.
    int runningOf( std::string_view key ) const;
    //! Adapters of a model with requests in flight, or sent since the last demand message.
    std::vector<std::string> adaptersInUse( const std::string& model ) const;
};
using NodePtr = std::shared_ptr<Node>;

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_NODE_HPP_INCLUDED
