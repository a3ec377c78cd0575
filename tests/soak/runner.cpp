// SPDX-License-Identifier: BSL-1.0
#include "soak/runner.hpp"

#include "kernel/hash.hpp"
#include "soak/stream_events.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace coursehead::soak {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr Millis heartbeatInterval{ 400 };
constexpr int heartbeatsToExpiry = 3;
//! Time that a leaving upstream keeps serving after the drain time, so that requests that gateways
//! wrongly send to it are seen.
constexpr Millis extraServingTime{ 1500 };
//! Requests that arrive at most this long after the drain time may have been in flight when it
//! ended.
constexpr Millis drainTolerance{ 300 };
constexpr Millis leaseTime{ 3000 };
constexpr int slowFactor = 5;
constexpr int maxPlainMs = 40;
constexpr int maxEventIntervalMs = 40;
constexpr int maxPrefillMs = 60;
constexpr Millis unresponsiveTime{ 20000 };
//! Delay before an upstream that a request has crashed starts again.
constexpr Millis restartDelay{ 1200 };
constexpr double msPerSecond = 1000;
//! Requests that arrive at most this long after the upstream has asked for a back-off may have been
//! in flight.
constexpr Millis inFlightTolerance{ 500 };

std::string field( const http::fields& fields, const char* name ) {
    const auto it = fields.find( name );
    return it == fields.end() ? "" : std::string( it->value() );
}

std::string httpResponse( int status, const std::string& extra, const std::string& body ) {
    return "HTTP/1.1 " + std::to_string( status ) + " X\r\n" + extra +
           "Content-Length: " + std::to_string( body.size() ) + "\r\n\r\n" + body;
}

constexpr std::string_view requestIdName = "X-Request-Id: ";

std::string idField( const std::string& id ) {
    return std::string( requestIdName ) + id + "\r\n";
}

std::string chunk( const std::string& bytes ) {
    char size[24]; // NOLINT(*-avoid-c-arrays)
    std::snprintf( size, sizeof size, "%zx\r\n", bytes.size() );
    return size + bytes + "\r\n";
}

} // namespace

Runner::Runner( net::asio::io_context& context, support::ObjectStore& store, Record& record,
                RandomSource& random, RunnerSettings settings )
    : m_context( context ), m_store( store ), m_record( record ), m_random( random ),
      m_settings( std::move( settings ) ), m_surplusRandom( hash64( m_settings.ip, "surplus" ) ) {}

std::string Runner::bodyFor( const std::string& id ) {
    std::string out = "answer to " + id + ":";
    const auto length = 100 + hash64( id ) % 3000;
    while( out.size() < length ) {
        out += " " + id;
    }
    return out;
}

std::string Runner::sealFor( const std::string& id, const std::string& body ) {
    return std::to_string( hash64( id, body ) );
}

int Runner::eventsFor( const std::string& stream ) {
    constexpr std::uint64_t least = 3;
    constexpr std::uint64_t span = 25;
    return static_cast<int>( least + hash64( stream, "events" ) % span );
}

Millis Runner::workTime( int most ) {
    const auto ms = static_cast<int>( m_random.below( static_cast<std::uint64_t>( most ) ) ) + 1;
    return Millis( m_mode == RunnerMode::slow ? ms * slowFactor : ms );
}

// --- start and end

void Runner::start() {
    const auto number = hash64( m_settings.ip, std::to_string( ++m_starts ) ) % 1000000000;
    startAs( "i-" + std::to_string( number ), Millis{ 0 } );
}

void Runner::restartUnderSameId( std::string version, Millis downtime, Millis entryDelay ) {
    const auto instance = std::move( m_instance );
    m_instance.reset();
    close( *instance );
    m_settings.version = std::move( version );
    // The deployment does not start another instance meanwhile.
    m_restartAllowedAt = MonoClock::now() + 2 * downtime;
    net::start( m_context, startLater( instance->id, downtime, entryDelay ), "restart" );
}

net::Task<> Runner::startLater( std::string id, Millis downtime, Millis entryDelay ) {
    co_await net::pause( m_context, downtime );
    startAs( std::move( id ), entryDelay );
}

