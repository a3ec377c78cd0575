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
//! Larger numbers of clients count as these, so that sums and times can't overflow.
constexpr std::int64_t maxTokenCount = 1000000000;
constexpr Millis maxDeadline = std::chrono::hours( 24 );
constexpr unsigned statusMisdirected = 421;

constexpr std::string_view requestIdHeader = "X-Request-Id";
constexpr std::string_view deadlineHeader = "X-Deadline-Ms";
constexpr std::string_view lastEventIdHeader = "Last-Event-Id";
constexpr std::string_view resumesHeader = "Resumes";
constexpr std::string_view modelHeader = "X-Model";
constexpr std::string_view tokenCountsHeader = "X-Token-Counts";
constexpr std::string_view promptPrefixHeader = "X-Prompt-Prefix";
constexpr std::string_view expectedInstanceHeader = "X-Expect-Instance";
constexpr std::string_view urgencyHeader = "X-Request-Urgency";
constexpr std::string_view organisationHeader = "X-Tenant";
constexpr std::string_view fetchHeader = "Kv-Fetch";
constexpr std::string_view bearerScheme = "bearer";
constexpr std::string_view notRunHeader = "X-Not-Run";
//! Headers by which coursehead gives instructions to an upstream. Passed on from a client, they
//! would claim memory, copies or queue positions that were not granted; upstreams refused a fifth
//! of all requests because of them.
constexpr std::array systemHeaders = {
    std::string_view( "X-Hold" ),
    std::string_view( "X-Pin-Ms" ),
    std::string_view( "X-Cache-Backup" ),
    std::string_view( "Kv-From" ),
    fetchHeader,
    std::string_view( "X-Expect-Version" ),
    expectedInstanceHeader,
    urgencyHeader,
};
constexpr std::string_view actualInstanceHeader = "X-Instance-Id";
constexpr std::string_view responseSealHeader = "X-Response-Seal";
constexpr std::string_view retryAfterHeader = "Retry-After";
constexpr std::string_view coldTimeHeader = "X-Cold-Ms";
constexpr std::string_view serverLimitHeader = "Server-Limit";
constexpr std::string_view serverLeavingHeader = "Server-Leaving";
constexpr std::string_view leavingValue = "1";
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned firstFailureStatus = 400;

std::string_view field( const http::fields& fields, std::string_view name ) {
    const auto it = fields.find( name );
    return it == fields.end() ? std::string_view{} : std::string_view( it->value() );
}

//! Parses all of `text` as a number. `format` is the base of an integer, or the std::chars_format
//! of a decimal.
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

//! Parses a whole number that a client states, and bounds it to 0 to `max`; nullopt if it is none.
std::optional<std::int64_t> readBounded( std::string_view text, std::int64_t max ) {
    std::int64_t out = 0;
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars( text.data(), end, out );
    if( ec == std::errc::invalid_argument || ptr != end ) {
        return std::nullopt;
    }
    const bool tooLarge = ec == std::errc::result_out_of_range && !text.starts_with( '-' );
    return tooLarge ? max : std::clamp<std::int64_t>( out, 0, max );
}

std::int64_t readTokens( std::string_view text ) {
    return readBounded( text, maxTokenCount ).value_or( 0 );
}

//! The number of prompt tokens and the maximum number of tokens to generate.
struct TokenCounts {
    std::int64_t prompt = 0;
    std::int64_t maxGenerated = 0;
};

TokenCounts readTokenCounts( const http::fields& fields ) {
    const auto text = field( fields, tokenCountsHeader );
    const auto comma = text.find( ',' );
    TokenCounts out;
    out.prompt = readTokens( text.substr( 0, comma ) );
    if( comma != std::string_view::npos ) {
        out.maxGenerated = readTokens( text.substr( comma + 1 ) );
    }
    return out;
}

gateway::Generation readGeneration( const http::fields& fields ) {
    gateway::Generation out;
    const auto model = field( fields, modelHeader );
    const auto slash = model.find( '/' );
    out.model = std::string( model.substr( 0, slash ) );
    if( slash != std::string_view::npos ) {
        out.adapter = std::string( model.substr( slash + 1 ) );
    }
    const auto counts = readTokenCounts( fields );
    out.promptTokens = counts.prompt;
    out.maxTokens = counts.maxGenerated;
    constexpr int hex = 16;
    auto rest = field( fields, promptPrefixHeader );
    while( !rest.empty() ) {
        const auto end = rest.find( ',' );
        const auto part = rest.substr( 0, end );
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr( end + 1 );
        const auto colon = part.find( ':' );
        const auto id = readNumber<std::uint64_t>( part.substr( 0, colon ), hex );
        if( !id || colon == std::string_view::npos ) {
            break; // the prefix can be shared only up to the first unreadable part
        }
        out.parts.push_back( { *id, readTokens( part.substr( colon + 1 ) ) } );
    }
    return out;
}

