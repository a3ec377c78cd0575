// SPDX-License-Identifier: BSL-1.0
#include "sidecar/sidecar.hpp"

#include "coursehead/kernel/log.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "decide/quota_holder.hpp"
#include "decide/recall.hpp"
#include "gateway/messages.hpp"
#include "gateway/probe_server.hpp"
#include "gateway/store_objects.hpp"
#include "kernel/platform_role.hpp"
#include "net/frame_channel.hpp"
#include "platform/store_client.hpp"
#include "sidecar/admission.hpp"
#include "sidecar/engine_client.hpp"
#include "sidecar/pause_meter.hpp"
#include "sidecar/question.hpp"
#include "sidecar/relay.hpp"
#include "sidecar/report_news.hpp"
#include "sidecar/residency.hpp"
#include "sidecar/sent_parts.hpp"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <list>
#include <set>

namespace coursehead::sidecar {

namespace {

using gateway::EnsureOutcome;

//! Pause between reports while nothing is wanted.
constexpr Millis idlePoll{ 150 };
//! While prompts are read: the gate follows what the engine has read of them.
constexpr Millis readingPoll{ 40 };
//! While a want waits: adapters load within some ten milliseconds, models within seconds.
constexpr Millis wantPoll{ 12 };
//! Reports are repeated at the latest after this, so that gateways know the sidecar lives.
constexpr Millis reportEvery{ 450 };
//! A want that can't be met within this is answered as failed; its request goes elsewhere.
constexpr Millis wantLimit{ 9000 };
//! A want without room is answered after this, so that the request can go elsewhere.
constexpr Millis roomLimit{ 400 };
//! An adapter loads within some ten milliseconds; where it takes longer another engine is asked.
constexpr Millis adapterLimit{ 500 };
//! Failed reports in a row after which the engine counts as unreachable.
constexpr int failuresToLost = 2;
//! Earlier starts of the engine that are remembered.
constexpr std::size_t maxFormer = 4;
constexpr Millis storeLimit{ 1000 };
constexpr Millis storeRetry{ 300 };
//! A kind of the project's own without objects: listing it reads the store's revision.
constexpr std::string_view fenceKind = "fences";

//! Gateways for which the pause between reports grows by another poll.
constexpr int gatewaysPerPause = 8;
class Sidecar {
public:
    explicit Sidecar( platform::NodeSettings settings )
        : m_settings( std::move( settings ) ), m_engine( m_context, m_settings.engine ),
          m_random( systemSeed() ), m_relay( m_context, m_settings, m_random ), m_wake( m_context ),
          m_admission( m_context, admissionHost() ),
          m_signals( m_context, SIGTERM, SIGINT, SIGHUP ) {}

    int run() {
        m_quota.setRule( platform::quotaRule( m_settings.bounds ) );
        auto acceptor = net::listen( m_context, m_settings.ip, m_settings.firstPort );
        net::start( m_context, acceptPeers( std::move( acceptor ) ), "accept" );
        auto metrics = net::listen( m_context, m_settings.ip, m_settings.lastPort );
        gateway::ProbeHandler scraped = [this]( std::string_view path ) {
            return gateway::metricsAnswer( m_metrics, path );
        };
        net::start( m_context, gateway::serveProbes( std::move( metrics ), std::move( scraped ) ),
                    "metrics" );
        net::start( m_context, obtainFence(), "fence" );
        net::start( m_context, converge(), "converge" );
        net::start( m_context, handleSignals(), "signals" );
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
            net::tune( socket, peerSilence );
            auto task = servePeer( net::Socket( std::move( socket ) ) );
            net::start( m_context, std::move( task ), "peer" );
        }
    }

