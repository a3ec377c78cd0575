// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_SETTINGS_HPP_INCLUDED
#define COURSEHEAD_KERNEL_SETTINGS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

//! Settings from flags and environment variables, checked at start.
namespace coursehead::settings {

//! What a setting's text must be.
enum class Kind {
    text,     //!< any non-empty text
    optional, //!< any text, may be empty
    name,     //!< letters, digits, '-', '_' and '.'
    number,   //!< a whole number within [low, high]
    share,    //!< a decimal within [0, 1]
    address,  //!< IP:PORT
    url,      //!< http://IP:PORT
    logLevel, //!< debug, info, warn or error
    upstream, //!< runner or service
    flag,     //!< true or false
};

//! One setting: `--name VALUE`, or COURSEHEAD_NAME in the environment; the flag wins.
struct Spec {
    std::string_view name;
    Kind kind = Kind::text;
    std::string_view defaultValue; //!< empty: the setting is required (unless Kind::optional)
    std::string_view help;
    std::int64_t low = 0;
    std::int64_t high = 0;
};

//! The checked settings of a process.
class Settings {
public:
    explicit Settings( std::map<std::string, std::string, std::less<>> values )
        : m_values( std::move( values ) ) {}

    const std::string& text( std::string_view name ) const;
    std::int64_t number( std::string_view name ) const;
    double share( std::string_view name ) const;
    bool flag( std::string_view name ) const;

    //! Lines of `name=value`, with secrets (names ending in -token) hidden.
    std::string print() const;

private:
    std::map<std::string, std::string, std::less<>> m_values;
};

//! What the command line asks for, or every problem found in it.
struct Parsed {
    Settings settings{ {} };
    std::vector<std::string> problems;
    bool printSettings = false;
    bool helpShown = false;
};

//! Looks a variable up in the environment; nullptr when unset.
using Environment = const char* (*)( const char* name );

//! Reads and checks the settings of one role; `arguments` excludes the program's and the role's
//! name.
Parsed parse( std::string_view role, std::span<const Spec> specs,
              std::span<const std::string> arguments, Environment environment );

//! The environment variable of a setting: "max-body" gives "COURSEHEAD_MAX_BODY".
std::string environmentName( std::string_view name );

//! Splits a checked IP:PORT.
struct HostPort {
    std::string host;
    int port = 0;
};
//! The parts of an IP:PORT or http://IP:PORT text; port -1 when it is malformed.
HostPort splitAddress( std::string_view text );

} // namespace coursehead::settings

#endif // COURSEHEAD_KERNEL_SETTINGS_HPP_INCLUDED
