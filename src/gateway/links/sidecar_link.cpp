// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/sidecar_link.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

namespace {

constexpr Millis connectLimit{ 500 };
constexpr Millis firstRetryDelay{ 250 };
constexpr Millis maxRetryDelay{ 1000 };
//! Sidecars send a message every 500 ms; after three missed messages the connection counts as dead.
constexpr Millis silenceLimit{ 1500 };
//! Requests are not sent to a sidecar that has been silent for this long. A running sidecar sends a
//! report every 450 ms at the latest, and waiting for one that hangs would cost a client's request
//! half of its time.
constexpr Millis requestSilenceLimit{ 700 };
//! Interval at which a pending request checks whether the sidecar has fallen silent.
constexpr Millis silenceCheckInterval{ 200 };
//! The sidecar answers when a request's limit is over. Added to the limit, this covers the network
//! round trip and a late event loop at both ends.
constexpr Millis answerSlack{ 60 };
//! A working sidecar sends its first message within some milliseconds of the connect; one that has
//! sent nothing after this time counts as unreachable.
constexpr Millis firstMessageLimit{ 250 };
//! Largest number of messages queued while the link is connecting.
constexpr std::size_t maxQueuedMessages = 64;

} // namespace

SidecarLink::SidecarLink( net::asio::io_context& context, std::string ip, int port )
    : m_context( context ), m_ip( std::move( ip ) ), m_port( port ) {}

void SidecarLink::wakeOpeningWaits() {
    for( auto* it : m_openingTimers ) {
        it->cancel();
    }
}

void SidecarLink::setState( LinkState state ) {
    m_state = state;
    wakeOpeningWaits();
}

void SidecarLink::transmit( std::string_view kind, std::string_view encoded ) {
    m_traffic.countMessage( Direction::out, kind, encoded.size() );
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
    m_queuedMessages.clear();
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
        return !m_messageReceived && now - m_upAt < firstMessageLimit;
    }
    return m_state != LinkState::failing;
}

net::Task<bool> SidecarLink::waitUntilOpen( Millis limit ) {
    const auto self = shared_from_this();
    auto now = MonoClock::now();
    const auto until = now + limit;
    m_lastUse = now;
    open();
    net::Timer timer( m_context );
    while( !m_stopped && now < until && reachabilityUnknown( now ) ) {
        m_openingTimers.insert( &timer );
        timer.expires_at( std::min( until, now + firstMessageLimit ) );
        co_await timer.async_wait( net::tupled );
        now = MonoClock::now();
    }
    m_openingTimers.erase( &timer );
    co_return up() && m_messageReceived;
}

void SidecarLink::announceEngine( EngineUpdate update, EncodedSpecPtr spec ) {
    m_spec = std::move( spec );
    update.spec = m_spec ? m_spec->key : 0;
    const Message message( std::move( update ) );
    auto encoded = encode( message );
    if( encoded == m_engineUpdate ) {
        return;
    }
    m_engineUpdate = std::move( encoded );
    if( up() ) {
        transmit( "engine_news", m_engineUpdate );
    }
}

void SidecarLink::send( const DemandUpdate& demand ) {
    if( !up() ) {
        return;
    }
    if( MonoClock::now() - m_channel->lastReceivedAt() > silenceLimit ) {
        log::info( "sidecar_silent", { { "ip", m_ip } } );
        m_channel->close();
        return;
    }
    transmit( Message( demand ) );
}

void SidecarLink::send( const Message& message ) {
    m_lastUse = MonoClock::now();
    open();
    if( up() ) {
        transmit( message );
    } else if( m_state == LinkState::connecting && m_queuedMessages.size() < maxQueuedMessages ) {
        m_queuedMessages.push_back( message );
    }
}

void SidecarLink::requestRelay( bool wanted ) {
    m_relayWanted = wanted;
    if( up() ) {
        transmit( Message( RelayRequest{ wanted } ) );
    }
}

bool SidecarLink::isResponsive( MonoTime now ) const {
    return up() && now - m_channel->lastReceivedAt() <= requestSilenceLimit;
}

net::Task<std::optional<Message>>
SidecarLink::sendAndWait( std::uint64_t number, Message requestMessage, MonoTime until ) {
    const auto self = shared_from_this();
    const auto waiter = std::make_shared<Waiter>( m_context );
    m_waiters.emplace( number, waiter );
    m_lastUse = MonoClock::now();
    transmit( requestMessage );
    auto now = MonoClock::now();
    while( !waiter->ended && now < until && isResponsive( now ) ) {
        waiter->timer.expires_after( std::min( silenceCheckInterval, remaining( now, until ) ) );
        co_await waiter->timer.async_wait( net::tupled );
        now = MonoClock::now();
    }
    m_waiters.erase( number );
    co_return std::move( waiter->answer );
}

net::Task<EnsureAnswer> SidecarLink::ensure( EnsureRequest request ) {
    EnsureAnswer out;
    const auto until = MonoClock::now() + Millis( request.limitMs ) + answerSlack;
    const bool reached = co_await waitUntilOpen( Millis( request.limitMs ) );
    if( !reached ) {
        co_return out;
    }
    const auto number = m_nextNumber++;
    request.number = number;
    Message requestMessage( std::move( request ) );
    const auto answer = co_await sendAndWait( number, std::move( requestMessage ), until );
    if( !answer ) {
        cancel( number );
        out.number = number;
        co_return out;
    }
    co_return std::get<EnsureAnswer>( *answer );
}

