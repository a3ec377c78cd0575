// SPDX-License-Identifier: BSL-1.0
#include "platform/store_wire.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace coursehead::platform {

namespace {

//! Begin of the names of objects that are about a prompt part.
constexpr std::string_view partNamePrefix = "part-";
constexpr std::string_view kindPart = "part";
constexpr std::string_view kindContent = "content";

using Json = nlohmann::json;

constexpr unsigned char firstNonAscii = 0x80;
//! Deeper JSON values are skipped: copying and writing JSON uses stack for each level, and an
//! object of 1 MB may have 500,000 levels. The platform's own values have about 4.
constexpr int maxJsonDepth = 32;

int depthOf( std::string_view text ) {
    int depth = 0;
    int deepest = 0;
    bool inString = false;
    for( std::size_t n = 0; n < text.size(); ++n ) {
        const char it = text[n];
        if( inString ) {
            n += it == '\\' ? 1 : 0;
            inString = it != '"';
            continue;
        }
        inString = it == '"';
        depth += it == '[' || it == '{' ? 1 : it == ']' || it == '}' ? -1 : 0;
        deepest = std::max( deepest, depth );
    }
    return deepest;
}

Json parseText( std::string_view text ) {
    if( depthOf( text ) <= maxJsonDepth ) {
        return Json::parse( text, nullptr, false );
    }
    const auto withinDepth = []( int depth, Json::parse_event_t, Json& ) {
        return depth <= maxJsonDepth;
    };
    return Json::parse( text, withinDepth, false );
}

//! True if `rest` starts with a valid JSON escape sequence that is not half of a surrogate pair.
bool isValidEscape( std::string_view rest ) {
    constexpr std::string_view known = "\"\\/bfnrtu";
    if( rest.size() < 2 || known.find( rest[1] ) == std::string_view::npos ) {
        return false;
    }
    // \ud800 to \udfff: surrogates, which may be unpaired.
    const bool isSurrogate =
        rest[1] == 'u' && rest.size() > 3 && ( rest[2] == 'd' || rest[2] == 'D' ) && rest[3] > '7';
    return !isSurrogate;
}

//! Replaces bytes outside ASCII, and the backslash of invalid escapes and of surrogates, by '?'.
std::string replaceInvalidText( std::string_view text ) {
    std::string out( text );
    for( std::size_t n = 0; n < out.size(); ++n ) {
        const bool isEscape = out[n] == '\\';
        const bool valid = isEscape ? isValidEscape( std::string_view( out ).substr( n ) )
                                    : static_cast<unsigned char>( out[n] ) < firstNonAscii;
        if( !valid ) {
            out[n] = '?';
        } else if( isEscape ) {
            ++n;
        }
    }
    return out;
}

//! Parses the store's response. Invalid text in one object makes the whole response invalid JSON;
//! it is then replaced, so that the other objects can be used.
Json parseResponse( std::string_view text ) {
    auto out = parseText( text );
    return out.is_discarded() ? parseText( replaceInvalidText( text ) ) : out;
}

//! The value of a field; nullopt if it is absent or not an unsigned integer.
std::optional<std::uint64_t> numberOf( const Json& in, const char* name ) {
    const auto it = in.find( name );
    if( it == in.end() || !it->is_number_unsigned() ) {
        return std::nullopt;
    }
    return it->get<std::uint64_t>();
}

std::optional<StoreObject> readObject( const Json& in ) {
    if( !in.is_object() || !in.contains( "metadata" ) || !in["metadata"].is_object() ) {
        return std::nullopt;
    }
    const auto& metadata = in["metadata"];
    const auto name = metadata.find( "name" );
    if( name == metadata.end() || !name->is_string() ) {
        return std::nullopt;
    }
    StoreObject out;
    out.name = name->get<std::string>();
    out.revision = numberOf( metadata, "revision" ).value_or( 0 );
    out.created = numberOf( metadata, "created" ).value_or( 0 );
    out.spec = in.contains( "specification" ) ? in["specification"].dump() : "null";
    return out;
}

} // namespace

std::string listPath( std::string_view kind, std::string_view after, ListAge age ) {
    std::string out = "/objects/";
    out += kind;
    char separator = '?';
    if( age == ListAge::secondsOld ) {
        out += "?isStale=1";
        separator = '&';
    }
    if( !after.empty() ) {
        out += separator;
        out += "after=";
        out += after;
    }
    return out;
}

std::string watchPath( std::string_view kind, std::uint64_t revision, Millis wait ) {
    std::string out = "/objects/";
    out += kind;
    out += "?watch=" + std::to_string( revision );
    out += "&waitMs=" + std::to_string( wait.count() );
    return out;
}

