// SPDX-License-Identifier: BSL-1.0
#include "sidecar/sidecar.hpp"

#include "coursehead/kernel/log.hpp"
#include "coursehead/kernel/signals.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "decide/fingerprint.hpp"
#include "gateway/messages.hpp"
#include "gateway/probe_server.hpp"
#include "kernel/platform_role.hpp"
#include "net/frame_channel.hpp"
#include "sidecar/admission.hpp"
#include "sidecar/engine_client.hpp"
#include "sidecar/engine_view.hpp"
#include "sidecar/orders.hpp"
#include "sidecar/origin_keeper.hpp"
#include "sidecar/pause_meter.hpp"
#include "sidecar/pending_ensure.hpp"
#include "sidecar/prompt_counts.hpp"
#include "sidecar/publisher.hpp"
#include "sidecar/quarantine_keeper.hpp"
#include "sidecar/relay.hpp"
#include "sidecar/sent_parts.hpp"
#include "sidecar/shared_counts.hpp"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <set>
#include <span>

namespace coursehead::sidecar {

namespace {

using gateway::EnsureOutcome;

//! Time between two polls of the engine's report while no request waits for the engine.
constexpr Millis idlePollInterval{ 150 };
//! Time between two polls while prompts are read: the prompt gate follows the engine's progress in
//! reading them.
constexpr Millis readingPollInterval{ 40 };
//! Time between two polls while an ensure request waits for a load: adapters load within some ten
//! milliseconds, models within seconds.
constexpr Millis loadPollInterval{ 12 };
//! An ensure request that is not met within this time is answered as failed, and the gateway tries
//! another engine.
constexpr Millis maxEnsureWait{ 9000 };
//! Time after which another gateway is asked for the engine's specification; the first one may have
//! disconnected.
constexpr Millis specRetryDelay{ 200 };
//! Consecutive failed polls after which the engine counts as unreachable.
constexpr int failedPollsToUnreachable = 2;
//! Running requests that a log line lists: as many as an engine has slots.
constexpr std::size_t maxRunsLogged = 64;

//! ID:EVENTS of each run, separated by commas.
std::string runsText( std::span<const gateway::EngineRun> runs ) {
    std::string out;
    for( const auto& it : runs.first( std::min( runs.size(), maxRunsLogged ) ) ) {
        out += ( out.empty() ? "" : "," ) + it.id + ":" + std::to_string( it.events );
    }
    return out;
}

class Sidecar {
public:
    explicit Sidecar( platform::NodeSettings settings )
        : m_settings( std::move( settings ) ), m_engine( m_context, m_settings.engine ),
          m_random( systemSeed() ), m_relay( m_context, m_settings, m_random, m_metrics ),
          m_pollTimer( m_context ), m_view( m_peers ),
          m_orders( m_context, m_settings, m_engine, m_view, m_random, m_metrics,
                    ordersCallbacks() ),
          m_admission( m_context, admissionCallbacks() ),
          m_publisher( { m_peers, m_view, m_orders, m_admission, m_sentParts, m_pauses } ),
          m_quarantines( m_context, m_settings.store, m_metrics, quarantineBroadcast() ),
          m_signals( m_context, SIGTERM, SIGINT, SIGHUP ) {}