    net::Task<> servePeer( net::Socket socket ) {
        const auto peer = std::make_shared<Peer>();
        peer->serial = ++m_lastSerial;
        peer->channel =
            std::make_shared<net::FrameChannel>( std::move( socket ), net::ChannelSide::server );
        m_peers.insert( peer );
        net::FrameChannel::FrameHandler handler = [this, peer]( std::string_view frame ) {
            onFrame( peer, frame );
        };
        co_await peer->channel->run( std::move( handler ) );
        m_peers.erase( peer );
        m_relay.unsubscribe( peer.get() );
        forgetQuestions( *peer );
        log::info( "gateway_lost", { { "gateway", peer->gateway } } );
    }

    void onFrame( const PeerPtr& peer, std::string_view frame ) {
        auto message = gateway::decode( frame );
        if( !message ) {
            log::warn( "gateway_message_malformed", { { "gateway", peer->gateway } } );
            return;
        }
        if( auto* news = std::get_if<gateway::EngineNews>( &*message ) ) {
            takeNews( *peer, std::move( *news ) );
        } else if( const auto* ensure = std::get_if<gateway::EnsureRequest>( &*message ) ) {
            takeEnsure( peer, *ensure );
        } else if( const auto* demand = std::get_if<gateway::DemandNews>( &*message ) ) {
            takeDemand( *peer, *demand );
        } else if( const auto* ask = std::get_if<gateway::RelayAsk>( &*message ) ) {
            takeRelayAsk( peer, *ask );
        } else if( const auto* cancel = std::get_if<gateway::EnsureCancel>( &*message ) ) {
            forgetQuestion( keyOf( *peer, cancel->number ) );
        } else {
            takeQuota( peer, *message );
        }
    }

    void takeQuota( const PeerPtr& peer, const gateway::Message& message ) {
        const auto now = std::chrono::steady_clock::now();
        if( const auto* news = std::get_if<decide::QuotaNews>( &message ) ) {
            m_quota.takeNews( *news, now );
        } else if( const auto* back = std::get_if<decide::QuotaReturn>( &message ) ) {
            m_quota.takeBack( *back, now );
        } else if( const auto* ask = std::get_if<decide::QuotaAsk>( &message ) ) {
            const auto answer = m_quota.ask( *ask, now );
            m_metrics.count( "quota_asks", answer.granted > 0 ? "granted" : "refused" );
            peer->channel->send( gateway::encode( gateway::Message( answer ) ) );
        }
    }

    void takeNews( Peer& peer, gateway::EngineNews news ) {
        const bool first = peer.gateway.empty();
        if( first ) {
            log::info( "gateway_connected", { { "gateway", news.gateway } } );
        }
        peer.gateway = news.gateway;
        if( news.upstreamId != m_upstreamId ) {
            // Another start of the engine: it keeps nothing of what was sent before.
            m_upstreamId = news.upstreamId;
            m_engineId = news.upstreamId;
            m_sentParts.clear();
            m_admission.failAll();
        }
        if( news.configVersion >= m_configVersion ) {
            m_configVersion = news.configVersion;
            m_spec = std::move( news.engine );
            m_gapTarget = Millis( news.gapTargetMs );
            m_admission.setEngine( m_spec->cacheTokens, m_gapTarget );
        }
        sendReport( peer, first ? m_sentParts.all() : std::vector<gateway::SentPart>{} );
    }

    void takeRelayAsk( const PeerPtr& peer, const gateway::RelayAsk& ask ) {
        if( !ask.wanted ) {
            m_relay.unsubscribe( peer.get() );
            return;
        }
        m_relay.subscribe( peer.get(), [channel = peer->channel]( std::string_view message ) {
            channel->send( message );
        } );
    }

    void takeDemand( Peer& peer, const gateway::DemandNews& news ) {
        const auto now = std::chrono::steady_clock::now();
        m_sentParts.add( news.sentParts );
        peer.demand.clear();
        peer.reading = news.reading;
        for( const auto& it : news.models ) {
            for( const auto& adapter : it.adaptersUsed ) {
                m_adapterUses[adapterKey( it.model, adapter )].lastUsed = now;
            }
            peer.demand.emplace( it.model, it );
        }
    }