void Runner::startAs( std::string id, Millis entryDelay ) {
    m_instance = std::make_shared<Instance>();
    m_instance->id = std::move( id );
    m_instance->born = systemClock().wall();
    if( m_settings.engine ) {
        m_instance->models["m0"] = {};
        m_instance->models["m" + std::to_string( 1 + m_random.below( modelCount - 1 ) )] = {};
    }
    m_acceptor =
        std::make_shared<net::Acceptor>( net::listen( m_context, m_settings.ip, m_settings.port ) );
    net::start( m_context, accept( m_instance, m_acceptor ), "runner" );
    net::start( m_context, sendHeartbeats( m_instance, entryDelay ), "heartbeat" );
}

void Runner::close( Instance& instance ) {
    instance.over = true;
    net::ErrorCode ec;
    m_acceptor->close( ec );
    for( const auto& it : instance.sockets ) {
        it->close( ec );
    }
    instance.sockets.clear();
}

void Runner::crash() {
    if( !m_instance ) {
        return;
    }
    const auto instance = std::move( m_instance );
    m_instance.reset();
    close( *instance );
    net::start( m_context, end( instance, Millis{ 0 }, heartbeatInterval * heartbeatsToExpiry ),
                "lapse" );
}

void Runner::leave() {
    if( !m_instance || m_instance->leavingSince ) {
        return;
    }
    m_instance->leavingSince = MonoClock::now();
    writeEntry( *m_instance );
    net::start( m_context, end( m_instance, m_settings.drain + extraServingTime, Millis{ 0 } ),
                "leave" );
}

net::Task<> Runner::end( InstancePtr instance, Millis after, Millis entryExpiry ) {
    co_await net::pause( m_context, after );
    if( m_instance == instance ) {
        m_instance.reset();
        close( *instance );
    }
    co_await net::pause( m_context, entryExpiry );
    m_store.remove( "servers", instance->id );
}

void Runner::writeEntry( const Instance& instance ) {
    Json models = Json::array();
    for( const auto& [name, adapters] : instance.models ) {
        models.push_back( { { "name", name }, { "version", 1 }, { "adapters", adapters } } );
    }
    const auto address = m_settings.advertisedIp + ":" + std::to_string( m_settings.port );
    m_store.put( "servers", instance.id,
                 { { "service", m_settings.service },
                   { "address", address },
                   { "zone", m_settings.hall },
                   { "version", m_settings.version },
                   { "born", instance.born },
                   { "slots", engineSlots },
                   { "state", instance.leavingSince ? "draining" : "ready" },
                   { "coldMs", 0 },
                   { "sequence", instance.sequence },
                   { "models", models } } );
}

net::Task<> Runner::sendHeartbeats( InstancePtr instance, Millis delay ) {
    if( delay.count() > 0 ) {
        co_await net::pause( m_context, delay );
    }
    while( !instance->over ) {
        writeEntry( *instance );
        co_await net::pause( m_context, heartbeatInterval );
    }
}

net::Task<> Runner::accept( InstancePtr instance, std::shared_ptr<net::Acceptor> acceptor ) {
    for( ;; ) {
        auto [ec, accepted] = co_await acceptor->async_accept( net::tupled );
        if( ec || instance->over ) {
            co_return;
        }
        const auto socket = std::make_shared<net::Socket>( std::move( accepted ) );
        instance->sockets.insert( socket );
        net::start( m_context, serve( instance, socket ), "runner connection" );
    }
}

net::Task<> Runner::serve( InstancePtr instance, std::shared_ptr<net::Socket> socket ) {
    boost::beast::flat_buffer buf;
    bool more = true;
    while( more && !instance->over ) {
        Request request;
        const auto [ec, n] = co_await http::async_read( *socket, buf, request, net::tupled );
        if( ec || instance->over ) {
            break;
        }
        if( auto surplus = m_surplusCopies.extract( socket.get() ) ) {
            m_record.count( std::string( surplusAnswers ) );
            auto bytes = std::move( surplus.mapped() );
            co_await send( socket, std::move( bytes ) );
        }
        auto moved = std::move( request );
        more = co_await answer( instance, socket, std::move( moved ) );
    }
    m_surplusCopies.erase( socket.get() );
    net::ErrorCode ec;
    socket->close( ec );
    instance->sockets.erase( socket );
}

