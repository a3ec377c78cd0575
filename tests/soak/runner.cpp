// SPDX-License-Identifier: BSL-1.0
#include "soak/runner.hpp"

#include "kernel/hash.hpp"
#include "soak/models.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace coursehead::soak {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr Millis beatEvery{ 400 };
constexpr int beatsToLapse = 3;
//! How long it serves on behind the time in which nobody may send to it any more.
constexpr Millis linger{ 1500 };
//! Requests that come this much late were on their way.
constexpr Millis drainSlack{ 300 };
constexpr Millis leaseTime{ 3000 };
constexpr int slowFactor = 5;
constexpr int plainMs = 40;
constexpr int pieceMs = 40;
constexpr int prefillMs = 60;
constexpr Millis hang{ 20000 };
//! Until an upstream that a request has ended begins its next life.
constexpr Millis restartTime{ 1200 };
constexpr double perSecond = 1000;
//! Requests that come so soon after they were asked not to were under way.
constexpr Millis crossing{ 500 };

std::string field( const http::fields& fields, const char* name ) {
    const auto it = fields.find( name );
    return it == fields.end() ? "" : std::string( it->value() );
}

std::string whole( int status, const std::string& extra, const std::string& body ) {
    return "HTTP/1.1 " + std::to_string( status ) + " X\r\n" + extra +
           "Content-Length: " + std::to_string( body.size() ) + "\r\n\r\n" + body;
}