    void takeEnsure( const PeerPtr& peer, const gateway::EnsureRequest& ensure ) {
        Question question;
        question.want = { ensure.model, ensure.adapter, ensure.fromStore };
        question.upstreamId = ensure.upstreamId;
        question.peer = peer;
        question.number = ensure.number;
        question.key = keyOf( *peer, ensure.number );
        question.prompt = ensure.prompt;
        question.since = std::chrono::steady_clock::now();
        question.limit = std::min( Millis( ensure.limitMs ), wantLimit );
        noteUse( question.want, question.since );
        if( m_spec && m_reachable && isThere( question.want ) ) {
            m_admission.admit( std::move( question ) );
            return;
        }
        waitForWant( std::move( question ) );
    }

    bool isThere( const Want& want ) const {
        const auto now = std::chrono::steady_clock::now();
        return nextStep( holdings(), want, now ).kind == StepKind::ready;
    }

    void noteUse( const Want& want, MonoTime now ) {
        if( !want.adapter.empty() ) {
            m_adapterUses[adapterKey( want.model, want.adapter )].lastUsed = now;
        }
    }

    //! Other gateways hear which shared parts the engine has read. The last part is the request's
    //! own.
    void noteParts( const Question& question ) {
        std::vector<gateway::SentPart> parts;
        for( const auto& it : question.prompt.parts ) {
            parts.push_back( { it.key, it.tokens, question.want.model } );
        }
        if( !parts.empty() ) {
            parts.pop_back();
        }
        m_sentParts.add( parts );
    }

    Admission::Host admissionHost() {
        Admission::Host out;
        out.isThere = [this]( const Want& want ) {
            return isThere( want );
        };
        out.answer = [this]( const Question& question, EnsureOutcome outcome, Millis wait,
                             double workMs ) {
            answer( question, outcome, wait, workMs );
        };
        out.missing = [this]( Question question ) {
            waitForWant( std::move( question ) );
        };
        out.given = [this]( const Question& question ) {
            noteUse( question.want, std::chrono::steady_clock::now() );
            noteParts( question );
        };
        return out;
    }

    void waitForWant( Question question ) {
        question.loaded = true;
        m_wants.push_back( std::move( question ) );
        m_wake.cancel();
    }

    void forgetQuestion( std::uint64_t key ) {
        m_wants.remove_if( [key]( const auto& it ) { return it.key == key; } );
        m_admission.forget( key );
    }

    void forgetQuestions( const Peer& peer ) {
        m_wants.remove_if(
            [&peer]( const Question& it ) { return it.key == keyOf( peer, it.number ); } );
        m_admission.forgetPeer( peer );
    }

    //! A number that only rises over this VM's lives, and that no other VM is given for an engine.
    net::Task<> obtainFence() {
        platform::StoreClient store( m_context, m_settings.store );
        for( ;; ) {
            const auto result = co_await store.list( fenceKind, storeLimit );
            if( result.status == platform::StoreStatus::ok ) {
                m_fence = result.listing.revision;
                log::info( "fence", { { "fence", static_cast<std::int64_t>( m_fence ) } } );
                co_return;
            }
            co_await net::pause( m_context, storeRetry );
        }
    }

    //! After a loss of power the store's list still names what engines held before; a copy that is
    //! seconds old shows it best.
    net::Task<> recallFromStore() {
        platform::StoreClient store( m_context, m_settings.store );
        const auto result = co_await store.list( platform::upstreamKind, storeLimit,
                                                 platform::ListAge::secondsOld );
        std::map<std::string, int> copies;
        std::set<std::string> mine;
        for( const auto& object : result.listing.objects ) {
            const auto upstream = gateway::upstreamOf( object );
            if( !upstream ) {
                continue;
            }
            const bool here =
                upstream->ip == m_settings.engine.ip && upstream->port == m_settings.engine.port;
            for( const auto& it : upstream->residents ) {
                ++copies[it.model];
                if( here ) {
                    mine.insert( it.model );
                }
            }
        }
        m_recall.everywhere = true;
        for( const auto& it : mine ) {
            m_recall.models.push_back( { it, copies[it] } );
        }
        log::info( "recall", { { "models", static_cast<std::int64_t>( mine.size() ) },
                               { "from", "store" } } );
    }