    int run() {
        m_sharedCounts.setQuotaRule( platform::quotaRule( m_settings.bounds ) );
        auto acceptor = net::listen( m_context, m_settings.ip, m_settings.firstPort );
        net::start( m_context, acceptPeers( std::move( acceptor ) ), "accept" );
        auto metrics = net::listen( m_context, m_settings.ip, m_settings.metricsPort );
        gateway::ProbeHandler metricsHandler = [this]( std::string_view path ) {
            return gateway::metricsAnswer( m_metrics, path );
        };
        net::start( m_context,
                    gateway::serveProbes( std::move( metrics ), std::move( metricsHandler ) ),
                    "metrics" );
        m_orders.start();
        net::start( m_context, pollEngine(), "converge" );
        net::start( m_context, handleSignals(), "signals" );
        allowReloadSignal();
        log::info( "started",
                   { { "engine", m_settings.engine.text() }, { "hall", m_settings.hall } } );
        m_context.run();
        log::info( "stopped", {} );
        return 0;
    }

private:
    net::Task<> acceptPeers( net::Acceptor acceptor ) {
        for( ;; ) {
            auto [ec, socket] = co_await acceptor.async_accept( net::tupled );
            if( ec ) {
                log::warn( "accept_failed", { { "detail", ec.message() } } );
                continue;
            }
            net::configureSocket( socket, peerAckLimit );
            auto task = servePeer( net::Socket( std::move( socket ) ) );
            net::start( m_context, std::move( task ), "peer" );
        }
    }

    net::Task<> servePeer( net::Socket socket ) {
        const auto peer = std::make_shared<Peer>();
        peer->connectionNumber = ++m_lastConnectionNumber;
        peer->channel =
            std::make_shared<net::FrameChannel>( std::move( socket ), net::ChannelSide::server );
        m_peers.insert( peer );
        net::FrameChannel::FrameHandler handler = [this, peer]( std::string_view frame ) {
            onFrame( peer, frame );
        };
        co_await peer->channel->run( std::move( handler ) );
        m_peers.erase( peer );
        m_relay.unsubscribe( peer.get() );
        forgetEnsures( *peer );
        log::info( "gateway_lost", { { "gateway", peer->gateway } } );
    }

    void onFrame( const PeerPtr& peer, std::string_view frame ) {
        auto message = gateway::decode( frame );
        if( !message ) {
            log::warn( "gateway_message_malformed", { { "gateway", peer->gateway } } );
            return;
        }
        if( const auto* update = std::get_if<gateway::EngineUpdate>( &*message ) ) {
            handleEngineUpdate( *peer, *update );
        } else if( auto* spec = std::get_if<gateway::SpecAnswer>( &*message ) ) {
            handleSpecAnswer( std::move( *spec ) );
        } else if( const auto* ensureRequest = std::get_if<gateway::EnsureRequest>( &*message ) ) {
            handleEnsureRequest( peer, *ensureRequest );
        } else if( const auto* demand = std::get_if<gateway::DemandUpdate>( &*message ) ) {
            handleDemandUpdate( *peer, *demand );
        } else if( const auto* relayRequest = std::get_if<gateway::RelayRequest>( &*message ) ) {
            handleRelayRequest( peer, *relayRequest );
        } else if( const auto* cancel = std::get_if<gateway::EnsureCancel>( &*message ) ) {
            forgetEnsure( ensureKey( *peer, cancel->number ) );
        } else if( !handlePoisonMessage( *message ) && !m_origins.handle( *peer, *message ) ) {
            m_sharedCounts.handle( *peer, *message );
        }
    }

    //! Handles a gateway's report about poison requests; returns false for any other message.
    bool handlePoisonMessage( const gateway::Message& message ) {
        const auto now = MonoClock::now();
        if( const auto* evidence = std::get_if<decide::PoisonEvidence>( &message ) ) {
            m_quarantines.countUpstreamEnds( *evidence, now );
            return true;
        }
        if( const auto* cleared = std::get_if<decide::PoisonCleared>( &message ) ) {
            m_quarantines.clear( *cleared, now );
            return true;
        }
        return false;
    }

    QuarantineKeeper::Broadcast quarantineBroadcast() {
        QuarantineKeeper::Broadcast out;
        out.quarantined = [this]( const decide::Quarantine& it ) {
            broadcast( gateway::Message( decide::QuarantineUpdate{ { it } } ) );
        };
        out.cleared = [this]( const decide::PoisonCleared& it ) {
            broadcast( gateway::Message( it ) );
        };
        return out;
    }

    void broadcast( const gateway::Message& message ) {
        const auto encoded = gateway::encode( message );
        for( const auto& it : m_peers ) {
            it->channel->send( encoded );
        }
    }