net::Task<bool> Runner::send( std::shared_ptr<net::Socket> socket, std::string bytes ) {
    const auto buf = net::asio::buffer( bytes );
    const auto [ec, n] = co_await net::asio::async_write( *socket, buf, net::tupled );
    co_return !ec;
}

net::Task<bool> Runner::sendAnswer( std::shared_ptr<net::Socket> socket, std::string bytes ) {
    if( m_surplus.share > 0 && m_surplusRandom.unit() < m_surplus.share ) {
        m_surplusCopies[socket.get()] = surplusCopy( bytes );
    }
    co_return co_await send( socket, std::move( bytes ) );
}

std::string Runner::surplusCopy( std::string bytes ) {
    if( !m_surplus.named ) {
        const auto begin = bytes.find( requestIdName );
        bytes.erase( begin, bytes.find( "\r\n", begin ) + 2 - begin );
    }
    if( !m_surplus.whole ) {
        bytes.resize( 1 + m_surplusRandom.below( bytes.size() - 1 ) );
    }
    return bytes;
}

// --- requests

net::Task<bool> Runner::answer( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                                Request request ) {
    const std::string target( request.target() );
    if( target == "/report" ) {
        auto bytes = httpResponse( 200, "", report( *instance ) );
        co_return co_await send( socket, std::move( bytes ) );
    }
    const auto expected = field( request, "X-Expect-Instance" );
    const auto id = field( request, "X-Request-Id" );
    m_record.arrived( id );
    if( !expected.empty() && expected != instance->id ) {
        auto bytes =
            httpResponse( 421, idField( id ) + "X-Instance-Id: " + instance->id + "\r\n", "" );
        co_return co_await send( socket, std::move( bytes ) );
    }
    if( target == "/order" ) {
        auto bytes = receiveOrder( *instance, request );
        if( bytes.starts_with( "HTTP/1.1 202" ) ) {
            net::start( m_context, executeOrder( instance, Json::parse( request.body() ) ),
                        "order" );
        }
        co_return co_await send( socket, std::move( bytes ) );
    }
    auto moved = std::move( request );
    co_return co_await run( instance, socket, std::move( moved ) );
}

void Runner::turnAway( int requests, Millis backoff ) {
    m_requestsToRefuse = requests;
    m_backoff = backoff;
}

void Runner::countIgnoredAnnouncements( Instance& instance ) {
    const auto now = MonoClock::now();
    if( instance.announcedLeavingAt &&
        now - *instance.announcedLeavingAt > m_settings.drain + drainTolerance ) {
        m_record.count( std::string( cameAfterLeaving ) );
    }
    for( auto& it : instance.backoffs ) {
        if( now > it.since + inFlightTolerance && now < it.since + it.length ) {
            m_record.noteBackoffArrivals( ++it.arrived );
        }
    }
}

std::string Runner::refusal( Instance& instance, const std::string& id ) {
    std::string fields = idField( id ) + announcementFields( instance ) + "X-Not-Run: 1\r\n";
    if( m_requestsToRefuse > 0 ) {
        --m_requestsToRefuse;
        const auto seconds = static_cast<double>( m_backoff.count() ) / msPerSecond;
        fields += "Retry-After: " + std::to_string( seconds ) + "\r\n";
        instance.backoffs.push_back( { MonoClock::now(), m_backoff } );
        m_record.count( std::string( askedForBackoff ) );
    }
    return httpResponse( 503, fields, "" );
}

std::string Runner::announcementFields( Instance& instance ) {
    const auto perS = m_limit.perS();
    const auto limit = perS ? "Server-Limit: " + std::to_string( *perS ) + "\r\n" : "";
    return leavingField( instance ) + limit;
}