std::string idField( const std::string& id ) {
    return "X-Request-Id: " + id + "\r\n";
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
      m_settings( std::move( settings ) ) {}

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

int Runner::eventsFor( const std::string& id ) {
    constexpr std::uint64_t least = 3;
    constexpr std::uint64_t span = 25;
    return static_cast<int>( least + hash64( id, "events" ) % span );
}

Millis Runner::work( int most ) {
    const auto ms = static_cast<int>( m_random.below( static_cast<std::uint64_t>( most ) ) ) + 1;
    return Millis( m_mode == RunnerMode::slow ? ms * slowFactor : ms );
}

// --- lives

void Runner::start() {
    m_life = std::make_shared<Life>();
    m_life->id =
        "i-" + std::to_string( hash64( m_settings.ip, std::to_string( ++m_lives ) ) % 1000000000 );
    if( m_settings.engine ) {
        m_life->models["m0"] = {};
        m_life->models["m" + std::to_string( 1 + m_random.below( modelCount - 1 ) )] = {};
    }
    m_acceptor =
        std::make_shared<net::Acceptor>( net::listen( m_context, m_settings.ip, m_settings.port ) );
    net::start( m_context, accept( m_life, m_acceptor ), "runner" );
    net::start( m_context, beat( m_life ), "heartbeat" );
}

void Runner::close( Life& life ) {
    life.over = true;
    net::ErrorCode ec;
    m_acceptor->close( ec );
    for( const auto& it : life.sockets ) {
        it->close( ec );
    }
    life.sockets.clear();
}

void Runner::crash() {
    if( !m_life ) {
        return;
    }
    const auto life = std::move( m_life );
    m_life.reset();
    close( *life );
    net::start( m_context, end( life, Millis{ 0 }, beatEvery * beatsToLapse ), "lapse" );
}

void Runner::leave() {
    if( !m_life || m_life->leavingSince ) {
        return;
    }
    m_life->leavingSince = MonoClock::now();
    writeEntry( *m_life );
    net::start( m_context, end( m_life, m_settings.drain + linger, Millis{ 0 } ), "leave" );
}

net::Task<> Runner::end( LifePtr life, Millis after, Millis lapse ) {
    co_await net::pause( m_context, after );
    if( m_life == life ) {
        m_life.reset();
        close( *life );
    }
    co_await net::pause( m_context, lapse );
    m_store.remove( "servers", life->id );
}

void Runner::writeEntry( const Life& life ) {
    Json models = Json::array();
    for( const auto& [name, adapters] : life.models ) {
        models.push_back( { { "name", name }, { "version", 1 }, { "adapters", adapters } } );
    }
    const auto address = m_settings.listedIp + ":" + std::to_string( m_settings.port );
    m_store.put( "servers", life.id,
                 { { "service", m_settings.service },
                   { "address", address },
                   { "zone", m_settings.hall },
                   { "version", "1" },
                   { "slots", engineSlots },
                   { "state", life.leavingSince ? "draining" : "ready" },
                   { "coldMs", 0 },
                   { "sequence", life.sequence },
                   { "models", models } } );
}

net::Task<> Runner::beat( LifePtr life ) {
    while( !life->over ) {
        writeEntry( *life );
        co_await net::pause( m_context, beatEvery );
    }
}

net::Task<> Runner::accept( LifePtr life, std::shared_ptr<net::Acceptor> acceptor ) {
    for( ;; ) {
        auto [ec, accepted] = co_await acceptor->async_accept( net::tupled );
        if( ec || life->over ) {
            co_return;
        }
        const auto socket = std::make_shared<net::Socket>( std::move( accepted ) );
        life->sockets.insert( socket );
        net::start( m_context, serve( life, socket ), "runner connection" );
    }
}

net::Task<> Runner::serve( LifePtr life, std::shared_ptr<net::Socket> socket ) {
    boost::beast::flat_buffer buf;
    bool more = true;
    while( more && !life->over ) {
        Request request;
        const auto [ec, n] = co_await http::async_read( *socket, buf, request, net::tupled );
        if( ec || life->over ) {
            break;
        }
        auto moved = std::move( request );
        more = co_await answer( life, socket, std::move( moved ) );
    }
    net::ErrorCode ec;
    socket->close( ec );
    life->sockets.erase( socket );
}

net::Task<bool> Runner::send( std::shared_ptr<net::Socket> socket, std::string bytes ) {
    const auto buf = net::asio::buffer( bytes );
    const auto [ec, n] = co_await net::asio::async_write( *socket, buf, net::tupled );
    co_return !ec;
}

// --- requests

net::Task<bool> Runner::answer( LifePtr life, std::shared_ptr<net::Socket> socket,
                                Request request ) {
    const std::string target( request.target() );
    if( target == "/report" ) {
        auto bytes = whole( 200, "", report( *life ) );
        co_return co_await send( socket, std::move( bytes ) );
    }
    const auto expected = field( request, "X-Expect-Instance" );
    const auto id = field( request, "X-Request-Id" );
    if( !expected.empty() && expected != life->id ) {
        auto bytes = whole( 421, idField( id ) + "X-Instance-Id: " + life->id + "\r\n", "" );
        co_return co_await send( socket, std::move( bytes ) );
    }
    if( target == "/order" ) {
        auto bytes = takeOrder( *life, request );
        if( bytes.starts_with( "HTTP/1.1 202" ) ) {
            net::start( m_context, carryOut( life, Json::parse( request.body() ) ), "order" );
        }
        co_return co_await send( socket, std::move( bytes ) );
    }
    auto moved = std::move( request );
    co_return co_await run( life, socket, std::move( moved ) );
}

void Runner::turnAway( int requests, Millis backoff ) {
    m_turnsAway = requests;
    m_backoff = backoff;
}

void Runner::noteUnheard( Life& life ) {
    const auto now = MonoClock::now();
    if( life.saidLeavingAt && now - *life.saidLeavingAt > m_settings.drain + drainSlack ) {
        m_record.count( std::string( cameAfterLeaving ) );
    }
    for( auto& it : life.backoffs ) {
        if( now > it.since + crossing && now < it.since + it.length ) {
            m_record.arrivedInBackoff( ++it.arrived );
        }
    }
}

std::string Runner::refusal( Life& life, const std::string& id ) {
    std::string fields = idField( id ) + announcedFields( life ) + "X-Not-Run: 1\r\n";
    if( m_turnsAway > 0 ) {
        --m_turnsAway;
        const auto seconds = static_cast<double>( m_backoff.count() ) / perSecond;
        fields += "Retry-After: " + std::to_string( seconds ) + "\r\n";
        life.backoffs.push_back( { MonoClock::now(), m_backoff } );
        m_record.count( std::string( askedForBackoff ) );
    }
    return whole( 503, fields, "" );
}

std::string Runner::announcedFields( Life& life ) {
    const auto perS = m_limit.perS();
    const auto limit = perS ? "Server-Limit: " + std::to_string( *perS ) + "\r\n" : "";
    return leavingField( life ) + limit;
}

std::string Runner::leavingField( Life& life ) {
    if( !life.leavingSince ) {
        return "";
    }
    if( !life.saidLeavingAt ) {
        life.saidLeavingAt = MonoClock::now();
        m_record.count( std::string( saidItLeaves ) );
    }
    return "Server-Leaving: 1\r\n";
}

void Runner::noteArrival( Life& life, const std::string& id ) {
    noteUnheard( life );
    const auto now = MonoClock::now();
    const int beyond = m_limit.countRequest( now );
    if( beyond > 0 && m_record.calmSince( now - support::limitWindow ) ) {
        m_record.breach( "a limit is kept by all gateways together",
                         life.id + " gets " + std::to_string( beyond ) + " requests too many" );
    }
    if( !life.leavingSince ) {
        return;
    }
    const auto since = *life.leavingSince;
    const auto late = MonoClock::now() - since;
    if( late > m_settings.drain + drainSlack && m_record.calmSince( since ) ) {
        m_record.breach( "leaving upstreams get no new work",
                         id + " comes " +
                             std::to_string( std::chrono::duration_cast<Millis>( late ).count() ) +
                             " ms after " + life.id + " began to leave" );
    }
}

net::Task<bool> Runner::run( LifePtr life, std::shared_ptr<net::Socket> socket, Request request ) {
    const auto id = field( request, "X-Request-Id" );
    noteArrival( *life, id );
    const auto wanted = field( request, "X-Model" );
    const auto model = wanted.substr( 0, wanted.find( '/' ) );
    const auto adapter = model == wanted ? "" : wanted.substr( model.size() + 1 );
    if( m_settings.engine ) {
        const auto held = life->models.find( model );
        if( held == life->models.end() ||
            ( !adapter.empty() && !held->second.contains( adapter ) ) ) {
            auto bytes = whole( 421, idField( id ) + "X-Instance-Id: " + life->id + "\r\n", "" );
            co_return co_await send( socket, std::move( bytes ) );
        }
    }
    if( m_mode == RunnerMode::full || m_turnsAway > 0 || life->runs.size() >= engineSlots ) {
        auto bytes = refusal( *life, id );
        co_return co_await send( socket, std::move( bytes ) );
    }
    m_record.ran( id );
    m_record.ranIn( m_settings.hall );
    ++life->runs[id];
    const std::string target( request.target() );
    if( target.find( endsUpstream ) != std::string::npos ) {
        std::string content = target + " " + request.body();
        co_await endUnder( life, std::move( content ) );
        co_return false;
    }
    const auto last = field( request, "Last-Event-Id" );
    const int after = last.empty() ? 0 : std::stoi( last );
    bool more = false;
    if( m_settings.engine ) {
        more = co_await runStream( life, socket, id, after );
    } else {
        more = co_await runPlain( life, socket, id );
    }
    life->runs.erase( id );
    life->runEvents.erase( id );
    co_return more;
}

net::Task<> Runner::endUnder( LifePtr life, std::string content ) {
    m_record.began( content );
    co_await net::pause( m_context, work( prefillMs ) );
    if( m_life == life ) {
        m_backAt = MonoClock::now() + restartTime;
        crash();
    }
}

net::Task<bool> Runner::runPlain( LifePtr life, std::shared_ptr<net::Socket> socket,
                                  std::string id ) {
    co_await net::pause( m_context, work( plainMs ) );
    const auto body = bodyFor( id );
    const auto seal = announcedFields( *life ) + "X-Response-Seal: " + sealFor( id, body ) + "\r\n";
    auto bytes = whole( 200, idField( id ) + seal, body );
    switch( m_mode ) {
    case RunnerMode::mute:
        co_await net::pause( m_context, hang );
        co_return false;
    case RunnerMode::losing:
        co_return false;
    case RunnerMode::failing:
        bytes =
            whole( 500, idField( id ) + announcedFields( *life ) + "X-Response-Seal: failed\r\n",
                   "failed" );
        break;
    case RunnerMode::cutting:
        bytes.resize( bytes.size() / 2 );
        co_await send( socket, std::move( bytes ) );
        co_return false;
    case RunnerMode::talking:
        bytes += bytes;
        break;
    default:
        break;
    }
    co_return co_await send( socket, std::move( bytes ) );
}

net::Task<bool> Runner::runStream( LifePtr life, std::shared_ptr<net::Socket> socket,
                                   std::string id, int after ) {
    co_await net::pause( m_context, work( prefillMs ) );
    if( m_mode == RunnerMode::mute || m_mode == RunnerMode::losing ) {
        const Millis wait = m_mode == RunnerMode::mute ? hang : Millis{ 0 };
        co_await net::pause( m_context, wait );
        co_return false;
    }
    const auto run = std::to_string( m_random.below( 1000000 ) );
    std::string head = "HTTP/1.1 200 OK\r\n" + idField( id ) + announcedFields( *life ) +
                       "X-Response-Seal: " + sealFor( id, "stream" ) +
                       "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const int all = eventsFor( id );
    bool sent = co_await send( socket, std::move( head ) );
    for( int n = after + 1; n <= all && sent && !life->over; ++n ) {
        co_await net::pause( m_context, work( pieceMs ) );
        auto bytes =
            chunk( "id: " + std::to_string( n ) + "\ndata: " + id + " " + std::to_string( n ) +
                   "/" + std::to_string( all ) + " " + run + "\n\n" );
        const bool cuts = m_mode == RunnerMode::cutting && n > all / 2;
        if( cuts ) {
            bytes.resize( bytes.size() / 2 );
        }
        life->runEvents[id] = n - after;
        sent = co_await send( socket, std::move( bytes ) );
        if( cuts ) {
            co_return false;
        }
    }
    if( !sent || life->over ) {
        co_return false;
    }
    std::string end = "0\r\n\r\n";
    co_return co_await send( socket, std::move( end ) );
}

// --- orders

std::string Runner::report( const Life& life ) const {
    Json models = Json::array();
    for( const auto& [name, adapters] : life.models ) {
        models.push_back( { { "name", name }, { "version", 1 }, { "adapters", adapters } } );
    }
    Json runs = Json::array();
    for( const auto& it : life.runs ) {
        const auto events = life.runEvents.find( it.first );
        runs.push_back( { it.first, 100, events == life.runEvents.end() ? 0 : events->second, 5 } );
    }
    const Json available{ { "inMemory", Json::array() }, { "onDisk", { "m0", "m1", "m2" } } };
    return Json{ { "stage", "prefill_decode" },
                 { "models", models },
                 { "busySlots", life.orderInProgress },
                 { "sequence", life.sequence },
                 { "queuedRequests", 0 },
                 { "activeRequests", life.runs.size() },
                 { "cacheUsed", 0 },
                 { "cacheTotal", 100000 },
                 { "runs", runs },
                 { "coming", Json::array() },
                 { "available", available } }
        .dump();
}

void Runner::checkOrder( Life& life, const Json& order ) {
    const auto now = MonoClock::now();
    const auto holder = order.value( "holder", "" );
    if( !life.holder.empty() && holder != life.holder && now - life.orderedAt < leaseTime ) {
        m_record.breach( "one giver of orders",
                         life.id + " takes orders from " + life.holder + " and " + holder );
    }
    life.holder = holder;
    life.orderedAt = now;
    if( order.value( "operation", "" ) != "load" ) {
        return;
    }
    double used = order.value( "adapter", "" ).empty() ? modelMb : adapterMb;
    std::size_t adapters = order.value( "adapter", "" ).empty() ? 0 : 1;
    for( const auto& it : life.models ) {
        used += modelMb + adapterMb * static_cast<double>( it.second.size() );
        adapters += it.second.size();
    }
    if( used > engineMb || adapters > engineAdapters ) {
        m_record.breach( "no more than its memory holds",
                         life.id + " is ordered to " + order.dump() + " at " + report( life ) );
    }
}

std::string Runner::takeOrder( Life& life, const Request& request ) {
    const auto order = Json::parse( request.body(), nullptr, false );
    if( !order.is_object() || order.value( "holder", "" ).empty() ) {
        return whole( 400, "", "" );
    }
    const bool load = order.value( "operation", "" ) == "load";
    const auto model = order.value( "model", "" );
    const auto adapter = order.value( "adapter", "" );
    const auto held = life.models.find( model );
    const bool there =
        held != life.models.end() && ( adapter.empty() || held->second.contains( adapter ) );
    if( there == load ) {
        return whole( 200, "", "" );
    }
    if( life.orderInProgress ||
        order.value( "expectedRevision", life.sequence ) != life.sequence ) {
        return whole( 409, "", "" );
    }
    if( !adapter.empty() && held == life.models.end() ) {
        return whole( 421, "", "" );
    }
    checkOrder( life, order );
    ++life.sequence;
    m_record.count( "orders" );
    life.orderInProgress = true;
    return whole( 202, "", "" );
}

net::Task<> Runner::carryOut( LifePtr life, Json order ) {
    const auto model = order.value( "model", "" );
    const auto adapter = order.value( "adapter", "" );
    const bool load = order.value( "operation", "" ) == "load";
    if( load && adapter.empty() ) {
        const Millis takes( static_cast<std::int64_t>( loadS * perSecond ) );
        co_await net::pause( m_context, takes );
        life->models[model] = {};
    } else if( load ) {
        co_await net::pause( m_context, work( prefillMs ) );
        if( life->models.contains( model ) ) {
            life->models[model].insert( adapter );
        }
    } else if( adapter.empty() ) {
        life->models.erase( model );
    } else if( life->models.contains( model ) ) {
        life->models[model].erase( adapter );
    }
    life->orderInProgress = false;
}

} // namespace coursehead::soak