    //! Sends all quarantines to a gateway that has just connected: it may have started after they
    //! were broadcast.
    void sendQuarantines( Peer& peer ) {
        decide::QuarantineUpdate update{ m_quarantines.all( MonoClock::now() ) };
        if( !update.entries.empty() ) {
            peer.channel->send( gateway::encode( gateway::Message( std::move( update ) ) ) );
        }
    }

    void handleEngineUpdate( Peer& peer, const gateway::EngineUpdate& update ) {
        const bool first = peer.gateway.empty();
        if( first ) {
            log::info( "gateway_connected", { { "gateway", update.gateway } } );
            sendQuarantines( peer );
        }
        peer.gateway = update.gateway;
        peer.hall = update.hall;
        const bool olderStart = gateway::isOlderStart( update.born, m_view.report().born );
        if( update.upstreamId != m_upstreamId && !olderStart ) {
            m_upstreamId = update.upstreamId;
            m_orders.setEngine( update.upstreamId );
            handleEngineRestart();
        }
        if( update.configVersion >= m_configVersion ) {
            m_configVersion = update.configVersion;
            m_gapTarget = Millis( update.gapTargetMs );
            m_wantedSpec = update.spec;
            if( m_view.spec() ) {
                m_admission.setEngine( m_view.spec()->cacheTokens, m_gapTarget );
            }
        }
        peer.spec = update.spec;
        requestSpec( peer );
        m_publisher.sendReport( peer,
                                first ? m_sentParts.all() : std::vector<gateway::SentPart>{} );
    }

    //! Requests the engine's specification. One gateway is asked at a time, since all have the same
    //! one.
    void requestSpec( Peer& peer ) {
        const auto now = MonoClock::now();
        const bool alreadyRequested =
            m_requestedSpec == m_wantedSpec && now - m_specRequestedAt < specRetryDelay;
        if( peer.spec != m_wantedSpec || m_knownSpec == m_wantedSpec || alreadyRequested ) {
            return;
        }
        m_specRequestedAt = now;
        m_requestedSpec = m_wantedSpec;
        peer.channel->send(
            gateway::encode( gateway::Message( gateway::SpecRequest{ peer.spec } ) ) );
    }

    void handleSpecAnswer( gateway::SpecAnswer specAnswer ) {
        if( specAnswer.key != m_wantedSpec ) {
            log::info( "engine_spec_outdated",
                       { { "spec", static_cast<std::int64_t>( specAnswer.key ) },
                         { "wanted", static_cast<std::int64_t>( m_wantedSpec ) } } );
            return;
        }
        m_knownSpec = specAnswer.key;
        m_admission.setEngine( specAnswer.engine.cacheTokens, m_gapTarget );
        m_admission.setPartLink( m_settings.partFetch ? specAnswer.engine.partLink
                                                      : decide::PartLink{} );
        m_view.setSpec( std::move( specAnswer.engine ) );
        m_pollTimer.cancel();
    }

    //! Handles a restart of the engine, which has lost the prompts and cached parts sent before.
    void handleEngineRestart() {
        m_sentParts.clear();
        m_orders.forgetModelOrder();
        m_admission.failAll();
        m_publisher.requestFullReport();
    }

    void handleRelayRequest( const PeerPtr& peer, const gateway::RelayRequest& request ) {
        if( !request.wanted ) {
            m_relay.unsubscribe( peer.get() );
            return;
        }
        m_relay.subscribe( peer.get(), [channel = peer->channel]( std::string_view message ) {
            channel->send( message );
        } );
    }

    void handleDemandUpdate( Peer& peer, const gateway::DemandUpdate& update ) {
        requestSpec( peer );
        m_sentParts.add( update.sentParts );
        m_view.noteDemand( update, MonoClock::now() );
        peer.demand.clear();
        peer.readingShare = update.readingShare;
        peer.gatewayCount = update.gateways;
        peer.atCapacity = update.atCapacity;
        for( const auto& it : update.models ) {
            peer.demand.emplace( it.model, it );
        }
    }