    //! Notices that the engine has started anew, and what it held before.
    void noteStart( const gateway::EngineReport& report ) {
        const bool first = !m_reported;
        m_reported = true;
        if( !report.residents.empty() ) {
            m_lastHeld.clear();
            for( const auto& it : report.residents ) {
                m_lastHeld.push_back( { it.model, useOfModel( it.model ).copies } );
            }
            return;
        }
        if( first ) {
            net::start( m_context, recallFromStore(), "recall" );
        } else if( !m_lastHeld.empty() ) {
            m_recall = { std::exchange( m_lastHeld, {} ), false };
            log::info( "recall",
                       { { "models", static_cast<std::int64_t>( m_recall.models.size() ) },
                         { "from", "memory" } } );
        }
    }

    net::Task<> converge() {
        int failures = 0;
        for( ;; ) {
            auto report = co_await m_engine.report();
            failures = report ? 0 : failures + 1;
            if( report ) {
                noteStart( *report );
                noteLoads( *report );
                notePauses( *report );
                m_admission.takeReport( *report, std::chrono::steady_clock::now() );
                m_report = std::move( *report );
                settleUnloads( m_unloads, m_report, std::chrono::steady_clock::now() );
            }
            setReachable( report.has_value(), failures );
            publish();
            if( report && m_spec ) {
                co_await serveWants();
            } else {
                dropOldWants();
            }
            m_wake.expires_after( pollPause() );
            co_await m_wake.async_wait( net::tupled );
        }
    }

    Millis pollPause() const {
        if( !m_wants.empty() ) {
            return wantPoll;
        }
        return m_admission.busy( std::chrono::steady_clock::now() ) ? readingPoll : idlePoll;
    }

    void setReachable( bool answered, int failures ) {
        const bool now = answered || ( m_reachable && failures < failuresToLost );
        if( now != m_reachable ) {
            log::info( now ? "engine_regained" : "engine_lost", {} );
            m_reachable = now;
            m_changed = true;
            if( !now ) {
                m_admission.failAll();
            }
        }
    }

    void noteLoads( const gateway::EngineReport& report ) {
        const auto now = std::chrono::steady_clock::now();
        std::set<std::string> held;
        for( const auto& it : report.residents ) {
            held.insert( it.model );
            if( !m_held.contains( it.model ) ) {
                m_loadedAt[it.model] = m_held.empty() ? MonoTime{} : now;
            }
        }
        for( const auto& it : m_held ) {
            if( !held.contains( it ) ) {
                m_admission.dropModel( it );
            }
        }
        m_held = std::move( held );
    }

    void notePauses( const gateway::EngineReport& report ) {
        if( m_gapTarget.count() > 0 ) {
            m_pauses.update( report.runs, m_gapTarget, std::chrono::steady_clock::now() );
        }
    }

    //! How much all gateways use a model here.
    Use useOfModel( const std::string& model ) const {
        Use out;
        for( const auto& peer : m_peers ) {
            const auto found = peer->demand.find( model );
            if( found != peer->demand.end() ) {
                out.perS += found->second.perS;
                out.copies = std::max( out.copies, found->second.copies );
                out.running += found->second.running;
            }
        }
        const auto loaded = m_loadedAt.find( model );
        out.loadedAt = loaded == m_loadedAt.end() ? MonoTime{} : loaded->second;
        return out;
    }

    Holdings holdings() const {
        Holdings out;
        out.engine = &*m_spec;
        out.report = &m_report;
        for( const auto& it : m_report.residents ) {
            out.models.emplace( it.model, useOfModel( it.model ) );
        }
        out.retiring = m_retiring;
        out.retiringSince = m_retiringSince;
        out.unloads = m_unloads;
        out.adapters = m_adapterUses;
        for( const auto& peer : m_peers ) {
            for( const auto& [model, demand] : peer->demand ) {
                for( const auto& adapter : demand.adaptersUsed ) {
                    ++out.adapters[adapterKey( model, adapter )].running;
                }
            }
        }
        return out;
    }