std::string objectPath( std::string_view kind, std::string_view name ) {
    std::string out = "/objects/";
    out += kind;
    out += '/';
    out += name;
    return out;
}

std::string quarantineName( const decide::Quarantine& quarantine ) {
    const bool ofPart = quarantine.kind == decide::PoisonKind::part;
    return ( ofPart ? std::string( partNamePrefix ) : "" ) +
           decide::fingerprintText( quarantine.fingerprint ) + "-" +
           std::to_string( quarantine.times );
}

std::optional<decide::Quarantine> partQuarantineOf( std::string_view name ) {
    if( !name.starts_with( partNamePrefix ) ) {
        return std::nullopt;
    }
    name.remove_prefix( partNamePrefix.size() );
    const auto dash = name.find( '-' );
    const auto fingerprint = decide::parseFingerprint( name.substr( 0, dash ) );
    if( !fingerprint || dash == std::string_view::npos ) {
        return std::nullopt;
    }
    decide::Quarantine out;
    out.kind = decide::PoisonKind::part;
    out.fingerprint = *fingerprint;
    const auto number = name.substr( dash + 1 );
    const auto* end = number.data() + number.size();
    const auto [ptr, ec] = std::from_chars( number.data(), end, out.times );
    return ec == std::errc() && ptr == end ? std::optional( out ) : std::nullopt;
}

std::string encodeQuarantine( const decide::Quarantine& quarantine, WallMillis now ) {
    const Json out{
        { "metadata", { { "name", quarantineName( quarantine ) } } },
        { "specification",
          { { "fingerprint", decide::fingerprintText( quarantine.fingerprint ) },
            { "times", quarantine.times },
            { "kind", quarantine.kind == decide::PoisonKind::part ? kindPart : kindContent },
            { "untilMs", now + quarantine.holdMs } } } };
    return out.dump();
}

std::optional<decide::Quarantine> readQuarantine( const StoreObject& object, WallMillis now,
                                                  std::string& problem ) {
    try {
        const auto in = Json::parse( object.spec );
        const auto text = in.at( "fingerprint" ).get<std::string>();
        const auto fingerprint = decide::parseFingerprint( text );
        const auto until = in.at( "untilMs" ).get<WallMillis>();
        decide::Quarantine out;
        out.times = in.at( "times" ).get<int>();
        const bool ofPart = in.value( "kind", std::string( kindContent ) ) == kindPart;
        out.kind = ofPart ? decide::PoisonKind::part : decide::PoisonKind::content;
        const auto longest = ( ofPart ? decide::partQuarantineDuration( out.times )
                                      : decide::quarantineDuration( out.times ) )
                                 .count();
        if( !fingerprint || out.times < 1 ) {
            problem = "fingerprint or times out of range: " + text;
            return std::nullopt;
        }
        out.fingerprint = *fingerprint;
        out.holdMs = std::min( until - now, longest );
        return out;
    } catch( const Json::exception& ex ) {
        problem = ex.what();
        return std::nullopt;
    }
}

std::string encodeObject( const StoreObject& object ) {
    const Json out{ { "metadata", { { "name", object.name } } },
                    { "specification", Json::parse( object.spec, nullptr, false ) } };
    return out.dump();
}

std::optional<std::uint64_t> readEra( std::string_view text ) {
    std::uint64_t out = 0;
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars( text.data(), end, out );
    if( ec != std::errc() || ptr != end ) {
        return std::nullopt;
    }
    return out;
}

std::optional<StorePage> readPage( std::string_view json ) {
    const auto in = parseResponse( json );
    const auto revision = in.is_object() ? numberOf( in, "timestamp" ) : std::nullopt;
    if( !revision || !in.contains( "items" ) || !in["items"].is_array() ) {
        return std::nullopt;
    }
    StorePage out;
    out.revision = *revision;
    out.more = in.contains( "morePages" ) && in["morePages"] == true;
    for( const auto& it : in["items"] ) {
        if( auto object = readObject( it ) ) {
            out.objects.push_back( std::move( *object ) );
        }
    }
    return out;
}

std::optional<StoreEvents> readEvents( std::string_view json ) {
    const auto in = parseResponse( json );
    const auto revision = in.is_object() ? numberOf( in, "timestamp" ) : std::nullopt;
    if( !revision || !in.contains( "events" ) || !in["events"].is_array() ) {
        return std::nullopt;
    }
    StoreEvents out;
    out.revision = *revision;
    for( const auto& it : in["events"] ) {
        if( !it.is_object() || !it.contains( "object" ) ) {
            continue;
        }
        if( auto object = readObject( it["object"] ) ) {
            const bool gone = it.contains( "isGone" ) && it["isGone"] == true;
            out.events.push_back( { std::move( *object ), gone } );
        }
    }
    return out;
}

} // namespace coursehead::platform
