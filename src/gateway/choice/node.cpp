// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/node.hpp"

#include "gateway/links/sidecar_link.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! How long a report is fresh. Sidecars repeat their report at least every 500 ms; after three
//! missed reports the upstream's entry in the store is the better source.
constexpr Millis reportLifetime{ 1500 };
//! How long a sidecar's first report is awaited. Connection and first report take some
//! milliseconds, and some tenths of a second on the smallest VMs when a hundred connections open at
//! once. Without the wait such an engine counts as one without models, and requests (182 in one
//! case) are refused with a Retry-After of 6 s, the time of a load from the weight store.
constexpr Millis firstReportTimeout{ 500 };
//! The store shows the next start of an upstream within this time.
constexpr Millis restartNewsTime{ 3000 };

const Resident* findModel( const std::vector<Resident>& residents, std::string_view model ) {
    const auto it = std::find_if( residents.begin(), residents.end(),
                                  [model]( const Resident& r ) { return r.model == model; } );
    return it == residents.end() ? nullptr : &*it;
}

} // namespace

ReadingBudget::Limits Node::readingLimits( MonoTime now ) const {
    constexpr double percent = 100;
    const double all = reportFresh( now ) ? report->load.readingPercent / percent : 0;
    return gateway::readingLimits( gapTarget, std::max( all - reading.ownShare( now ), 0.0 ) );
}

bool Node::reportFresh( MonoTime now ) const {
    return report && now - reportAt < reportLifetime;
}

bool Node::awaitsFirstReport( MonoTime now ) const {
    return engine && sidecar && !report && now - addedAt < firstReportTimeout;
}

const std::vector<Resident>& Node::residents( MonoTime now ) const {
    return reportFresh( now ) ? report->residents : upstream.residents;
}

bool Node::holdsModel( std::string_view model, MonoTime now ) const {
    return findModel( residents( now ), model ) != nullptr;
}

bool Node::holdsAdapter( std::string_view model, std::string_view adapter, MonoTime now ) const {
    const auto* resident = findModel( residents( now ), model );
    return resident != nullptr && std::find( resident->adapters.begin(), resident->adapters.end(),
                                             adapter ) != resident->adapters.end();
}

void Node::resetForRestart( StartTime born, MonoTime now ) {
    upstream.born = born;
    upstream.residents.clear();
    upstream.softwareVersion.reset();
    addedAt = now;
    pool = {};
    health = {};
    announced = {};
    limit = { {}, decide::SendSchedule( limit.sendSchedule.phase() ), {}, {} };
    slowStart = {};
    reading = {};
    cold = decide::ColdGate( cold.phase() );
    prefixes.clear();
    report.reset();
    engineReachable = true;
    replaced = false;
    leavesAt.reset();
    readingWaitMs = 0;
    slowState = {};
    loading.clear();
    sentParts.clear();
    adaptersUsed.clear();
}

void Node::takeAnnouncement( const decide::Announcement& announcement, int gateways,
                             MonoTime now ) {
    announced.take( announcement, now );
    if( announcement.backoff ) {
        slowStart.begin( upstream.slots, gateways );
    }
    if( announcement.cold ) {
        noteCold( *announcement.cold, now );
    }
}

void Node::notePrompt( std::span<const std::uint64_t> keys, const Generation& generation,
                       MonoTime now ) {
    prefixes.insert( keys, generation, now );
    if( !generation.adapter.empty() ) {
        adaptersUsed.insert( generation.model + "/" + generation.adapter );
    }
    // The last part is unique to the request, so no other request shares it.
    for( std::size_t n = 0; n + 1 < keys.size(); ++n ) {
        const auto known = std::any_of( sentParts.begin(), sentParts.end(),
                                        [&]( const auto& it ) { return it.key == keys[n]; } );
        if( !known ) {
            sentParts.push_back( { keys[n], generation.parts[n].tokens, generation.model } );
        }
    }
}

void Node::takeReport( const SidecarReport& next, MonoTime now ) {
    if( report ) {
        for( const auto& it : report->residents ) {
            if( findModel( next.residents, it.model ) == nullptr ) {
                prefixes.dropModel( it.model );
            }
        }
    }
    const auto& former = next.formerUpstreams;
    replaced = replaced || std::find( former.begin(), former.end(), upstream.id ) != former.end();
    engineReachable = next.reachable;
    report = next;
    takeLoad( next.load, now );
}

void Node::takeLoad( const EngineLoad& load, MonoTime now ) {
    if( !report ) {
        return;
    }
    report->load = load;
    reportAt = now;
    takeReadingWait( static_cast<double>( load.readingWaitMs ), now );
    for( const auto& it : load.sentParts ) {
        prefixes.insertPart( it.key, it.tokens, it.model, now );
    }
    report->load.sentParts.clear();
    if( !load.gatewayHalls.empty() ) {
        gatewayHalls = load.gatewayHalls;
    }
}

decide::EngineSpeed Node::speed( MonoTime now ) const {
    if( !reportFresh( now ) ) {
        return {};
    }
    auto out = report->load.speed;
    const auto since = std::chrono::duration_cast<Millis>( now - reportAt );
    out.certainty = decide::certaintyNow( out, since );
    out.ageMs += since.count();
    return out;
}

double Node::timeFactor( MonoTime now ) const {
    const auto known = speed( now );
    return decide::timeFactor( known, usualTimeRatio, known.certainty );
}

void Node::takeReadingWait( double waitMs, MonoTime now ) {
    readingWaitMs = waitMs;
    readingWaitAt = now;
}

double Node::readingWaitLeft( MonoTime now ) const {
    const auto passed = std::chrono::duration<double, std::milli>( now - readingWaitAt ).count();
    return std::max( readingWaitMs - passed, 0.0 );
}

bool Node::sidecarAdmitsPrompts( MonoTime now ) const {
    return engine && sidecar && sidecar->isResponsive( now ) && reportFresh( now );
}

std::optional<std::string> Node::certainVersion( MonoTime now ) const {
    // A sidecar that admits the prompt names the engine's start in its answer.
    const bool restartNoticed = sidecarAdmitsPrompts( now ) || now - brokenAt >= restartNewsTime;
    return restartNoticed ? upstream.softwareVersion : std::nullopt;
}

std::set<std::string> Node::modelsHeldOrInFlight( MonoTime now ) const {
    std::set<std::string> out;
    for( const auto& it : residents( now ) ) {
        out.insert( it.model );
    }
    for( const auto& it : running ) {
        out.insert( it.first.substr( 0, it.first.find( '/' ) ) );
    }
    return out;
}

int Node::runningOf( std::string_view key ) const {
    const auto it = running.find( key );
    return it == running.end() ? 0 : it->second;
}

std::vector<std::string> Node::adaptersInUse( const std::string& model ) const {
    const auto prefix = model + "/";
    std::set<std::string> out;
    const auto add = [&]( const std::string& key ) {
        if( key.starts_with( prefix ) ) {
            out.insert( key.substr( prefix.size() ) );
        }
    };
    std::for_each( adaptersUsed.begin(), adaptersUsed.end(), add );
    for( const auto& it : running ) {
        add( it.first );
    }
    return { out.begin(), out.end() };
}

} // namespace coursehead::gateway
