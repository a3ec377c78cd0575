// SPDX-License-Identifier: BSL-1.0
#include "gateway/sidecar_link.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

namespace {

constexpr Millis connectLimit{ 500 };
constexpr Millis retryPause{ 250 };
constexpr Millis lastRetryPause{ 1000 };
//! Sidecars speak every 500 ms; after three missed messages the connection is taken for dead.
constexpr Millis silence{ 1500 };
//! A sidecar that was not heard for this long is not asked: it speaks every 450 ms at the latest,
//! and a question to one that stands still would cost a request half of its time.
constexpr Millis askSilence{ 700 };
//! How often a wait looks whether the sidecar still speaks.
constexpr Millis silenceLook{ 200 };
//! The sidecar answers when a question's limit is over: the way there and back, and two late loops.
constexpr Millis answerDelay{ 60 };
//! A sidecar that is reached speaks within some milliseconds; one that says nothing for so long
//! can't be asked.
constexpr Millis firstWord{ 250 };
//! Messages kept until the connection is up.
constexpr std::size_t mostQueued = 64;

} // namespace

SidecarLink::SidecarLink( net::asio::io_context& context, std::string ip, int port )
    : m_context( context ), m_ip( std::move( ip ) ), m_port( port ) {}

void SidecarLink::wakeOpening() {
    for( auto* it : m_opening ) {
        it->cancel();
    }
}

void SidecarLink::setState( LinkState state ) {
    m_state = state;
    wakeOpening();
}

void SidecarLink::transmit( std::string_view kind, std::string_view encoded ) {
    m_traffic.note( Direction::out, kind, encoded.size() );
    m_channel->send( encoded );
}

void SidecarLink::transmit( const Message& message ) {
    transmit( kindOf( message ), encode( message ) );
}

void SidecarLink::open() {
    if( m_stopped || m_state != LinkState::closed ) {
        return;
    }
    setState( LinkState::connecting );
    if( !m_running ) {
        m_running = true;
        auto task = keepConnected();
        net::start( m_context, std::move( task ), "sidecar link" );
    }
}

void SidecarLink::close() {
    setState( LinkState::closed );
    m_queued.clear();
    if( m_channel ) {
        m_channel->close();
    }
    failWaiters();
}

void SidecarLink::stop() {
    m_stopped = true;
    m_handlers = {};
    close();
}

bool SidecarLink::mayBeResponsive( MonoTime now ) const {
    return up() ? isResponsive( now ) : m_state != LinkState::failing;
}

bool SidecarLink::reachabilityUnknown( MonoTime now ) const {
    if( up() ) {
        return !m_heard && now - m_upAt < firstWord;
    }
    return m_state != LinkState::failing;
}

net::Task<bool> SidecarLink::waitUntilOpen( Millis limit ) {
    const auto me = shared_from_this();
    auto now = MonoClock::now();
    const auto until = now + limit;
    m_usedAt = now;
    open();
    net::Timer timer( m_context );
    while( !m_stopped && now < until && reachabilityUnknown( now ) ) {
        m_opening.insert( &timer );
        timer.expires_at( std::min( until, now + firstWord ) );
        co_await timer.async_wait( net::tupled );
        now = MonoClock::now();
    }
    m_opening.erase( &timer );
    co_return up() && m_heard;
}

void SidecarLink::announceEngine( EngineUpdate news, EncodedSpecPtr spec ) {
    m_spec = std::move( spec );
    news.spec = m_spec ? m_spec->key : 0;
    const Message message( std::move( news ) );
    auto encoded = encode( message );
    if( encoded == m_news ) {
        return;
    }
    m_news = std::move( encoded );
    if( up() ) {
        transmit( "engine_news", m_news );
    }
}

