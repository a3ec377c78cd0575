// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_LOG_HPP_INCLUDED
#define COURSEHEAD_KERNEL_LOG_HPP_INCLUDED

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

//! Logging: one line of key=value pairs for each event.
namespace coursehead::log {

//! One pair of a log line; the value is quoted when it holds spaces, quotes or equals signs.
struct Field {
    Field( std::string_view fieldKey, std::string_view text ) : key( fieldKey ), value( text ) {}
    Field( std::string_view fieldKey, const char* text ) : key( fieldKey ), value( text ) {}
    Field( std::string_view fieldKey, std::int64_t number )
        : key( fieldKey ), value( std::to_string( number ) ) {}

    std::string_view key;
    std::string value;
};

//! A number that may have a fraction, as a field's text.
std::string decimal( double number );

//! Sets the level (debug, info, warn, error) and the fields that open every line.
void setUp( std::string_view level, std::string_view role, std::string_view vm );

//! The same, to standard output through a bounded queue and a thread of its own: a reader that
//! does not keep up loses the oldest lines, and never holds the process up.
void setUpBounded( std::string_view level, std::string_view role, std::string_view vm );

void debug( std::string_view event, std::initializer_list<Field> fields );
void info( std::string_view event, std::initializer_list<Field> fields );
void warn( std::string_view event, std::initializer_list<Field> fields );
void error( std::string_view event, std::initializer_list<Field> fields );

//! The text of a line without its timestamp, for tests.
std::string formatLine( std::string_view event, std::initializer_list<Field> fields );

} // namespace coursehead::log

#endif // COURSEHEAD_KERNEL_LOG_HPP_INCLUDED