    void handleEnsureRequest( const PeerPtr& peer, const gateway::EnsureRequest& request ) {
        PendingEnsure ensure;
        ensure.required = { request.model, request.adapter, request.fromStore };
        ensure.upstreamId = request.upstreamId;
        ensure.peer = peer;
        ensure.number = request.number;
        ensure.key = ensureKey( *peer, request.number );
        ensure.prompt = request.prompt;
        ensure.since = MonoClock::now();
        m_admission.noteCold( Millis( request.coldMs ), request.coldPerS, ensure.since );
        ensure.limit = std::min( Millis( request.limitMs ), maxEnsureWait );
        m_view.noteUse( ensure.required, ensure.since );
        if( m_view.spec() && m_reachable && m_view.isResident( ensure.required, ensure.since ) ) {
            m_admission.admit( std::move( ensure ) );
            return;
        }
        queueForLoad( std::move( ensure ) );
    }

    //! Records the shared prompt parts that the engine reads, to publish them to all gateways. The
    //! last part belongs to this request alone.
    void recordSharedParts( const PendingEnsure& ensure ) {
        std::vector<gateway::SentPart> parts;
        for( const auto& it : ensure.prompt.parts ) {
            parts.push_back( { it.key, it.tokens, ensure.required.model } );
        }
        if( !parts.empty() ) {
            parts.pop_back();
        }
        m_sentParts.add( parts );
    }

    Admission::Callbacks admissionCallbacks() {
        Admission::Callbacks out;
        out.isResident = [this]( const RequiredModel& required ) {
            return m_view.isResident( required, MonoClock::now() );
        };
        out.answer = [this]( const PendingEnsure& ensure, EnsureOutcome outcome, Millis wait,
                             double workMs ) {
            answer( ensure, outcome, wait, workMs );
        };
        out.notResident = [this]( PendingEnsure ensure ) {
            queueForLoad( std::move( ensure ) );
        };
        out.admitted = [this]( const PendingEnsure& ensure ) {
            m_view.noteUse( ensure.required, MonoClock::now() );
            recordSharedParts( ensure );
        };
        out.partsPlanned = [this]( const PendingEnsure& ensure, const ReadingPlan& plan ) {
            notePartsPlanned( ensure, plan );
        };
        out.fetchFailed = [this]( const decide::StartedFetch& fetch ) {
            m_metrics.count( "part_fetch_failures", "not_faster" );
            log::info( "part_fetch_failed", { { "source", fetch.source },
                                              { "transfer_ms", fetch.transfer.count() },
                                              { "expected_ms", fetch.expected.count() },
                                              { "read_all_ms", fetch.readAll.count() } } );
        };
        return out;
    }

    void notePartsPlanned( const PendingEnsure& ensure, const ReadingPlan& plan ) {
        const auto& prompt = ensure.prompt;
        m_metrics.count( "part_fetches", decide::nameOf( plan.decision ) );
        if( plan.fetches() ) {
            constexpr double bytesPerMib = 1 << 20;
            const auto tokens = static_cast<std::uint64_t>( plan.fetchTokens );
            const auto bytes = static_cast<double>( tokens ) * m_view.spec()->partLink.tokenBytes;
            m_metrics.count( "part_fetch_tokens", {}, tokens );
            m_metrics.count( "part_fetch_mib", {},
                             static_cast<std::uint64_t>( bytes / bytesPerMib ) );
        }
        log::info( "part_fetch",
                   { { "content", decide::fingerprintText( prompt.content ) },
                     { "route", prompt.route },
                     { "source", prompt.cachedAt },
                     { "decision", decide::nameOf( plan.decision ) },
                     { "tokens", plan.fetchTokens },
                     { "cached_there", prompt.cachedTokens },
                     { "ready_ms", prompt.cachedReadyMs },
                     { "transfer_ms", plan.transfer.count() },
                     { "work_ms", static_cast<std::int64_t>( plan.workMs ) },
                     { "read_all_ms", static_cast<std::int64_t>( plan.readAllMs ) } } );
    }