void SidecarLink::send( const DemandUpdate& demand ) {
    if( !up() ) {
        return;
    }
    if( MonoClock::now() - m_channel->lastReceivedAt() > silence ) {
        log::info( "sidecar_silent", { { "ip", m_ip } } );
        m_channel->close();
        return;
    }
    transmit( Message( demand ) );
}

void SidecarLink::send( const Message& message ) {
    m_usedAt = MonoClock::now();
    open();
    if( up() ) {
        transmit( message );
    } else if( m_state == LinkState::connecting && m_queued.size() < mostQueued ) {
        m_queued.push_back( message );
    }
}

void SidecarLink::requestRelay( bool wanted ) {
    m_relayWanted = wanted;
    if( up() ) {
        transmit( Message( RelayRequest{ wanted } ) );
    }
}

bool SidecarLink::isResponsive( MonoTime now ) const {
    return up() && now - m_channel->lastReceivedAt() <= askSilence;
}

net::Task<std::optional<Message>> SidecarLink::askFor( std::uint64_t number, Message question,
                                                       MonoTime until ) {
    const auto me = shared_from_this();
    const auto waiter = std::make_shared<Waiter>( m_context );
    m_waiters.emplace( number, waiter );
    m_usedAt = MonoClock::now();
    transmit( question );
    auto now = MonoClock::now();
    while( !waiter->ended && now < until && isResponsive( now ) ) {
        waiter->timer.expires_after( std::min( silenceLook, remaining( now, until ) ) );
        co_await waiter->timer.async_wait( net::tupled );
        now = MonoClock::now();
    }
    m_waiters.erase( number );
    co_return std::move( waiter->answer );
}

net::Task<EnsureAnswer> SidecarLink::ensure( EnsureRequest request ) {
    EnsureAnswer out;
    const auto until = MonoClock::now() + Millis( request.limitMs ) + answerDelay;
    const bool reached = co_await waitUntilOpen( Millis( request.limitMs ) );
    if( !reached ) {
        co_return out;
    }
    const auto number = m_nextNumber++;
    request.number = number;
    Message question( std::move( request ) );
    const auto answer = co_await askFor( number, std::move( question ), until );
    if( !answer ) {
        cancel( number );
        out.number = number;
        co_return out;
    }
    co_return std::get<EnsureAnswer>( *answer );
}

template <typename Answer, typename Ask>
net::Task<std::optional<Answer>> SidecarLink::askAs( Ask ask, Millis limit ) {
    const auto until = MonoClock::now() + limit;
    const bool reached = co_await waitUntilOpen( limit );
    if( !reached ) {
        co_return std::nullopt;
    }
    const auto number = m_nextNumber++;
    ask.number = number;
    Message question( std::move( ask ) );
    const auto answer = co_await askFor( number, std::move( question ), until );
    if( !answer ) {
        co_return std::nullopt;
    }
    co_return std::get<Answer>( *answer );
}

net::Task<std::optional<decide::QuotaAnswer>> SidecarLink::requestQuota( decide::QuotaRequest ask,
                                                                         Millis limit ) {
    return askAs<decide::QuotaAnswer>( std::move( ask ), limit );
}

net::Task<std::optional<decide::LimitAnswer>>
SidecarLink::requestLimitPermit( decide::LimitRequest ask, Millis limit ) {
    return askAs<decide::LimitAnswer>( std::move( ask ), limit );
}

void SidecarLink::cancel( std::uint64_t number ) {
    // What it would end has ended with the connection.
    if( up() ) {
        transmit( Message( EnsureCancel{ number } ) );
    }
}

void SidecarLink::failWaiters() {
    for( auto& it : m_waiters ) {
        it.second->ended = true;
        it.second->timer.cancel();
    }
}

void SidecarLink::takeAnswer( std::uint64_t number, Message answer ) {
    const auto it = m_waiters.find( number );
    if( it != m_waiters.end() ) {
        it->second->answer = std::move( answer );
        it->second->ended = true;
        it->second->timer.cancel();
    }
}

