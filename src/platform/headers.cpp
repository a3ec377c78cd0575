// SPDX-License-Identifier: BSL-1.0
#include "platform/headers.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace coursehead::platform {

namespace {

constexpr double millisPerSecond = 1000.0;
constexpr unsigned statusMisdirected = 421;

constexpr std::string_view requestIdName = "X-Request-Id";
constexpr std::string_view deadlineName = "X-Deadline-Ms";
constexpr std::string_view lastEventName = "Last-Event-Id";
constexpr std::string_view modelName = "X-Model";
constexpr std::string_view tokensName = "X-Token-Counts";
constexpr std::string_view partsName = "X-Prompt-Prefix";
constexpr std::string_view instanceName = "X-Expect-Instance";
constexpr std::string_view urgencyName = "X-Request-Urgency";
constexpr std::string_view organisationName = "X-Tenant";
constexpr std::string_view keyScheme = "bearer";
constexpr std::string_view notRunName = "X-Not-Run";
//! Headers by which the system asks an upstream for something. From a client they would take
//! memory, copies or turns that nobody granted: a fifth of all sends was refused for them.
constexpr std::array systemNames = {
    std::string_view( "X-Hold" ),
    std::string_view( "X-Pin-Ms" ),
    std::string_view( "X-Cache-Backup" ),
    std::string_view( "Kv-From" ),
    std::string_view( "Kv-Fetch" ),
    std::string_view( "X-Expect-Version" ),
    instanceName,
    urgencyName,
};
constexpr std::string_view actualInstanceName = "X-Instance-Id";
constexpr std::string_view sealName = "X-Response-Seal";
constexpr std::string_view backoffName = "Retry-After";
constexpr std::string_view coldName = "X-Cold-Ms";
constexpr std::string_view limitName = "Server-Limit";
constexpr std::string_view leavingName = "Server-Leaving";
constexpr std::string_view leavingValue = "1";
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;

std::string_view field( const http::fields& fields, std::string_view name ) {
    const auto it = fields.find( name );
    return it == fields.end() ? std::string_view{} : std::string_view( it->value() );
}

//! The whole of `text` as a number; `format` is a base, or for fractions their notation.
template <typename T, typename Format = int>
std::optional<T> readNumber( std::string_view text, Format format = Format( 10 ) ) {
    T out{};
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars( text.data(), end, out, format );
    if( ec != std::errc() || ptr != end || text.empty() ) {
        return std::nullopt;
    }
    return out;
}

//! The prompt's tokens and the most that may be generated.
struct TokenCounts {
    std::int64_t prompt = 0;
    std::int64_t most = 0;
};

TokenCounts readTokenCounts( const http::fields& fields ) {
    const auto text = field( fields, tokensName );
    const auto comma = text.find( ',' );
    TokenCounts out;
    out.prompt = readNumber<std::int64_t>( text.substr( 0, comma ) ).value_or( 0 );
    if( comma != std::string_view::npos ) {
        out.most = readNumber<std::int64_t>( text.substr( comma + 1 ) ).value_or( 0 );
    }
    return out;
}

gateway::Generation readGeneration( const http::fields& fields ) {
    gateway::Generation out;
    const auto model = field( fields, modelName );
    const auto slash = model.find( '/' );
    out.model = std::string( model.substr( 0, slash ) );
    if( slash != std::string_view::npos ) {
        out.adapter = std::string( model.substr( slash + 1 ) );
    }
    const auto counts = readTokenCounts( fields );
    out.promptTokens = counts.prompt;
    out.maxTokens = counts.most;
    constexpr int hex = 16;
    auto rest = field( fields, partsName );
    while( !rest.empty() ) {
        const auto end = rest.find( ',' );
        const auto part = rest.substr( 0, end );
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr( end + 1 );
        const auto colon = part.find( ':' );
        const auto id = readNumber<std::uint64_t>( part.substr( 0, colon ), hex );
        if( !id || colon == std::string_view::npos ) {
            break; // a part that cannot be read ends what can be shared
        }
        out.parts.push_back(
            { *id, readNumber<std::int64_t>( part.substr( colon + 1 ) ).value_or( 0 ) } );
    }
    return out;
}

//! Seconds, fractions allowed; nullopt for a date, anything else, and less than nothing.
std::optional<Millis> readSeconds( std::string_view text ) {
    const auto seconds = readNumber<double>( text, std::chars_format::general );
    if( !seconds || !std::isfinite( *seconds ) || *seconds < 0 ) {
        return std::nullopt;
    }
    const auto longest = static_cast<double>( decide::maxBackoff.count() );
    const auto ms = std::min( std::ceil( *seconds * millisPerSecond ), longest );
    return Millis( static_cast<std::int64_t>( ms ) );
}

//! A header that can't be read, for the log.
std::string badField( std::string_view name, std::string_view value ) {
    return std::string( name ) + ": " + std::string( value );
}

//! The longest back-off that an answer asks for.
void readBackoff( const http::fields& fields, AnswerHead& out ) {
    const auto [begin, end] = fields.equal_range( http::field::retry_after );
    for( auto it = begin; it != end; ++it ) {
        const std::string_view text( it->value() );
        const auto backoff = readSeconds( text );
        auto& known = out.announcement.backoff;
        if( !backoff ) {
            out.badField = badField( backoffName, text );
        } else if( !known || *known < *backoff ) {
            known = backoff;
        }
    }
}

void readCold( const http::fields& fields, AnswerHead& out ) {
    const auto it = fields.find( coldName );
    if( it == fields.end() ) {
        return;
    }
    const std::string_view text( it->value() );
    const auto ms = readNumber<std::int64_t>( text );
    if( !ms || *ms < 0 ) {
        out.badField = badField( coldName, text );
        return;
    }
    out.announcement.cold = std::min( Millis( *ms ), decide::maxColdTime );
}

//! The limit that an answer names; the lowest of several.
void readLimit( const http::fields& fields, AnswerHead& out ) {
    auto& said = out.announcement;
    const auto [begin, end] = fields.equal_range( { limitName.data(), limitName.size() } );
    for( auto it = begin; it != end; ++it ) {
        const std::string_view text( it->value() );
        const auto perS = readNumber<double>( text, std::chars_format::general );
        const bool usable = perS && std::isfinite( *perS ) && *perS >= 0;
        if( !usable ) {
            out.badField = badField( limitName, text );
            const bool named = said.limit == decide::LimitAnnouncement::named;
            said.limit = named ? said.limit : decide::LimitAnnouncement::unreadable;
            continue;
        }
        const bool first = said.limit != decide::LimitAnnouncement::named;
        said.limitPerS = first ? *perS : std::min( said.limitPerS, *perS );
        said.limit = decide::LimitAnnouncement::named;
    }
}

std::string numbered( std::int64_t n ) {
    return std::to_string( n );
}

} // namespace