std::string Runner::leavingField( Instance& instance ) {
    if( !instance.leavingSince ) {
        return "";
    }
    if( !instance.announcedLeavingAt ) {
        instance.announcedLeavingAt = MonoClock::now();
        m_record.count( std::string( saidItLeaves ) );
    }
    return "Server-Leaving: 1\r\n";
}

//! Counts an instruction to fetch cached parts, which must name another engine.
void Runner::countFetch( const Request& request ) {
    const auto source = field( request, "Kv-Fetch" );
    if( source.empty() ) {
        return;
    }
    m_record.count( std::string( toldToFetch ) );
    const auto own = m_settings.advertisedIp + ":" + std::to_string( m_settings.port );
    if( source == own || !m_settings.engine ) {
        m_record.breach( "parts are fetched from another engine", source + " is told to " + own );
    }
}

void Runner::noteArrival( Instance& instance, const std::string& id ) {
    countIgnoredAnnouncements( instance );
    const auto now = MonoClock::now();
    const int excess = m_limit.countRequest( now );
    if( excess > 0 && m_record.undisturbedSince( now - support::limitWindow ) ) {
        m_record.breach( "a limit is kept by all gateways together",
                         instance.id + " gets " + std::to_string( excess ) + " requests too many" );
    }
    if( !instance.leavingSince ) {
        return;
    }
    const auto since = *instance.leavingSince;
    const auto sinceLeaving = MonoClock::now() - since;
    if( sinceLeaving > m_settings.drain + drainTolerance && m_record.undisturbedSince( since ) ) {
        m_record.breach(
            "leaving upstreams get no new work",
            id + " comes " +
                std::to_string( std::chrono::duration_cast<Millis>( sinceLeaving ).count() ) +
                " ms after " + instance.id + " began to leave" );
    }
}

net::Task<bool> Runner::run( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                             Request request ) {
    const auto id = field( request, "X-Request-Id" );
    noteArrival( *instance, id );
    const auto wanted = field( request, "X-Model" );
    const auto model = wanted.substr( 0, wanted.find( '/' ) );
    const auto adapter = model == wanted ? "" : wanted.substr( model.size() + 1 );
    if( m_settings.engine ) {
        const auto loaded = instance->models.find( model );
        if( loaded == instance->models.end() ||
            ( !adapter.empty() && !loaded->second.contains( adapter ) ) ) {
            auto bytes =
                httpResponse( 421, idField( id ) + "X-Instance-Id: " + instance->id + "\r\n", "" );
            co_return co_await send( socket, std::move( bytes ) );
        }
    }
    if( m_mode == RunnerMode::full || m_requestsToRefuse > 0 || instance->runs.size() >= m_slots ) {
        auto bytes = refusal( *instance, id );
        co_return co_await sendAnswer( socket, std::move( bytes ) );
    }
    auto poisonPart = m_record.parts().poisonPartOf( field( request, "X-Prompt-Prefix" ) );
    if( poisonPart ) {
        m_record.poisonPartArrived( *poisonPart );
    }
    countFetch( request );
    m_record.runStarted( id );
    m_record.countRunInHall( m_settings.hall );
    ++instance->runs[id];
    const std::string target( request.target() );
    if( target.find( endsUpstream ) != std::string::npos ) {
        std::string content = target + " " + request.body();
        co_await crashDuringRequest( instance, std::move( content ) );
        co_return false;
    }
    const auto last = field( request, "Last-Event-Id" );
    const int after = last.empty() ? 0 : std::stoi( last );
    bool more = false;
    if( m_settings.engine ) {
        const auto resumed = field( request, "Resumes" );
        StreamRun run{ id, resumed.empty() ? id : resumed, after, std::move( poisonPart ) };
        more = co_await runStream( instance, socket, std::move( run ) );
    } else {
        more = co_await runPlain( instance, socket, id );
    }
    instance->runs.erase( id );
    instance->runEvents.erase( id );
    co_return more;
}

net::Task<> Runner::crashDuringRequest( InstancePtr instance, std::string content ) {
    m_record.poisonRunStarted( content );
    co_await net::pause( m_context, workTime( maxPrefillMs ) );
    if( m_instance == instance ) {
        m_restartAllowedAt = MonoClock::now() + restartDelay;
        crash();
    }
}