template <typename Answer, typename Request>
net::Task<std::optional<Answer>> SidecarLink::requestAs( Request request, Millis limit ) {
    const auto until = MonoClock::now() + limit;
    const bool reached = co_await waitUntilOpen( limit );
    if( !reached ) {
        co_return std::nullopt;
    }
    const auto number = m_nextNumber++;
    request.number = number;
    Message requestMessage( std::move( request ) );
    const auto answer = co_await sendAndWait( number, std::move( requestMessage ), until );
    if( !answer ) {
        co_return std::nullopt;
    }
    co_return std::get<Answer>( *answer );
}

net::Task<std::optional<decide::QuotaAnswer>>
SidecarLink::requestQuota( decide::QuotaRequest request, Millis limit ) {
    return requestAs<decide::QuotaAnswer>( std::move( request ), limit );
}

net::Task<std::optional<decide::LimitAnswer>>
SidecarLink::requestLimitPermit( decide::LimitRequest request, Millis limit ) {
    return requestAs<decide::LimitAnswer>( std::move( request ), limit );
}

net::Task<std::optional<decide::OriginAnswer>>
SidecarLink::requestOrigin( decide::OriginRequest request, Millis limit ) {
    return requestAs<decide::OriginAnswer>( request, limit );
}

void SidecarLink::cancel( std::uint64_t number ) {
    // A lost connection has ended the request and its permit at the sidecar already.
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

void SidecarLink::completeWaiter( std::uint64_t number, Message answer ) {
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
    m_traffic.countMessage( Direction::in, kindOf( *message ), frame.size() );
    if( !m_messageReceived ) {
        m_messageReceived = true;
        wakeOpeningWaits();
    }
    const auto* report = std::get_if<SidecarReport>( &*message );
    if( report != nullptr && m_handlers.report ) {
        m_handlers.report( *report );
    }
    const auto* load = std::get_if<LoadReport>( &*message );
    if( load != nullptr && m_handlers.load ) {
        m_handlers.load( load->load );
    }
    const auto* storeUpdate = std::get_if<StoreUpdate>( &*message );
    if( storeUpdate != nullptr && m_handlers.storeUpdate ) {
        // The handler may replace this link's handlers while it runs, so a copy is called.
        const auto handler = m_handlers.storeUpdate;
        handler( *storeUpdate );
    }
    const auto* quarantines = std::get_if<decide::QuarantineUpdate>( &*message );
    if( quarantines != nullptr && m_handlers.quarantines ) {
        m_handlers.quarantines( *quarantines );
    }
    const auto* cleared = std::get_if<decide::PoisonCleared>( &*message );
    if( cleared != nullptr && m_handlers.cleared ) {
        m_handlers.cleared( *cleared );
    }
    const auto* limits = std::get_if<decide::LimitUpdate>( &*message );
    if( limits != nullptr && m_handlers.limits ) {
        m_handlers.limits( *limits );
    }
    const auto* origins = std::get_if<decide::OriginUpdate>( &*message );
    if( origins != nullptr && m_handlers.origins ) {
        m_handlers.origins( *origins );
    }
    const bool specRequested = std::holds_alternative<SpecRequest>( *message );
    if( specRequested && m_spec ) {
        transmit( "spec", m_spec->message );
    }
    if( const auto* answer = std::get_if<EnsureAnswer>( &*message ) ) {
        completeWaiter( answer->number, *message );
    }
    if( const auto* answer = std::get_if<decide::QuotaAnswer>( &*message ) ) {
        completeWaiter( answer->number, *message );
    }
    if( const auto* answer = std::get_if<decide::LimitAnswer>( &*message ) ) {
        completeWaiter( answer->number, *message );
    }
    if( const auto* answer = std::get_if<decide::OriginAnswer>( &*message ) ) {
        completeWaiter( answer->number, *message );
    }
}

net::Task<> SidecarLink::serveConnection( net::Socket socket ) {
    net::configureSocket( socket, silenceLimit );
    log::info( "sidecar_connected", { { "ip", m_ip } } );
    m_channel =
        std::make_shared<net::FrameChannel>( std::move( socket ), net::ChannelSide::client );
    m_messageReceived = false;
    m_upAt = MonoClock::now();
    setState( LinkState::up );
    if( !m_engineUpdate.empty() ) {
        transmit( "engine_news", m_engineUpdate );
    }
    if( m_handlers.connected ) {
        m_handlers.connected();
    }
    if( m_relayWanted ) {
        requestRelay( true );
    }
    for( const auto& it : std::exchange( m_queuedMessages, {} ) ) {
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
    const auto self = shared_from_this();
    Millis delay = firstRetryDelay;
    while( m_state != LinkState::closed ) {
        net::Socket socket( m_context );
        net::ErrorCode ec;
        const auto endpoint = net::endpointOf( m_ip, m_port, ec );
        ec = co_await net::connect( socket, endpoint, connectLimit );
        if( !ec && m_state != LinkState::closed ) {
            delay = firstRetryDelay;
            co_await serveConnection( std::move( socket ) );
            log::info( m_state == LinkState::up ? "sidecar_lost" : "sidecar_left",
                       { { "ip", m_ip } } );
        }
        // The link was closed and opened again meanwhile: reconnect at once, without a delay.
        const bool reopened = !ec && m_state == LinkState::connecting;
        if( m_state != LinkState::closed && !reopened ) {
            setState( LinkState::failing );
            m_queuedMessages.clear();
            co_await net::pause( m_context, delay );
            delay = std::min( delay * 2, maxRetryDelay );
        }
    }
    m_running = false;
}

} // namespace coursehead::gateway