RequestHead readRequestHead( const http::fields& fields ) {
    RequestHead out;
    out.requestId = std::string( field( fields, requestIdName ) );
    if( const auto n = readNumber<std::int64_t>( field( fields, deadlineName ) ); n && *n >= 0 ) {
        out.deadline = Millis( *n );
    }
    out.lastEventId = readNumber<std::uint64_t>( field( fields, lastEventName ) );
    if( fields.find( tokensName ) != fields.end() ) {
        const auto counts = readTokenCounts( fields );
        out.tokens = counts.prompt + counts.most;
    }
    if( fields.find( modelName ) != fields.end() ) {
        out.generation = readGeneration( fields );
    }
    return out;
}

std::optional<gateway::KeyDigest> readClientKey( const http::fields& fields ) {
    if( fields.count( http::field::authorization ) != 1 ) {
        return std::nullopt;
    }
    auto text = std::string_view( fields[http::field::authorization] );
    const auto scheme = text.substr( 0, keyScheme.size() );
    if( !boost::beast::iequals( { scheme.data(), scheme.size() },
                                { keyScheme.data(), keyScheme.size() } ) ) {
        return std::nullopt;
    }
    text.remove_prefix( keyScheme.size() );
    constexpr std::string_view blanks = " \t";
    const auto begin = text.find_first_not_of( blanks );
    if( begin == 0 || begin == std::string_view::npos ) {
        return std::nullopt;
    }
    text.remove_prefix( begin );
    text = text.substr( 0, text.find_last_not_of( blanks ) + 1 );
    if( text.find_first_of( blanks ) != std::string_view::npos ) {
        return std::nullopt;
    }
    return gateway::digestOf( text );
}

std::size_t removeSystemHeaders( http::fields& fields ) {
    std::size_t out = 0;
    for( const auto name : systemNames ) {
        out += fields.erase( { name.data(), name.size() } );
    }
    return out;
}

http::fields takeSendHead( const SendHead& head, http::fields& client ) {
    http::fields out;
    const auto set = [&]( std::string_view name, const std::string& value ) {
        client.erase( { name.data(), name.size() } );
        out.set( name, value );
    };
    set( instanceName, head.upstreamId );
    set( deadlineName, numbered( head.deadline.count() ) );
    if( head.urgency ) {
        set( urgencyName, numbered( *head.urgency ) );
    }
    if( head.lastEventId ) {
        set( lastEventName, std::to_string( *head.lastEventId ) );
    }
    if( head.keyed ) {
        client.erase( http::field::authorization );
        client.erase( { organisationName.data(), organisationName.size() } );
    }
    if( !head.organisation.empty() ) {
        out.set( organisationName, head.organisation );
    }
    return out;
}

AnswerHead readAnswerHead( unsigned status, const http::fields& fields ) {
    AnswerHead out;
    out.requestId = std::string( field( fields, requestIdName ) );
    out.sealed = fields.find( sealName ) != fields.end();
    if( status == statusMisdirected ) {
        out.answerClass = AnswerClass::moved;
        out.actualUpstream = std::string( field( fields, actualInstanceName ) );
    } else if( fields.find( notRunName ) != fields.end() ) {
        out.answerClass = AnswerClass::notRun;
    }
    // A 429 of an answer that was run is about its client, not about the upstream.
    const bool turnedAway =
        status == statusUnavailable ||
        ( status == statusTooManyRequests && out.answerClass == AnswerClass::notRun );
    if( turnedAway ) {
        readBackoff( fields, out );
    }
    readCold( fields, out );
    readLimit( fields, out );
    out.announcement.leaving = field( fields, leavingName ) == leavingValue;
    return out;
}

std::string retryAfterText( Millis delay ) {
    char buf[32]; // NOLINT(*-avoid-c-arrays)
    std::snprintf( buf, sizeof buf, "%.2f",
                   static_cast<double>( delay.count() ) / millisPerSecond );
    return buf;
}

std::string_view actualUpstreamHeader() {
    return actualInstanceName;
}

std::string_view expectedUpstreamHeader() {
    return instanceName;
}

} // namespace coursehead::platform