    //! Reading of a model's prompts that all gateways ask for, in milliseconds a second.
    double workPerS( const std::string& model ) const {
        double out = 0;
        for( const auto& peer : m_peers ) {
            const auto it = peer->demand.find( model );
            out += it == peer->demand.end() ? 0 : it->second.workPerS;
        }
        return out;
    }

    void answer( const Question& question, EnsureOutcome outcome, Millis wait = Millis{ 0 },
                 double workMs = 0 ) {
        const auto peer = question.peer.lock();
        if( !peer ) {
            return;
        }
        if( question.loaded ) {
            sendReport( *peer, {} );
        }
        m_metrics.count( "wants", gateway::nameOf( outcome ) );
        const gateway::Message message( gateway::EnsureAnswer{
            question.number, outcome, wait.count(), workMs, workPerS( question.want.model ) } );
        peer->channel->send( gateway::encode( message ) );
    }

    void dropOldWants() {
        const auto now = std::chrono::steady_clock::now();
        m_wants.remove_if( [&]( const Question& it ) {
            const bool old = now - it.since > roomLimit;
            if( old ) {
                answer( it, EnsureOutcome::failed );
            }
            return old;
        } );
    }

    //! The answer that a want gets now, if it gets one.
    static std::optional<EnsureOutcome> outcomeOf( StepKind step, Millis waited, Millis limit ) {
        switch( step ) {
        case StepKind::ready:
            return EnsureOutcome::ready;
        case StepKind::needStore:
            return EnsureOutcome::needStore;
        case StepKind::unknown:
            return EnsureOutcome::failed;
        case StepKind::leaving:
            return EnsureOutcome::noRoom;
        case StepKind::noRoom:
            return waited > roomLimit ? std::optional( EnsureOutcome::noRoom ) : std::nullopt;
        case StepKind::wait:
        case StepKind::load:
        case StepKind::unload:
        case StepKind::retire:
            break;
        }
        return waited > limit ? std::optional( EnsureOutcome::failed ) : std::nullopt;
    }

    static Millis limitOf( const Question& question, const Holdings& held ) {
        const bool adapterOnly = held.models.contains( question.want.model );
        return adapterOnly ? std::min( question.limit, adapterLimit ) : question.limit;
    }

    void settle( Question question, EnsureOutcome outcome ) {
        if( outcome == EnsureOutcome::ready ) {
            m_admission.admit( std::move( question ) );
        } else {
            answer( question, outcome );
        }
    }

    net::Task<> serveWants() {
        // An order moves the engine's state: one a round, then look again.
        std::optional<Step> order;
        std::string upstreamId;
        std::string retire;
        const auto now = std::chrono::steady_clock::now();
        const auto held = holdings();
        for( auto it = m_wants.begin(); it != m_wants.end(); ) {
            const auto step = nextStep( held, it->want, now );
            const auto waited = remaining( it->since, now );
            if( const auto outcome = outcomeOf( step.kind, waited, limitOf( *it, held ) ) ) {
                Question question = std::move( *it );
                it = m_wants.erase( it );
                settle( std::move( question ), *outcome );
                continue;
            }
            if( step.kind == StepKind::retire ) {
                retire = step.model;
            }
            const bool orders = step.kind == StepKind::load || step.kind == StepKind::unload;
            // Adapters first: they take milliseconds.
            if( orders && ( !order || ( order->adapter.empty() && !step.adapter.empty() ) ) ) {
                order = step;
                upstreamId = it->upstreamId;
            }
            ++it;
        }
        setRetiring( retire, now );
        if( !order && !m_report.ordering && m_fence != 0 ) {
            order = recallStep( held, now );
            upstreamId = m_engineId;
        }
        if( order && m_fence != 0 ) {
            const Step step = *order;
            co_await give( step, upstreamId );
        }
    }