    Orders::Callbacks ordersCallbacks() {
        Orders::Callbacks out;
        out.answer = [this]( const PendingEnsure& ensure, EnsureOutcome outcome ) {
            answer( ensure, outcome, ensure.loadWait );
        };
        out.ready = [this]( PendingEnsure ensure ) {
            m_admission.admit( std::move( ensure ) );
        };
        out.changed = [this] {
            m_publisher.requestFullReport();
        };
        return out;
    }

    void queueForLoad( PendingEnsure ensure ) {
        m_orders.add( std::move( ensure ) );
        m_pollTimer.cancel();
    }

    void forgetEnsure( std::uint64_t key ) {
        m_orders.forget( key );
        m_admission.forget( key );
    }

    void forgetEnsures( const Peer& peer ) {
        m_orders.forgetPeer( peer );
        m_admission.forgetPeer( peer );
    }

    net::Task<> pollEngine() {
        int failures = 0;
        for( ;; ) {
            auto report = co_await m_engine.report();
            failures = report ? 0 : failures + 1;
            const bool answered = report.has_value();
            if( answered ) {
                takeReport( std::move( *report ) );
            }
            setReachable( answered, failures );
            // Prompts that waited for a load are queued before gateways hear that it is complete:
            // the engine would seem to be idle.
            std::optional<PlannedOrder> order;
            if( answered && m_view.spec() ) {
                order = m_orders.answerWaiting( MonoClock::now() );
            } else {
                m_orders.failOverdue();
            }
            m_publisher.publish( MonoClock::now() );
            if( order ) {
                PlannedOrder next = std::move( *order );
                co_await m_orders.sendOrder( std::move( next ) );
            }
            m_pollTimer.expires_after( pollInterval() );
            co_await m_pollTimer.async_wait( net::tupled );
        }
    }

    void takeReport( gateway::EngineReport report ) {
        const auto now = MonoClock::now();
        auto changes = m_view.applyReport( std::move( report ), now );
        for( const auto& it : changes.droppedModels ) {
            m_admission.dropModel( it );
        }
        if( changes.restarted ) {
            log::info( "engine_restarted", { { "born", m_view.report().born } } );
            handleEngineRestart();
        }
        if( changes.startedEmpty ) {
            m_orders.restoreModelsFromStore();
        } else if( !changes.lostModels.empty() ) {
            m_orders.restoreModels( std::move( changes.lostModels ) );
        }
        if( m_gapTarget.count() > 0 ) {
            m_pauses.update( m_view.report().runs, m_gapTarget, now );
        }
        m_admission.takeReport( m_view.report(), now );
    }

    Millis pollInterval() const {
        if( m_orders.waiting() ) {
            return loadPollInterval;
        }
        return m_admission.busy( MonoClock::now() ) ? readingPollInterval : idlePollInterval;
    }

    void setReachable( bool answered, int failures ) {
        const bool reachable = answered || ( m_reachable && failures < failedPollsToUnreachable );
        if( reachable != m_reachable ) {
            logReachability( reachable );
            m_reachable = reachable;
            m_publisher.setReachable( reachable );
            if( !reachable ) {
                m_admission.failAll();
            }
        }
    }

    //! Logs the change with the last report's runs, and whether an order was under way then.
    void logReachability( bool reachable ) const {
        const auto& last = m_view.report();
        log::info( reachable ? "engine_regained" : "engine_lost",
                   { { "running", static_cast<std::int64_t>( last.running ) },
                     { "queued", static_cast<std::int64_t>( last.queued ) },
                     { "runs", runsText( last.runs ) },
                     { "ordering", last.orderInProgress ? "yes" : "no" },
                     { "order_age_ms", m_orders.lastOrderAge( MonoClock::now() ) } } );
    }

