// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_SETTINGS_HPP_INCLUDED
#define COURSEHEAD_KERNEL_SETTINGS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

//! Settings from command-line flags and environment variables, checked at start.
namespace coursehead::settings {

//! The format of a setting's value.
enum class Kind {
    text,     //!< any non-empty text
    optional, //!< any text, including an empty one
    name,     //!< letters, digits, '-', '_' and '.'
    number,   //!< a whole number within [low, high]
    share,    //!< a decimal within [0, 1]
    address,  //!< IP:PORT
    url,      //!< http://IP:PORT
    logLevel, //!< debug, info, warn or error
    upstream, //!< runner or service
    flag,     //!< true or false
};

//! A setting: `--name VALUE`, or COURSEHEAD_NAME in the environment. The flag takes precedence.
struct Spec {
    std::string_view name;
    Kind kind = Kind::text;
    std::string_view defaultValue; //!< empty: the setting is required (except Kind::optional)
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

    //! Returns a line of `name=value` per setting; the values of secrets (names ending in -token)
    //! are hidden.
    std::string print() const;

private:
    std::map<std::string, std::string, std::less<>> m_values;
};

//! The result of parsing the command line, with all problems found.
struct Parsed {
    Settings settings{ {} };
    std::vector<std::string> problems;
    bool printSettings = false;
    bool helpShown = false;
};

//! Returns the value of an environment variable; nullptr if it is not set.
using Environment = const char* (*)( const char* name );

//! Parses and checks the settings of a role. `arguments` excludes the names of the program and the
//! role.
Parsed parse( std::string_view role, std::span<const Spec> specs,
              std::span<const std::string> arguments, Environment environment );

//! The environment variable of a setting: "COURSEHEAD_MAX_BODY" for "max-body".
std::string environmentName( std::string_view name );

//! The parts of an IP:PORT address.
struct HostPort {
    std::string host;
    int port = 0;
};
//! Splits IP:PORT or http://IP:PORT; the port is -1 if the text is malformed.
HostPort splitAddress( std::string_view text );

} // namespace coursehead::settings

#endif // COURSEHEAD_KERNEL_SETTINGS_HPP_INCLUDED