net::Task<bool> Runner::runPlain( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                                  std::string id ) {
    co_await net::pause( m_context, workTime( maxPlainMs ) );
    const auto body = bodyFor( id );
    const auto seal =
        announcementFields( *instance ) + "X-Response-Seal: " + sealFor( id, body ) + "\r\n";
    auto bytes = httpResponse( 200, idField( id ) + seal, body );
    if( m_unframed && m_mode == RunnerMode::normal ) {
        bytes = "HTTP/1.1 200 X\r\n" + idField( id ) + seal + "Connection: close\r\n\r\n" + body;
        co_await send( socket, std::move( bytes ) );
        co_return false;
    }
    switch( m_mode ) {
    case RunnerMode::unresponsive:
        co_await net::pause( m_context, unresponsiveTime );
        co_return false;
    case RunnerMode::dropping:
        co_return false;
    case RunnerMode::failing:
        bytes = httpResponse(
            500, idField( id ) + announcementFields( *instance ) + "X-Response-Seal: failed\r\n",
            "failed" );
        break;
    case RunnerMode::truncating:
        bytes.resize( bytes.size() / 2 );
        co_await send( socket, std::move( bytes ) );
        co_return false;
    case RunnerMode::duplicating:
        bytes += bytes;
        break;
    default:
        break;
    }
    co_return co_await sendAnswer( socket, std::move( bytes ) );
}

std::string Runner::framed( const std::string& bytes ) const {
    return m_unframed ? bytes : chunk( bytes );
}