    //! A load of what the engine held before it started anew; only into free room.
    std::optional<Step> recallStep( const Holdings& held, MonoTime now ) {
        const auto isNear = [this]( std::string_view model ) {
            const auto has = [model]( const std::vector<std::string>& names ) {
                return std::find( names.begin(), names.end(), model ) != names.end();
            };
            return has( m_report.inMemory ) || has( m_report.onDisk );
        };
        while( const auto model = decide::takeNext( m_recall, isNear, m_random.unit() ) ) {
            const auto step = nextStep( held, { *model, "", false }, now );
            if( step.kind == StepKind::load ) {
                return step;
            }
        }
        return std::nullopt;
    }

    //! The model that gateways are told is no longer here; empty: none.
    void setRetiring( const std::string& model, MonoTime now ) {
        if( model == m_retiring ) {
            return;
        }
        log::info( "retiring", { { "model", model }, { "before", m_retiring } } );
        m_retiring = model;
        m_retiringSince = now;
        m_changed = true;
    }

    net::Task<> give( Step step, std::string upstreamId ) {
        platform::Order order;
        order.kind =
            step.kind == StepKind::load ? platform::OrderKind::load : platform::OrderKind::unload;
        order.model = step.model;
        order.adapter = step.adapter;
        order.expectedSequence = m_report.sequence;
        order.holder = m_settings.vm;
        order.fence = m_fence;
        const auto given = co_await m_engine.give( order, upstreamId );
        const auto verdict = given.verdict;
        if( verdict == platform::OrderVerdict::moved ) {
            noteMoved( upstreamId, given.actualUpstream );
        }
        const bool mayBeTaken = verdict == platform::OrderVerdict::underWay ||
                                verdict == platform::OrderVerdict::holds ||
                                verdict == platform::OrderVerdict::unknown;
        if( step.kind == StepKind::unload && mayBeTaken ) {
            m_unloads.push_back( { step.model, step.adapter, std::chrono::steady_clock::now() } );
            m_changed = true;
        }
        m_metrics.count( "orders", platform::nameOf( verdict ) );
        log::info( "order", { { "kind", step.kind == StepKind::load ? "load" : "unload" },
                              { "model", step.model },
                              { "adapter", step.adapter },
                              { "upstream", upstreamId },
                              { "sequence", static_cast<std::int64_t>( m_report.sequence ) },
                              { "verdict", platform::nameOf( verdict ) } } );
    }

    //! The engine has restarted: what waits for its former start never comes.
    void noteMoved( const std::string& meant, const std::string& actual ) {
        log::info( "engine_restarted", { { "before", meant }, { "now", actual } } );
        if( !actual.empty() ) {
            m_engineId = actual;
        }
        m_former.push_back( meant );
        if( m_former.size() > maxFormer ) {
            m_former.erase( m_former.begin() );
        }
        m_changed = true;
        m_wants.remove_if( [&]( const Question& it ) {
            const bool stale = it.upstreamId == meant;
            if( stale ) {
                answer( it, EnsureOutcome::failed );
            }
            return stale;
        } );
    }

    //! Between reports: what all gateways together take stays the same as their number grows.
    Millis publishPause() const {
        const auto rounds = 1 + static_cast<int>( m_peers.size() ) / gatewaysPerPause;
        return std::min( idlePoll * rounds, reportEvery );
    }

    gateway::EngineLoad load() const {
        const auto now = std::chrono::steady_clock::now();
        gateway::EngineLoad out;
        out.ordering = m_report.ordering;
        out.queued = m_report.queued;
        out.running = m_report.running;
        out.prefilling = m_report.prefilling;
        out.adapterRoom = !m_spec || adapterRoom( holdings(), now );
        constexpr double percent = 100;
        double reading = 0;
        for( const auto& it : m_peers ) {
            reading += it->reading;
        }
        out.readingPercent = static_cast<int>( reading * percent );
        out.readingWaitMs = m_admission.usualWait( now ).count();
        out.latePausesPercent = static_cast<int>( m_pauses.lateShare( now ) * percent );
        return out;
    }