void SidecarLink::onFrame( std::string_view frame ) {
    const auto message = decode( frame );
    if( !message ) {
        log::warn( "sidecar_message_malformed", { { "ip", m_ip } } );
        return;
    }
    m_traffic.note( Direction::in, kindOf( *message ), frame.size() );
    if( !m_heard ) {
        m_heard = true;
        wakeOpening();
    }
    const auto* report = std::get_if<SidecarReport>( &*message );
    if( report != nullptr && m_handlers.report ) {
        m_handlers.report( *report );
    }
    const auto* load = std::get_if<LoadReport>( &*message );
    if( load != nullptr && m_handlers.load ) {
        m_handlers.load( load->load );
    }
    const auto* news = std::get_if<StoreUpdate>( &*message );
    if( news != nullptr && m_handlers.news ) {
        // What it tells may give this link other handlers while this one runs.
        const auto handler = m_handlers.news;
        handler( *news );
    }
    const auto* quarantines = std::get_if<decide::QuarantineUpdate>( &*message );
    if( quarantines != nullptr && m_handlers.quarantines ) {
        m_handlers.quarantines( *quarantines );
    }
    const auto* limits = std::get_if<decide::LimitUpdate>( &*message );
    if( limits != nullptr && m_handlers.limits ) {
        m_handlers.limits( *limits );
    }
    const bool asksSpec = std::holds_alternative<SpecRequest>( *message );
    if( asksSpec && m_spec ) {
        transmit( "spec", m_spec->message );
    }
    if( const auto* answer = std::get_if<EnsureAnswer>( &*message ) ) {
        takeAnswer( answer->number, *message );
    }
    if( const auto* answer = std::get_if<decide::QuotaAnswer>( &*message ) ) {
        takeAnswer( answer->number, *message );
    }
    if( const auto* answer = std::get_if<decide::LimitAnswer>( &*message ) ) {
        takeAnswer( answer->number, *message );
    }
}

net::Task<> SidecarLink::serveConnection( net::Socket socket ) {
    net::configureSocket( socket, silence );
    log::info( "sidecar_connected", { { "ip", m_ip } } );
    m_channel =
        std::make_shared<net::FrameChannel>( std::move( socket ), net::ChannelSide::client );
    m_heard = false;
    m_upAt = MonoClock::now();
    setState( LinkState::up );
    if( !m_news.empty() ) {
        transmit( "engine_news", m_news );
    }
    if( m_handlers.connected ) {
        m_handlers.connected();
    }
    if( m_relayWanted ) {
        requestRelay( true );
    }
    for( const auto& it : std::exchange( m_queued, {} ) ) {
        transmit( it );
    }
    net::FrameChannel::FrameHandler handler = [this]( std::string_view frame ) {
        onFrame( frame );
    };
    co_await m_channel->run( std::move( handler ) );
    m_channel.reset();
    failWaiters();
}

net::Task<> SidecarLink::keepConnected() {
    const auto me = shared_from_this();
    Millis delay = retryPause;
    while( m_state != LinkState::closed ) {
        net::Socket socket( m_context );
        net::ErrorCode ec;
        const auto to = net::endpointOf( m_ip, m_port, ec );
        ec = co_await net::connect( socket, to, connectLimit );
        if( !ec && m_state != LinkState::closed ) {
            delay = retryPause;
            co_await serveConnection( std::move( socket ) );
            log::info( m_state == LinkState::up ? "sidecar_lost" : "sidecar_left",
                       { { "ip", m_ip } } );
        }
        // Closed meanwhile, and opened again: that is another start.
        const bool anew = !ec && m_state == LinkState::connecting;
        if( m_state != LinkState::closed && !anew ) {
            setState( LinkState::failing );
            m_queued.clear();
            co_await net::pause( m_context, delay );
            delay = std::min( delay * 2, lastRetryPause );
        }
    }
    m_running = false;
}

} // namespace coursehead::gateway