//! Reads all parts of the prompt but the last. Other than for the cache of an engine, a part with
//! an unreadable id or size is a part like the others.
std::vector<decide::SharedPart> readSharedParts( const http::fields& fields ) {
    std::vector<decide::SharedPart> out;
    const auto [begin, end] =
        fields.equal_range( { promptPrefixHeader.data(), promptPrefixHeader.size() } );
    for( auto it = begin; it != end; ++it ) {
        std::string_view rest( it->value() );
        while( !rest.empty() ) {
            const auto part = rest.substr( 0, rest.find( ',' ) );
            rest.remove_prefix( std::min( rest.size(), part.size() + 1 ) );
            out.push_back( decide::sharedPart( part.substr( 0, part.find( ':' ) ) ) );
        }
    }
    if( !out.empty() ) {
        out.pop_back();
    }
    return out;
}

//! Parses a non-negative number of seconds, fractions allowed; nullopt for anything else, such as a
//! date.
std::optional<Millis> readSeconds( std::string_view text ) {
    const auto seconds = readNumber<double>( text, std::chars_format::general );
    if( !seconds || !std::isfinite( *seconds ) || *seconds < 0 ) {
        return std::nullopt;
    }
    const auto maxBackoffMs = static_cast<double>( decide::maxBackoff.count() );
    const auto ms = std::min( std::ceil( *seconds * millisPerSecond ), maxBackoffMs );
    return Millis( static_cast<std::int64_t>( ms ) );
}

//! Formats a header that can't be parsed, for the log.
std::string formatField( std::string_view name, std::string_view value ) {
    return std::string( name ) + ": " + std::string( value );
}

//! Reads the longest back-off among the Retry-After headers.
void readBackoff( const http::fields& fields, ResponseHead& out ) {
    const auto [begin, end] = fields.equal_range( http::field::retry_after );
    for( auto it = begin; it != end; ++it ) {
        const std::string_view text( it->value() );
        const auto backoff = readSeconds( text );
        auto& longestBackoff = out.announcement.backoff;
        if( !backoff ) {
            out.unreadableField = formatField( retryAfterHeader, text );
        } else if( !longestBackoff || *longestBackoff < *backoff ) {
            longestBackoff = backoff;
        }
    }
}

void readCold( const http::fields& fields, ResponseHead& out ) {
    const auto it = fields.find( coldTimeHeader );
    if( it == fields.end() ) {
        return;
    }
    const std::string_view text( it->value() );
    const auto ms = readNumber<std::int64_t>( text );
    if( !ms || *ms < 0 ) {
        out.unreadableField = formatField( coldTimeHeader, text );
        return;
    }
    out.announcement.cold = std::min( Millis( *ms ), decide::maxColdTime );
}

//! Reads the lowest rate limit among the Server-Limit headers.
void readLimit( const http::fields& fields, ResponseHead& out ) {
    auto& announcement = out.announcement;
    const auto [begin, end] =
        fields.equal_range( { serverLimitHeader.data(), serverLimitHeader.size() } );
    for( auto it = begin; it != end; ++it ) {
        const std::string_view text( it->value() );
        const auto perS = readNumber<double>( text, std::chars_format::general );
        const bool usable = perS && std::isfinite( *perS ) && *perS >= 0;
        if( !usable ) {
            out.unreadableField = formatField( serverLimitHeader, text );
            const bool named = announcement.limit == decide::LimitAnnouncement::named;
            announcement.limit = named ? announcement.limit : decide::LimitAnnouncement::unreadable;
            continue;
        }
        const bool first = announcement.limit != decide::LimitAnnouncement::named;
        announcement.limitPerS = first ? *perS : std::min( announcement.limitPerS, *perS );
        announcement.limit = decide::LimitAnnouncement::named;
    }
}

bool isDigit( char c ) {
    return c >= '0' && c <= '9';
}

//! True if the fields name different requests.
bool namesSeveralRequests( const http::fields& fields ) {
    const auto [begin, end] =
        fields.equal_range( { requestIdHeader.data(), requestIdHeader.size() } );
    const auto first = begin;
    return std::any_of( begin, end,
                        [first]( const auto& it ) { return it.value() != first->value(); } );
}

//! True if the fields of a response contradict each other, or hold the begin of another response.
bool isContradictory( unsigned status, const http::fields& fields, std::string_view reason ) {
    const bool successNotRun =
        status < firstFailureStatus && fields.find( notRunHeader ) != fields.end();
    const auto holdsAnother = []( const auto& it ) {
        return holdsStatusLine( { it.value().data(), it.value().size() } );
    };
    return successNotRun || namesSeveralRequests( fields ) || holdsStatusLine( reason ) ||
           std::any_of( fields.begin(), fields.end(), holdsAnother );
}

std::string numberText( std::int64_t n ) {
    return std::to_string( n );
}

} // namespace