    gateway::SidecarReport report() const {
        gateway::SidecarReport out;
        out.reachable = m_reachable;
        out.gateways = static_cast<int>( m_peers.size() );
        out.formerUpstreams = m_former;
        out.residents = offered( m_report.residents, m_unloads, m_retiring );
        out.coming = m_report.coming;
        out.onDisk = m_report.onDisk;
        out.inMemory = m_report.inMemory;
        out.load = load();
        return out;
    }

    void sendReport( Peer& peer, std::vector<gateway::SentPart> sentParts ) {
        auto out = report();
        out.load.sentParts = std::move( sentParts );
        const gateway::Message message( std::move( out ) );
        peer.channel->send( gateway::encode( message ) );
    }

    void publish() {
        const auto now = std::chrono::steady_clock::now();
        const bool due = now - m_published >= reportEvery;
        const bool soon = now - m_published >= publishPause();
        const bool whole = m_changed || shapeDiffers( m_report, m_lastPublished ) ||
                           m_publishedTo != m_peers.size();
        const bool news = whole || loadDiffers( m_report, m_lastPublished );
        if( !due && !( soon && news ) ) {
            return;
        }
        m_changed = false;
        m_published = now;
        m_lastPublished = m_report;
        m_publishedTo = m_peers.size();
        const auto encoded = whole ? encodedReport() : encodedLoad();
        for( const auto& it : m_peers ) {
            it->channel->send( encoded );
        }
    }

    std::string encodedReport() {
        auto out = report();
        out.load.sentParts = m_sentParts.takeNew();
        return gateway::encode( gateway::Message( std::move( out ) ) );
    }

    std::string encodedLoad() {
        gateway::LoadReport out{ load() };
        out.load.sentParts = m_sentParts.takeNew();
        return gateway::encode( gateway::Message( std::move( out ) ) );
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

    static constexpr Millis peerSilence{ 3000 };

    net::asio::io_context m_context{ 1 };
    platform::NodeSettings m_settings;
    metrics::Metrics m_metrics;
    EngineClient m_engine;
    RandomSource m_random;
    Relay m_relay;
    net::Timer m_wake;
    decide::QuotaHolder m_quota;
    Admission m_admission;
    net::asio::signal_set m_signals;
    std::set<PeerPtr> m_peers;
    std::uint64_t m_lastSerial = 0;
    std::list<Question> m_wants; //!< for a model or adapter
    std::optional<gateway::EngineSpec> m_spec;
    std::uint64_t m_configVersion = 0;
    std::uint64_t m_fence = 0; //!< 0: none yet, no orders are given
    gateway::EngineReport m_report;
    gateway::EngineReport m_lastPublished;
    std::vector<std::string> m_former; //!< earlier starts of the engine, oldest first
    decide::Recall m_recall;
    std::vector<decide::FormerModel> m_lastHeld;
    std::string m_engineId;           //!< the engine's present start, as far as known
    bool m_reported = false;          //!< the engine has reported once
    std::vector<Unloading> m_unloads; //!< ordered, and not yet known to be done
    std::string m_retiring;           //!< model that is about to make way, or empty
    MonoTime m_retiringSince;
    std::string m_upstreamId; //!< the engine's present start, as gateways know it
    SentParts m_sentParts;
    PauseMeter m_pauses;
    Millis m_gapTarget{ 0 };
    bool m_reachable = false;
    bool m_changed = false;
    MonoTime m_published;
    std::size_t m_publishedTo = 0; //!< gateways
    std::set<std::string> m_held;
    std::map<std::string, MonoTime> m_loadedAt;
    std::map<std::string, Use, std::less<>> m_adapterUses;
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
