// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_LOG_HPP_INCLUDED
#define COURSEHEAD_KERNEL_LOG_HPP_INCLUDED

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

//! Logging: one line of key=value pairs per event.
namespace coursehead::log {

//! A key=value pair of a log line. A value with spaces, quotes or equals signs is quoted.
struct Field {
    Field( std::string_view fieldKey, std::string_view text ) : key( fieldKey ), value( text ) {}
    Field( std::string_view fieldKey, const char* text ) : key( fieldKey ), value( text ) {}
    Field( std::string_view fieldKey, std::int64_t number )
        : key( fieldKey ), value( std::to_string( number ) ) {}

    std::string_view key;
    std::string value;
};

//! Formats a decimal number as the value of a field.
std::string decimal( double number );

//! Logs to standard error. Sets the level (debug, info, warn, error) and the `role` and `vm` fields
//! of every line.
void setUp( std::string_view level, std::string_view role, std::string_view vm );

//! Logs to standard output through a bounded queue and a separate thread. If the reader of the
//! output is too slow, the oldest lines are dropped and the process is not blocked.
void setUpBounded( std::string_view level, std::string_view role, std::string_view vm );

void debug( std::string_view event, std::initializer_list<Field> fields );
void info( std::string_view event, std::initializer_list<Field> fields );
void warn( std::string_view event, std::initializer_list<Field> fields );
void error( std::string_view event, std::initializer_list<Field> fields );

//! The event and the fields of a line, without the prefix that every line has.
std::string formatLine( std::string_view event, std::initializer_list<Field> fields );

} // namespace coursehead::log

#endif // COURSEHEAD_KERNEL_LOG_HPP_INCLUDED
