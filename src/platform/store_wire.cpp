// SPDX-License-Identifier: BSL-1.0
#include "platform/store_wire.hpp"

#include "http/target.hpp"
#include "platform/json_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace coursehead::platform {

namespace {

//! Begin of the names of objects that are about a prompt part.
constexpr std::string_view partNamePrefix = "part-";
constexpr std::string_view kindPart = "part";
constexpr std::string_view kindContent = "content";

using Json = nlohmann::json;

constexpr std::string_view notReadable =
    "not valid JSON, nested too deeply, or with a number that no type holds";

//! The text of an object's name; empty if it has none.
std::string_view nameTextOf( std::string_view object ) {
    const auto members = splitObject( object );
    const auto metadata = members ? splitObject( valueOf( *members, "metadata" ) ) : std::nullopt;
    return metadata ? valueOf( *metadata, "name" ) : std::string_view();
}

bool isNumber( std::string_view text ) {
    return !text.empty() && text.find_first_not_of( "+-.0123456789Ee" ) == std::string_view::npos;
}

//! The bytes of an object's name, to list what follows it: unlike `StoreObject::name` they may be
//! no valid text. Empty if the object has none.
std::string listedName( std::string_view object ) {
    const auto name = nameTextOf( object );
    const bool isPlainText =
        name.size() >= 2 && name.front() == '"' && name.find( '\\' ) == std::string_view::npos;
    return isPlainText ? std::string( name.substr( 1, name.size() - 2 ) )
                       : parseText( name ).value_or( "" );
}

//! Reads a field of the metadata that is 0 if it is absent.
std::uint64_t readRevision( const Json& metadata, const char* name, std::string& problem ) {
    const auto it = metadata.find( name );
    if( it == metadata.end() ) {
        return 0;
    }
    if( !it->is_number_unsigned() ) {
        problem = std::string( name ) + " = " + it->dump() + ": expected a whole number, 0 or more";
        return 0;
    }
    return it->get<std::uint64_t>();
}

//! Reads an object; nullopt if it has no name.
std::optional<StoreObject> readObject( std::string_view text ) {
    StoreObject out;
    const auto in = parseJson( text );
    if( in.is_discarded() ) {
        auto name = parseText( nameTextOf( text ) );
        if( !name ) {
            return std::nullopt;
        }
        out.name = std::move( *name );
        out.problem = notReadable;
        return out;
    }
    if( !in.is_object() || !in.contains( "metadata" ) || !in["metadata"].is_object() ) {
        return std::nullopt;
    }
    const auto& metadata = in["metadata"];
    const auto name = metadata.find( "name" );
    if( name == metadata.end() || !name->is_string() ) {
        return std::nullopt;
    }
    out.name = name->get<std::string>();
    out.revision = readRevision( metadata, "revision", out.problem );
    out.created = readRevision( metadata, "created", out.problem );
    out.spec = in.contains( "specification" ) ? in["specification"].dump() : "null";
    return out;
}

//! Throws InvalidField if a field is missing or invalid.
decide::Quarantine quarantineOf( const Json& in, WallMillis now ) {
    const auto text = requireText( in, "fingerprint" );
    const auto fingerprint = decide::parseFingerprint( text );
    if( !fingerprint ) {
        throw InvalidField( "fingerprint", text, "up to 16 hexadecimal digits" );
    }
    const bool ofPart = in.contains( "kind" ) && requireText( in, "kind" ) == kindPart;
    const auto until =
        requireWhole( in, "untilMs", WallMillis{ 0 }, std::numeric_limits<WallMillis>::max(),
                      "a whole number, 0 or more" );
    decide::Quarantine out;
    out.kind = ofPart ? decide::PoisonKind::part : decide::PoisonKind::content;
    out.times = requireWhole( in, "times", 1, std::numeric_limits<int>::max(),
                              "a whole number, 1 or more" );
    out.fingerprint = *fingerprint;
    const auto longest = ofPart ? decide::partQuarantineDuration( out.times )
                                : decide::quarantineDuration( out.times );
    out.holdMs = std::min( until - now, longest.count() );
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
        out += "after=" + http::encodeComponent( after );
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
    out += '/' + http::encodeComponent( name );
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
    if( !object.problem.empty() ) {
        problem = object.problem;
        return std::nullopt;
    }
    const auto in = parseJson( object.spec );
    if( !in.is_object() ) {
        problem = "not a JSON object";
        return std::nullopt;
    }
    try {
        return quarantineOf( in, now );
    } catch( const InvalidField& ex ) {
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
    const auto members = splitObject( json );
    const auto revision =
        members ? parseUnsigned( valueOf( *members, "timestamp" ) ) : std::nullopt;
    const auto items = revision ? splitArray( valueOf( *members, "items" ) ) : std::nullopt;
    if( !items ) {
        return std::nullopt;
    }
    StorePage out;
    out.revision = *revision;
    out.more = valueOf( *members, "morePages" ) == "true";
    for( const auto& it : *items ) {
        auto object = readObject( it );
        const bool isReadable = object && object->problem.empty();
        auto name = isReadable ? object->name : listedName( it );
        if( !name.empty() ) {
            out.lastName = std::move( name );
        } else if( const auto number = nameTextOf( it ); isNumber( number ) ) {
            out.lastNumber = number;
        }
        if( object ) {
            out.objects.push_back( std::move( *object ) );
        }
    }
    return out;
}

std::optional<StoreEvents> readEvents( std::string_view json ) {
    const auto members = splitObject( json );
    const auto revision =
        members ? parseUnsigned( valueOf( *members, "timestamp" ) ) : std::nullopt;
    const auto events = revision ? splitArray( valueOf( *members, "events" ) ) : std::nullopt;
    if( !events ) {
        return std::nullopt;
    }
    StoreEvents out;
    out.revision = *revision;
    for( const auto& it : *events ) {
        const auto event = splitObject( it );
        auto object = event ? readObject( valueOf( *event, "object" ) ) : std::nullopt;
        if( object ) {
            const bool gone = valueOf( *event, "isGone" ) == "true";
            out.events.push_back( { std::move( *object ), gone } );
        }
    }
    return out;
}

} // namespace coursehead::platform
