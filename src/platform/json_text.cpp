// SPDX-License-Identifier: BSL-1.0
#include "platform/json_text.hpp"

#include <algorithm>
#include <charconv>

namespace coursehead::platform {

namespace {

using Json = nlohmann::json;

//! Copying and writing JSON uses stack for each level. The platform's own values have about 4.
constexpr int maxJsonDepth = 32;
constexpr unsigned char firstNonAscii = 0x80;
constexpr unsigned char firstPrintable = 0x20;
constexpr std::string_view whitespace = " \t\n\r";
constexpr std::string_view numberCharacters = "+-.0123456789Ee";
constexpr std::string_view replacementCharacter = "\xef\xbf\xbd";

//! Reads JSON text from its begin to its end, value by value.
class Scanner {
public:
    explicit Scanner( std::string_view text ) : m_text( text ) {}

    //! Reads this character, after whitespace; false if another one is next.
    bool read( char c ) {
        skipWhitespace();
        if( m_at >= m_text.size() || m_text[m_at] != c ) {
            return false;
        }
        ++m_at;
        return true;
    }
    bool atEnd() {
        skipWhitespace();
        return m_at == m_text.size();
    }
    //! Reads up to a delimiter, or to the end of the array or object that holds the value; empty if
    //! there is no value, or if it does not end.
    std::string_view readValue( char delimiter ) {
        skipWhitespace();
        const auto from = m_at;
        int depth = 0;
        for( ; m_at < m_text.size(); ++m_at ) {
            const char it = m_text[m_at];
            const bool closes = it == ']' || it == '}';
            if( depth == 0 && ( closes || it == delimiter ) ) {
                break;
            }
            depth += it == '[' || it == '{' ? 1 : closes ? -1 : 0;
            if( it == '"' ) {
                skipString();
            }
        }
        const auto value = m_text.substr( from, m_at - from );
        return value.substr( 0, value.find_last_not_of( whitespace ) + 1 );
    }

private:
    void skipWhitespace() {
        m_at = std::min( m_text.find_first_not_of( whitespace, m_at ), m_text.size() );
    }
    //! Moves to the end of the string that begins here.
    void skipString() {
        for( ++m_at; m_at < m_text.size() && m_text[m_at] != '"'; ++m_at ) {
            m_at += m_text[m_at] == '\\' ? 1 : 0;
        }
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

bool isString( std::string_view text ) {
    return text.size() >= 2 && text.front() == '"' && text.back() == '"';
}

//! True for an integer that 64 bits don't hold. JSON parsers turn it into a double.
bool exceedsInteger( std::string_view number ) {
    if( number.find_first_of( ".eE" ) != std::string_view::npos ) {
        return false;
    }
    const auto* end = number.data() + number.size();
    const bool isNegative = number.front() == '-';
    std::int64_t negative = 0;
    std::uint64_t positive = 0;
    const auto ec = isNegative ? std::from_chars( number.data(), end, negative ).ec
                               : std::from_chars( number.data(), end, positive ).ec;
    return ec == std::errc::result_out_of_range;
}

//! True if the text is nested too deeply, or holds an integer that is too large.
bool exceedsLimits( std::string_view text ) {
    int depth = 0;
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
        if( depth > maxJsonDepth ) {
            return true;
        }
        if( it == '-' || ( it >= '0' && it <= '9' ) ) {
            const auto end = std::min( text.find_first_not_of( numberCharacters, n ), text.size() );
            if( exceedsInteger( text.substr( n, end - n ) ) ) {
                return true;
            }
            n = end - 1;
        }
    }
    return false;
}

//! True if `rest` starts with an escape sequence of a surrogate, which may be unpaired.
bool isSurrogateEscape( std::string_view rest ) {
    return rest.size() > 3 && rest[0] == '\\' && rest[1] == 'u' &&
           ( rest[2] == 'd' || rest[2] == 'D' ) && rest[3] > '7';
}

//! Size of the character or escape sequence that `rest` begins with; 0 if it is outside printable
//! ASCII, invalid, or of a surrogate.
std::size_t validSize( std::string_view rest ) {
    constexpr std::string_view known = "\"\\/bfnrtu";
    const auto byte = static_cast<unsigned char>( rest.front() );
    if( byte >= firstNonAscii || byte < firstPrintable ) {
        return 0;
    }
    if( rest.front() != '\\' ) {
        return 1;
    }
    const bool isKnown = rest.size() > 1 && known.find( rest[1] ) != std::string_view::npos;
    return isKnown && !isSurrogateEscape( rest ) ? 2 : 0;
}

//! Replaces each invalid character or escape sequence by U+FFFD.
std::string replaceInvalidText( std::string_view text ) {
    constexpr std::size_t unicodeEscapeSize = 6;
    std::string out;
    while( !text.empty() ) {
        const auto valid = validSize( text );
        out += valid > 0 ? text.substr( 0, valid ) : replacementCharacter;
        const auto invalid = isSurrogateEscape( text ) ? unicodeEscapeSize : 1;
        text.remove_prefix( std::min( text.size(), valid > 0 ? valid : invalid ) );
    }
    return out;
}

} // namespace

std::optional<std::vector<JsonMember>> splitObject( std::string_view text ) {
    Scanner scanner( text );
    std::vector<JsonMember> out;
    if( !scanner.read( '{' ) ) {
        return std::nullopt;
    }
    bool more = !scanner.read( '}' );
    while( more ) {
        const auto key = scanner.readValue( ':' );
        if( !isString( key ) || !scanner.read( ':' ) ) {
            return std::nullopt;
        }
        const auto value = scanner.readValue( ',' );
        more = scanner.read( ',' );
        if( value.empty() || ( !more && !scanner.read( '}' ) ) ) {
            return std::nullopt;
        }
        out.push_back( { key.substr( 1, key.size() - 2 ), value } );
    }
    return scanner.atEnd() ? std::optional( std::move( out ) ) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitArray( std::string_view text ) {
    Scanner scanner( text );
    std::vector<std::string_view> out;
    if( !scanner.read( '[' ) ) {
        return std::nullopt;
    }
    bool more = !scanner.read( ']' );
    while( more ) {
        const auto value = scanner.readValue( ',' );
        more = scanner.read( ',' );
        if( value.empty() || ( !more && !scanner.read( ']' ) ) ) {
            return std::nullopt;
        }
        out.push_back( value );
    }
    return scanner.atEnd() ? std::optional( std::move( out ) ) : std::nullopt;
}

std::string_view valueOf( const std::vector<JsonMember>& members, std::string_view key ) {
    const auto it = std::find_if( members.rbegin(), members.rend(),
                                  [key]( const auto& member ) { return member.key == key; } );
    return it == members.rend() ? std::string_view() : it->value;
}

Json parseJson( std::string_view text ) {
    return exceedsLimits( text ) ? Json( Json::value_t::discarded )
                                 : Json::parse( text, nullptr, false );
}

std::optional<std::uint64_t> parseUnsigned( std::string_view text ) {
    std::uint64_t out = 0;
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars( text.data(), end, out );
    return ec == std::errc() && ptr == end ? std::optional( out ) : std::nullopt;
}

std::optional<std::string> parseText( std::string_view text ) {
    if( !isString( text ) ) {
        return std::nullopt;
    }
    auto out = Json::parse( text, nullptr, false );
    if( out.is_discarded() ) {
        out = Json::parse( replaceInvalidText( text ), nullptr, false );
    }
    return out.is_string() ? std::optional( out.get<std::string>() ) : std::nullopt;
}

InvalidField::InvalidField( std::string_view field, const Json& value, std::string_view expected )
    : std::runtime_error( std::string( field ) + " = " + value.dump() + ": expected " +
                          std::string( expected ) ) {}

std::string requireText( const Json& in, const char* field ) {
    const auto it = in.find( field );
    if( it == in.end() || !it->is_string() ) {
        throw InvalidField( field, it == in.end() ? Json() : *it, "a string" );
    }
    return it->get<std::string>();
}

} // namespace coursehead::platform
