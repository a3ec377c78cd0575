// SPDX-License-Identifier: BSL-1.0
#include "gateway/counts/origin_client.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace coursehead::gateway {

namespace {

//! A holder answers within a few milliseconds; one that does not is overloaded or gone.
constexpr Millis queryTimeout{ 100 };
//! How long a client waits for an origin that a restarted holder may be about to receive.
constexpr Millis findTimeout{ 1000 };
constexpr Millis findPollInterval{ 50 };
//! Interval at which the versions of all upstreams are noted.
constexpr Millis versionsInterval{ 500 };
constexpr Millis expiryInterval{ 1000 };
//! Origins in one message, so that a frame stays below a few kilobytes.
constexpr std::size_t maxOriginsPerMessage = 128;
//! The number of gateways is the largest one reported within this time.
constexpr Millis gatewayCountHold{ 4000 };

} // namespace

OriginClient::OriginClient( net::asio::io_context& context, Fleet& fleet,
                            metrics::Metrics& metrics )
    : m_context( context ), m_fleet( fleet ), m_metrics( metrics ),
      m_links( fleet, gatewayCountHold ), m_versions( MonoClock::now() ) {
    m_fleet.onOriginUpdate( [this]( const decide::OriginUpdate& update ) {
        const auto now = MonoClock::now();
        for( const auto& it : update.origins ) {
            m_origins.put( it, now );
        }
    } );
    m_fleet.onSidecarConnected( [this]( const Link& link ) { sendAgain( link ); } );
    m_metrics.gauge( "stream_origins", [this] { return static_cast<double>( m_origins.size() ); } );
}

void OriginClient::tick( bool current, MonoTime now ) {
    m_versions.setCurrent( current, now );
    refreshHolders( now );
    if( now - m_versionsNotedAt >= versionsInterval ) {
        noteVersions( now );
    }
    if( now - m_expiredAt >= expiryInterval ) {
        m_expiredAt = now;
        m_origins.removeExpired( now );
    }
}

void OriginClient::noteVersions( MonoTime now ) {
    m_versionsNotedAt = now;
    for( const auto& [id, node] : m_fleet.nodes() ) {
        if( node->upstream.softwareVersion ) {
            m_versions.note( node->upstream.service, *node->upstream.softwareVersion, now );
        }
    }
    shareWithheld( now );
}

bool OriginClient::mustShare( const decide::StreamVersion& began, MonoTime now ) const {
    return decide::mustShareOrigin( m_links.gateways(), m_versions.only( began.service, now ),
                                    m_versions.complete( now ), began.version );
}

void OriginClient::shareWithheld( MonoTime now ) {
    for( const auto& it : std::exchange( m_withheld, {} ) ) {
        const auto left = remaining( now, it.expires );
        if( left.count() == 0 ) {
            continue;
        }
        if( !mustShare( it.origin.began, now ) ) {
            m_withheld.push_back( it );
            continue;
        }
        queueToSend( { it.origin.key, it.origin.began, left.count() } );
    }
}

void OriginClient::queueToSend( decide::StreamOrigin origin ) {
    if( m_noted.empty() ) {
        net::asio::post( m_context, [this] { sendNoted(); } );
    }
    m_noted.push_back( std::move( origin ) );
}

void OriginClient::refreshHolders( MonoTime now ) {
    m_links.refresh( now );
    m_names.clear();
    for( const auto& it : m_links.candidates( now ) ) {
        if( it.responsive ) {
            m_names.push_back( it.name );
        }
    }
}

std::vector<OriginClient::Link> OriginClient::holdersOf( decide::StreamKey key,
                                                         std::size_t count ) const {
    const std::vector<std::string_view> names( m_names.begin(), m_names.end() );
    std::vector<Link> out;
    for( const auto n : decide::rankedForStream( key, names, count ) ) {
        if( auto link = m_links.find( names[n] ) ) {
            out.push_back( std::move( link ) );
        }
    }
    return out;
}