RequestHead readRequestHead( const http::fields& fields ) {
    RequestHead out;
    out.requestId = std::string( field( fields, requestIdHeader ) );
    const auto deadlineText = field( fields, deadlineHeader );
    if( !deadlineText.starts_with( '-' ) ) {
        const auto n = readBounded( deadlineText, maxDeadline.count() );
        out.deadline = n ? std::optional( Millis( *n ) ) : std::nullopt;
    }
    out.lastEventId = readNumber<std::uint64_t>( field( fields, lastEventIdHeader ) );
    out.resumes = !field( fields, lastEventIdHeader ).empty();
    out.streamBeganAs = std::string( field( fields, resumesHeader ) );
    if( fields.find( tokenCountsHeader ) != fields.end() ) {
        const auto counts = readTokenCounts( fields );
        out.tokens = counts.prompt + counts.maxGenerated;
    }
    if( fields.find( modelHeader ) != fields.end() ) {
        out.generation = readGeneration( fields );
    }
    out.sharedParts = readSharedParts( fields );
    return out;
}

std::optional<gateway::KeyDigest> readClientKey( const http::fields& fields ) {
    if( fields.count( http::field::authorization ) != 1 ) {
        return std::nullopt;
    }
    auto text = std::string_view( fields[http::field::authorization] );
    const auto scheme = text.substr( 0, bearerScheme.size() );
    if( !boost::beast::iequals( { scheme.data(), scheme.size() },
                                { bearerScheme.data(), bearerScheme.size() } ) ) {
        return std::nullopt;
    }
    text.remove_prefix( bearerScheme.size() );
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
    for( const auto name : systemHeaders ) {
        out += fields.erase( { name.data(), name.size() } );
    }
    return out;
}

http::fields makeSendHeaders( const SendHead& head, http::fields& client ) {
    http::fields out;
    const auto set = [&]( std::string_view name, const std::string& value ) {
        client.erase( { name.data(), name.size() } );
        out.set( name, value );
    };
    set( expectedInstanceHeader, head.upstreamId );
    set( deadlineHeader, numberText( head.deadline.count() ) );
    if( head.urgency ) {
        set( urgencyHeader, numberText( *head.urgency ) );
    }
    if( head.lastEventId ) {
        set( lastEventIdHeader, std::to_string( *head.lastEventId ) );
    }
    if( !head.fetchFrom.empty() ) {
        set( fetchHeader, head.fetchFrom );
    }
    if( head.keyed ) {
        client.erase( http::field::authorization );
        client.erase( { organisationHeader.data(), organisationHeader.size() } );
    }
    if( !head.organisation.empty() ) {
        out.set( organisationHeader, head.organisation );
    }
    return out;
}

ResponseHead readResponseHead( unsigned status, const http::fields& fields,
                               std::string_view reason ) {
    ResponseHead out;
    out.requestId = std::string( field( fields, requestIdHeader ) );
    out.contradictory = isContradictory( status, fields, reason );
    out.sealed = fields.find( responseSealHeader ) != fields.end();
    if( status == statusMisdirected ) {
        out.responseClass = ResponseClass::moved;
        out.actualUpstream = std::string( field( fields, actualInstanceHeader ) );
    } else if( fields.find( notRunHeader ) != fields.end() ) {
        out.responseClass = ResponseClass::notRun;
    }
    // A 429 response without X-Not-Run concerns the client's own limits, not the upstream.
    const bool temporarilyRefused =
        status == statusUnavailable ||
        ( status == statusTooManyRequests && out.responseClass == ResponseClass::notRun );
    if( temporarilyRefused ) {
        readBackoff( fields, out );
    }
    readCold( fields, out );
    readLimit( fields, out );
    out.announcement.leaving = field( fields, serverLeavingHeader ) == leavingValue;
    return out;
}

bool holdsStatusLine( std::string_view text ) {
    constexpr std::string_view protocol = "HTTP/1.";
    for( auto at = text.find( protocol ); at != std::string_view::npos;
         at = text.find( protocol, at + 1 ) ) {
        const auto rest = text.substr( at + protocol.size() );
        constexpr std::size_t length = 5; // "1 200"
        const bool found = rest.size() >= length && isDigit( rest[0] ) && rest[1] == ' ' &&
                           std::all_of( rest.begin() + 2, rest.begin() + length, isDigit );
        if( found ) {
            return true;
        }
    }
    return false;
}

std::string retryAfterText( Millis delay ) {
    char buf[32]; // NOLINT(*-avoid-c-arrays)
    std::snprintf( buf, sizeof buf, "%.2f",
                   static_cast<double>( delay.count() ) / millisPerSecond );
    return buf;
}

std::string_view requestIdHeaderName() {
    return requestIdHeader;
}

std::string_view actualUpstreamHeader() {
    return actualInstanceHeader;
}

std::string_view expectedUpstreamHeader() {
    return expectedInstanceHeader;
}

} // namespace coursehead::platform