net::Task<bool> Runner::runStream( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                                   StreamRun run ) {
    co_await net::pause( m_context, workTime( maxPrefillMs ) );
    if( m_mode == RunnerMode::unresponsive || m_mode == RunnerMode::dropping ) {
        const Millis wait = m_mode == RunnerMode::unresponsive ? unresponsiveTime : Millis{ 0 };
        co_await net::pause( m_context, wait );
        co_return false;
    }
    const bool unframed = m_unframed;
    StreamEvent event{ run.stream, "", std::to_string( m_random.below( 1000000 ) ),
                       m_settings.version };
    std::string head =
        "HTTP/1.1 200 OK\r\n" + idField( run.id ) + announcementFields( *instance ) +
        "X-Response-Seal: " + sealFor( run.id, "stream" ) +
        "\r\nContent-Type: text/event-stream\r\n" +
        ( unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n" );
    const int all = eventsFor( run.stream );
    bool sent = co_await send( socket, std::move( head ) );
    for( int n = run.after + 1; n <= all && sent && !instance->over; ++n ) {
        co_await net::pause( m_context, workTime( maxEventIntervalMs ) );
        event.number = std::to_string( n ) + "/" + std::to_string( all );
        auto bytes = framed( textOf( event, n ) );
        const bool truncates = m_mode == RunnerMode::truncating && n > all / 2;
        if( truncates ) {
            bytes.resize( bytes.size() / 2 );
        }
        instance->runEvents[run.id] = n - run.after;
        sent = co_await send( socket, std::move( bytes ) );
        if( truncates ) {
            co_return false;
        }
        if( run.poisonPart ) {
            co_await crashDuringStream( instance, socket, std::move( run ) );
            co_return false;
        }
    }
    if( !sent || instance->over || unframed ) {
        co_return false;
    }
    std::string end = "0\r\n\r\n";
    co_return co_await send( socket, std::move( end ) );
}

net::Task<> Runner::crashDuringStream( InstancePtr instance, std::shared_ptr<net::Socket> socket,
                                       StreamRun run ) {
    co_await net::pause( m_context, workTime( maxPrefillMs ) );
    if( m_random.below( 2 ) == 0 ) {
        auto bytes = framed( "id: " );
        co_await send( socket, std::move( bytes ) );
    }
    if( m_instance == instance ) {
        m_record.poisonPartCrashed( *run.poisonPart );
        m_restartAllowedAt = MonoClock::now() + restartDelay;
        crash();
    }
}

// --- orders

std::string Runner::report( const Instance& instance ) const {
    Json models = Json::array();
    for( const auto& [name, adapters] : instance.models ) {
        models.push_back( { { "name", name }, { "version", 1 }, { "adapters", adapters } } );
    }
    Json runs = Json::array();
    for( const auto& it : instance.runs ) {
        const auto events = instance.runEvents.find( it.first );
        runs.push_back(
            { it.first, 100, events == instance.runEvents.end() ? 0 : events->second, 5 } );
    }
    const Json available{ { "inMemory", Json::array() }, { "onDisk", { "m0", "m1", "m2" } } };
    return Json{ { "stage", "prefill_decode" },
                 { "born", instance.born },
                 { "models", models },
                 { "busySlots", instance.orderInProgress },
                 { "sequence", instance.sequence },
                 { "queuedRequests", 0 },
                 { "activeRequests", instance.runs.size() },
                 { "cacheUsed", 0 },
                 { "cacheTotal", 100000 },
                 { "runs", runs },
                 { "coming", Json::array() },
                 { "available", available } }
        .dump();
}

void Runner::checkOrder( Instance& instance, const Json& order ) {
    const auto now = MonoClock::now();
    const auto holder = order.value( "holder", "" );
    if( !instance.holder.empty() && holder != instance.holder &&
        now - instance.orderedAt < leaseTime ) {
        m_record.breach( "one giver of orders",
                         instance.id + " takes orders from " + instance.holder + " and " + holder );
    }
    instance.holder = holder;
    instance.orderedAt = now;
    if( order.value( "operation", "" ) != "load" ) {
        return;
    }
    double used = order.value( "adapter", "" ).empty() ? modelMb : adapterMb;
    std::size_t adapters = order.value( "adapter", "" ).empty() ? 0 : 1;
    for( const auto& it : instance.models ) {
        used += modelMb + adapterMb * static_cast<double>( it.second.size() );
        adapters += it.second.size();
    }
    if( used > engineMb || adapters > engineAdapters ) {
        m_record.breach( "no more than its memory holds", instance.id + " is ordered to " +
                                                              order.dump() + " at " +
                                                              report( instance ) );
    }
}

std::string Runner::receiveOrder( Instance& instance, const Request& request ) {
    const auto order = Json::parse( request.body(), nullptr, false );
    if( !order.is_object() || order.value( "holder", "" ).empty() ) {
        return httpResponse( 400, "", "" );
    }
    const bool load = order.value( "operation", "" ) == "load";
    const auto model = order.value( "model", "" );
    const auto adapter = order.value( "adapter", "" );
    const auto loaded = instance.models.find( model );
    const bool present = loaded != instance.models.end() &&
                         ( adapter.empty() || loaded->second.contains( adapter ) );
    if( present == load ) {
        return httpResponse( 200, "", "" );
    }
    if( instance.orderInProgress ||
        order.value( "expectedRevision", instance.sequence ) != instance.sequence ) {
        return httpResponse( 409, "", "" );
    }
    if( !adapter.empty() && loaded == instance.models.end() ) {
        return httpResponse( 421, "", "" );
    }
    checkOrder( instance, order );
    ++instance.sequence;
    m_record.count( "orders" );
    instance.orderInProgress = true;
    return httpResponse( 202, "", "" );
}

net::Task<> Runner::executeOrder( InstancePtr instance, Json order ) {
    const auto model = order.value( "model", "" );
    const auto adapter = order.value( "adapter", "" );
    const bool load = order.value( "operation", "" ) == "load";
    if( load && adapter.empty() ) {
        const Millis loadTime( static_cast<std::int64_t>( loadS * msPerSecond ) );
        co_await net::pause( m_context, loadTime );
        instance->models[model] = {};
    } else if( load ) {
        co_await net::pause( m_context, workTime( maxPrefillMs ) );
        if( instance->models.contains( model ) ) {
            instance->models[model].insert( adapter );
        }
    } else if( adapter.empty() ) {
        instance->models.erase( model );
    } else if( instance->models.contains( model ) ) {
        instance->models[model].erase( adapter );
    }
    instance->orderInProgress = false;
}

} // namespace coursehead::soak