void OriginClient::noteBegan( std::string_view attemptId, decide::StreamVersion began,
                              Millis left ) {
    const decide::StreamOrigin origin{ decide::streamKeyOf( attemptId ), std::move( began ),
                                       left.count() };
    const auto now = MonoClock::now();
    if( !m_origins.put( origin, now ) ) {
        m_metrics.count( "stream_origins_dropped" );
        return;
    }
    if( mustShare( origin.began, now ) ) {
        queueToSend( origin );
    } else {
        m_withheld.push_back( { origin, now + left } );
    }
}

void OriginClient::sendNoted() {
    // The first holder sends copies to other gateways.
    std::map<std::pair<Link, bool>, decide::OriginUpdate> updates;
    for( const auto& it : m_noted ) {
        bool first = true;
        for( const auto& link : holdersOf( it.key, decide::originHolders ) ) {
            auto& update = updates[{ link, first }];
            update.copy = first;
            update.origins.push_back( it );
            if( update.origins.size() == maxOriginsPerMessage ) {
                link->send( Message( std::exchange( update, {} ) ) );
            }
            first = false;
        }
    }
    m_noted.clear();
    for( auto& [target, update] : updates ) {
        if( !update.origins.empty() ) {
            target.first->send( Message( std::move( update ) ) );
        }
    }
}

void OriginClient::sendAgain( const Link& link ) {
    const auto now = MonoClock::now();
    refreshHolders( now );
    const auto origins = m_origins.all( now );
    decide::OriginUpdate update;
    const auto transmit = [&] {
        link->send( Message( std::exchange( update, {} ) ) );
    };
    for( const auto& it : origins ) {
        const auto holders = holdersOf( it.key, decide::originHolders );
        const bool holds = std::any_of( holders.begin(), holders.end(), [&]( const auto& holder ) {
            return holder->ip() == link->ip();
        } );
        if( !holds ) {
            continue;
        }
        update.origins.push_back( it );
        if( update.origins.size() == maxOriginsPerMessage ) {
            transmit();
        }
    }
    if( !update.origins.empty() ) {
        transmit();
    }
}

net::Task<std::optional<decide::StreamVersion>> OriginClient::askHolders( decide::StreamKey key,
                                                                          ResumeVersion& out ) {
    const auto holders = holdersOf( key, decide::askedOriginHolders );
    // Without any sidecar there is nothing to wait for.
    out.mayBecomeKnown = holders.empty() && !m_links.all().empty();
    for( const auto& link : holders ) {
        decide::OriginRequest request;
        request.key = key;
        ++out.asked;
        const auto answer = co_await link->requestOrigin( request, queryTimeout );
        if( answer && answer->known ) {
            co_return answer->began;
        }
        const bool settling = !answer || Millis( answer->holderAgeMs ) < decide::holderSettling;
        out.mayBecomeKnown = out.mayBecomeKnown || settling;
    }
    co_return std::nullopt;
}

net::Task<std::optional<decide::StreamVersion>> OriginClient::findOrigin( std::string beganAs,
                                                                          ResumeVersion& out ) {
    const auto key = decide::streamKeyOf( beganAs );
    const auto until = MonoClock::now() + findTimeout;
    for( ;; ) {
        if( auto own = m_origins.find( key, MonoClock::now() ) ) {
            out.source = "own";
            co_return own;
        }
        refreshHolders( MonoClock::now() );
        auto held = co_await askHolders( key, out );
        if( held ) {
            out.source = "holder";
            co_return held;
        }
        if( !out.mayBecomeKnown || MonoClock::now() >= until ) {
            co_return std::nullopt;
        }
        co_await net::pause( m_context, findPollInterval );
    }
}

net::Task<ResumeVersion> OriginClient::find( std::string service, std::string beganAs ) {
    ResumeVersion out;
    decide::ResumeFacts facts;
    facts.namesOrigin = !beganAs.empty();
    if( facts.namesOrigin ) {
        facts.recorded = co_await findOrigin( std::move( beganAs ), out );
    }
    const auto now = MonoClock::now();
    noteVersions( now );
    facts.service = service;
    facts.only = m_versions.only( service, now );
    facts.versionsComplete = m_versions.complete( now );
    out.began = decide::versionToResumeAt( facts );
    if( out.began && !facts.recorded ) {
        out.source = "only";
    }
    m_metrics.count( "streams_resumed", out.source );
    co_return out;
}

} // namespace coursehead::gateway