    void answer( const PendingEnsure& ensure, EnsureOutcome outcome, Millis wait = Millis{ 0 },
                 double workMs = 0 ) {
        const auto peer = ensure.peer.lock();
        if( !peer ) {
            return;
        }
        if( ensure.neededLoad ) {
            m_publisher.sendReport( *peer, {} );
        }
        const auto now = MonoClock::now();
        if( outcome == EnsureOutcome::ready ) {
            m_view.noteAdmitted( ensure.required.model, workMs, now );
        }
        m_metrics.count( "wants", gateway::nameOf( outcome ) );
        m_promptCounts.note( ensure.prompt, outcome, ensure.refusal );
        countReturn( ensure );
        gateway::EnsureAnswer out{ ensure.number, outcome, wait.count(), workMs,
                                   m_view.workPerS( ensure.required.model, now ) };
        out.refusal = ensure.refusal;
        out.fetchParts = outcome == EnsureOutcome::ready && ensure.fetchParts;
        out.placeHeldMs = ensure.placeHeld.count();
        out.returnInMs = ensure.returnIn.count();
        out.born = m_view.report().born;
        const gateway::Message message( out );
        peer->channel->send( gateway::encode( message ) );
    }

    void countReturn( const PendingEnsure& ensure ) {
        if( ensure.placeHeld.count() > 0 ) {
            m_metrics.count( "return_places", "held" );
        }
        if( ensure.loadWait.count() > 0 ) {
            m_metrics.count( "refusals_foreseen", "load" );
        }
        if( ensure.returned == decide::ReturnVerdict::unknown ) {
            return;
        }
        const bool inTime = ensure.returned == decide::ReturnVerdict::inTime;
        m_metrics.count( "return_places", inTime ? "taken" : "early" );
        log::info( "place_return",
                   { { "fingerprint", decide::fingerprintText( ensure.prompt.content ) },
                     { "verdict", inTime ? "in_time" : "early" },
                     { "organisation", ensure.prompt.organisation },
                     { "route", ensure.prompt.route } } );
    }

    net::Task<> handleSignals() {
        for( ;; ) {
            const auto [ec, number] = co_await m_signals.async_wait( net::tupled );
            if( ec || number != SIGHUP ) {
                break;
            }
            log::info( "settings_unchanged", {} );
        }
        log::info( "leaving", {} );
        m_context.stop();
    }

    static constexpr Millis peerAckLimit{ 3000 };

    net::asio::io_context m_context{ 1 };
    platform::NodeSettings m_settings;
    metrics::Metrics m_metrics;
    EngineClient m_engine;
    RandomSource m_random;
    Relay m_relay;
    net::Timer m_pollTimer;
    std::set<PeerPtr> m_peers;
    EngineView m_view;
    Orders m_orders;
    PromptCounts m_promptCounts{ m_metrics };
    SharedCounts m_sharedCounts{ m_peers, m_metrics };
    OriginKeeper m_origins{ m_peers, m_metrics };
    Admission m_admission;
    SentParts m_sentParts;
    PauseMeter m_pauses;
    Publisher m_publisher;
    QuarantineKeeper m_quarantines;
    net::asio::signal_set m_signals;
    std::uint64_t m_lastConnectionNumber = 0;
    std::uint64_t m_configVersion = 0;
    gateway::EngineSpecKey m_wantedSpec = 0;    //!< specification named by the newest configuration
    gateway::EngineSpecKey m_knownSpec = 0;     //!< specification that this sidecar has
    gateway::EngineSpecKey m_requestedSpec = 0; //!< specification that was last requested
    MonoTime m_specRequestedAt;
    std::string m_upstreamId; //!< the engine's present start, as reported by gateways
    Millis m_gapTarget{ 0 };
    bool m_reachable = false;
};

} // namespace

int runSidecar( std::span<const std::string> arguments ) {
    return daemon::runPlatformRole( "sidecar", arguments,
                                    []( const platform::NodeSettings& settings ) {
                                        Sidecar sidecar( settings );
                                        return sidecar.run();
                                    } );
}

} // namespace coursehead::sidecar
