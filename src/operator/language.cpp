// SPDX-License-Identifier: BSL-1.0
#include "coursehead/operator/language.hpp"

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>

#include <algorithm>

BOOST_FUSION_ADAPT_STRUCT( coursehead::op::Condition, field, comparison, value )
BOOST_FUSION_ADAPT_STRUCT( coursehead::op::Show, kind, where )
BOOST_FUSION_ADAPT_STRUCT( coursehead::op::Why, kind, name )
BOOST_FUSION_ADAPT_STRUCT( coursehead::op::Edit, verb, kind, name, fields )
BOOST_FUSION_ADAPT_STRUCT( coursehead::config::FieldValue, field, value )

namespace coursehead::op {

namespace x3 = boost::spirit::x3;

namespace {

constexpr std::size_t maxTextBytes = 1U << 20U;
constexpr std::size_t maxFoundLength = 20;

// --- grammar

const auto wordChar = x3::char_( "a-zA-Z0-9_./:+~-" );

template <typename T>
auto keyword( T text ) {
    return x3::lexeme[x3::lit( text ) >> !wordChar];
}

const auto spaces = x3::blank | x3::lexeme['#' >> *( x3::char_ - x3::eol )];

const x3::rule<class KindRule, std::string> kindWord = "a kind of object";
const auto kindWord_def = x3::lexeme[+wordChar];
const x3::rule<class NameRule, std::string> name = "a name";
const auto name_def = x3::lexeme[+wordChar];
const x3::rule<class FieldRule, std::string> fieldName = "a field's name";
const auto fieldName_def = x3::lexeme[+x3::char_( "a-zA-Z0-9_" )];
const x3::rule<class ValueRule, std::string> value = "a value";
const auto value_def =
    x3::lexeme['"' > *( x3::char_ - ( x3::lit( '"' ) | x3::eol ) ) > '"'] | x3::lexeme[+wordChar];
const x3::rule<class ComparisonRule, std::string> comparison = "'=' or '!='";
const auto comparison_def = x3::string( "!=" ) | x3::string( "=" );
const x3::rule<class AssignRule, config::FieldValue> assignment = "FIELD=VALUE";
const auto assignment_def = fieldName > x3::lit( '=' ) > value;
const x3::rule<class ConditionRule, Condition> condition = "a condition";
const auto condition_def = fieldName > comparison > value;

const x3::rule<class ShowRule, Show> show = "show";
const auto show_def = keyword( "show" ) > kindWord >
                      -( keyword( "where" ) > ( condition % keyword( "and" ) ) );
const x3::rule<class WhyRule, Why> why = "why";
const auto why_def = keyword( "why" ) > kindWord > name;
const x3::rule<class VerbRule, std::string> verb = "create, set or delete";
const auto verb_def =
    x3::lexeme[( x3::string( "create" ) | x3::string( "set" ) | x3::string( "delete" ) ) >>
               !wordChar];
const x3::rule<class EditRule, Edit> edit = "a change";
// "set weights moves=2" has no name: a word followed by '=' is a field.
const auto optionalName =
    ( &( x3::omit[name] >> !x3::lit( '=' ) ) >> name ) | x3::attr( std::string() );
const auto edit_def = verb > kindWord > optionalName > *assignment;

BOOST_SPIRIT_DEFINE( kindWord, name, fieldName, value, comparison, assignment, condition, show, why,
                     verb, edit )

const x3::rule<class StatementRule, Statement> statement = "a statement";
const auto statement_def = show | why | edit | ( keyword( "begin" ) >> x3::attr( Begin{} ) ) |
                           ( keyword( "commit" ) >> x3::attr( Commit{} ) );
BOOST_SPIRIT_DEFINE( statement )

// --- parser, statement by statement

using Iterator = std::string_view::const_iterator;

struct Position {
    std::size_t line = 1;
    std::size_t column = 1;
};

Position positionOf( std::string_view text, Iterator at ) {
    Position out;
    for( auto it = text.begin(); it != at; ++it ) {
        if( *it == '\n' ) {
            ++out.line;
            out.column = 1;
        } else {
            ++out.column;
        }
    }
    return out;
}

SyntaxError errorAt( std::string_view text, Iterator at, std::string expected ) {
    const auto where = positionOf( text, at );
    const auto end = std::find( at, text.end(), '\n' );
    const auto n = std::min<std::size_t>( maxFoundLength, static_cast<std::size_t>( end - at ) );
    return { where.line, where.column, std::move( expected ),
             n == 0 ? "the end of the line" : std::string( at, at + static_cast<long>( n ) ) };
}

//! Skips blanks, comments, line ends and semicolons.
void skipSeparators( Iterator& it, Iterator end ) {
    x3::parse( it, end, *( spaces | x3::eol | x3::lit( ';' ) ) );
}

bool atSeparator( Iterator& it, Iterator end ) {
    x3::parse( it, end, *spaces );
    return it == end || *it == '\n' || *it == '\r' || *it == ';';
}

} // namespace

ParsedText parse( std::string_view text ) {
    ParsedText out;
    auto it = text.begin();
    const auto end = text.end();
    if( text.size() > maxTextBytes ) {
        out.error = errorAt( text, it, "at most 1 MiB of text" );
        return out;
    }
    try {
        for( skipSeparators( it, end ); it != end; skipSeparators( it, end ) ) {
            const auto start = it;
            const auto where = positionOf( text, start );
            LocatedStatement located{ {}, where.line, where.column };
            if( !x3::phrase_parse( it, end, statement, spaces, located.statement ) ) {
                out.error =
                    errorAt( text, start, "show, why, create, set, delete, begin or commit" );
                return out;
            }
            if( !atSeparator( it, end ) ) {
                out.error = errorAt( text, it, "the end of the statement" );
                return out;
            }
            out.statements.push_back( std::move( located ) );
        }
    } catch( const x3::expectation_failure<Iterator>& ex ) {
        auto at = ex.where();
        x3::parse( at, end, *x3::blank );
        out.error = errorAt( text, at, ex.which() );
        return out;
    }
    out.ok = true;
    return out;
}

std::string describe( const SyntaxError& error ) {
    return "line " + std::to_string( error.line ) + ", column " + std::to_string( error.column ) +
           ": expected " + error.expected + ", found '" + error.found + "'";
}

} // namespace coursehead::op
