// SPDX-License-Identifier: BSL-1.0
#include "coursehead/config/change.hpp"

#include "config/fields.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>

namespace coursehead::config {

namespace leaf = boost::leaf;

namespace {

struct KindNames {
    Kind kind;
    std::string_view singular;
    std::string_view plural;
};
constexpr std::array<KindNames, 7> kindNames{ {
    { Kind::model, "model", "models" },
    { Kind::adapter, "adapter", "adapters" },
    { Kind::service, "service", "services" },
    { Kind::upstream, "upstream", "upstreams" },
    { Kind::requestClass, "class", "classes" },
    { Kind::weights, "weights", "weights" },
    { Kind::slot, "slot", "slots" },
} };

constexpr std::size_t maxNameLength = 128;

leaf::error_id fail( const Change& change, std::string_view field, std::string_view value,
                     std::string message ) {
    return leaf::new_error( ConfigError{ change.kind, change.name, std::string( field ),
                                         std::string( value ), std::move( message ) } );
}

bool isValidName( std::string_view name ) {
    const auto allowed = []( char c ) {
        return std::isalnum( static_cast<unsigned char>( c ) ) != 0 || c == '-' || c == '_' ||
               c == '.' || c == '/';
    };
    return !name.empty() && name.size() <= maxNameLength &&
           std::all_of( name.begin(), name.end(), allowed );
}

template <typename T>
leaf::result<void> setFields( T& object, const Change& change ) {
    std::vector<std::string_view> seen;
    for( const auto& it : change.fields ) {
        if( std::find( seen.begin(), seen.end(), it.field ) != seen.end() ) {
            return fail( change, it.field, it.value, "the field is given twice" );
        }
        seen.push_back( it.field );
        const auto table = Detail::fields<T>();
        const auto row = std::find_if( table.begin(), table.end(), [&it]( const auto& field ) {
            return field.name == it.field;
        } );
        if( row == table.end() ) {
            return fail( change, it.field, it.value, "there is no such field" );
        }
        const std::string expected = row->set( object, it.value );
        if( !expected.empty() ) {
            return fail( change, it.field, it.value, "expected " + expected );
        }
    }
    return {};
}

template <typename T>
leaf::result<void> change( std::vector<T>& list, const Change& change ) {
    const auto at =
        std::lower_bound( list.begin(), list.end(), change.name,
                          []( const T& a, const std::string& b ) { return a.name < b; } );
    const bool exists = at != list.end() && at->name == change.name;
    if( change.action == Action::create ) {
        if( exists ) {
            return fail( change, "", "", "it exists already" );
        }
        if( !isValidName( change.name ) ) {
            return fail( change, "name", change.name,
                         "expected 1 to 128 letters, digits, '-', '_', '.' or '/'" );
        }
        T object;
        object.name = change.name;
        BOOST_LEAF_CHECK( setFields( object, change ) );
        list.insert( at, std::move( object ) );
        return {};
    }
    if( !exists ) {
        return fail( change, "", "", "it does not exist" );
    }
    if( change.action == Action::remove ) {
        list.erase( at );
        return {};
    }
    return setFields( *at, change );
}

leaf::result<void> changeSlot( State& state, const Change& change ) {
    constexpr std::size_t maxSlot = 4095;
    const bool numeric = !change.name.empty() && change.name.size() <= 4 &&
                         std::all_of( change.name.begin(), change.name.end(), []( char c ) {
                             return std::isdigit( static_cast<unsigned char>( c ) ) != 0;
                         } );
    if( !numeric || std::stoul( change.name ) > maxSlot ) {
        return fail( change, "name", change.name, "expected a slot number from 0 to 4095" );
    }
    std::uint64_t seen = 0;
    if( change.fields.size() != 2 || change.fields[0].field != "vm" ||
        change.fields[1].field != "seen" || !parseBytes( change.fields[1].value, seen ) ) {
        return fail( change, "vm", "", "expected exactly the fields vm and seen" );
    }
    const auto number = static_cast<std::uint32_t>( std::stoul( change.name ) );
    const auto at =
        std::lower_bound( state.slots.begin(), state.slots.end(), number,
                          []( const ClaimSlot& a, std::uint32_t b ) { return a.slot < b; } );
    if( at != state.slots.end() && at->slot == number ) {
        at->vm = change.fields[0].value;
        at->seen = seen;
    } else {
        state.slots.insert( at, ClaimSlot{ number, change.fields[0].value, seen } );
    }
    return {};
}

leaf::result<void> applyChange( State& state, const Change& it ) {
    switch( it.kind ) {
    case Kind::model:
        return change( state.models, it );
    case Kind::adapter:
        return change( state.adapters, it );
    case Kind::service:
        return change( state.services, it );
    case Kind::upstream:
        return change( state.upstreams, it );
    case Kind::requestClass:
        return change( state.classes, it );
    case Kind::weights:
        return setFields( state.weights, it );
    case Kind::slot:
        return changeSlot( state, it );
    }
    return {};
}

//! True when an empty upstream of at least one kind can hold a copy of the model, or when no
//! upstreams are configured.
bool fitsAnyUpstream( const State& state, const Model& model ) {
    if( state.upstreams.empty() ) {
        return true;
    }
    return std::any_of( state.upstreams.begin(), state.upstreams.end(), [&model]( const auto& it ) {
        return it.accelerators >= model.accelerators && it.memory >= bytesPerAccelerator( model );
    } );
}

leaf::result<void> checkModels( const State& state ) {
    for( const auto& it : state.models ) {
        const Change subject{ Action::set, Kind::model, it.name, {} };
        if( it.memory == 0 ) {
            return fail( subject, "memory", "0", "a model needs memory above 0" );
        }
        if( !fitsAnyUpstream( state, it ) ) {
            return fail( subject, "memory", formatBytes( bytesPerAccelerator( it ) ),
                         "no upstream has " + std::to_string( it.accelerators ) +
                             " accelerators of that much memory" );
        }
        if( it.requestClass != "standard" &&
            findByName( state.classes, it.requestClass ) == nullptr ) {
            return fail( subject, "class", it.requestClass, "there is no such class" );
        }
    }
    return {};
}

leaf::result<void> checkOtherKinds( const State& state ) {
    for( const auto& it : state.adapters ) {
        if( findByName( state.models, it.model ) == nullptr ) {
            return fail( { Action::set, Kind::adapter, it.name, {} }, "model", it.model,
                         "there is no such model" );
        }
    }
    for( const auto& it : state.services ) {
        if( it.requestClass != "standard" &&
            findByName( state.classes, it.requestClass ) == nullptr ) {
            return fail( { Action::set, Kind::service, it.name, {} }, "class", it.requestClass,
                         "there is no such class" );
        }
    }
    for( const auto& it : state.upstreams ) {
        if( it.accelerators > 0 && it.memory == 0 ) {
            return fail( { Action::set, Kind::upstream, it.name, {} }, "memory", "0",
                         "an upstream with accelerators needs memory above 0" );
        }
    }
    return {};
}

template <typename T>
std::vector<FieldValue> show( const T* object ) {
    std::vector<FieldValue> out;
    if( object == nullptr ) {
        return out;
    }
    for( const auto& it : Detail::fields<T>() ) {
        out.push_back( { std::string( it.name ), it.show( *object ) } );
    }
    return out;
}

template <typename T>
std::vector<std::string> names( const std::vector<T>& list ) {
    std::vector<std::string> out;
    out.reserve( list.size() );
    for( const auto& it : list ) {
        out.push_back( it.name );
    }
    return out;
}

} // namespace

std::string describe( const ConfigError& error ) {
    std::string out( kindName( error.kind ) );
    if( !error.name.empty() ) {
        out += " '" + error.name + "'";
    }
    if( !error.field.empty() ) {
        out += ", field '" + error.field + "' = '" + error.value + "'";
    }
    return out + ": " + error.message;
}

std::string_view kindName( Kind kind ) {
    for( const auto& it : kindNames ) {
        if( it.kind == kind ) {
            return it.singular;
        }
    }
    return "object";
}

bool kindFromName( std::string_view word, Kind& out ) {
    for( const auto& it : kindNames ) {
        if( it.singular == word || it.plural == word ) {
            out = it.kind;
            return true;
        }
    }
    return false;
}

leaf::result<State> apply( const State& state, const ChangeSet& set ) {
    State next = state;
    for( const auto& it : set.changes ) {
        BOOST_LEAF_CHECK( applyChange( next, it ) );
    }
    BOOST_LEAF_CHECK( checkModels( next ) );
    BOOST_LEAF_CHECK( checkOtherKinds( next ) );
    ++next.revision;
    return next;
}

bool overlaps( const ChangeSet& a, const ChangeSet& b ) {
    return std::any_of( a.changes.begin(), a.changes.end(), [&b]( const Change& changeOfA ) {
        return std::any_of(
            b.changes.begin(), b.changes.end(), [&changeOfA]( const Change& changeOfB ) {
                return changeOfA.kind == changeOfB.kind && changeOfA.name == changeOfB.name;
            } );
    } );
}

std::vector<FieldValue> fieldsOf( const State& state, Kind kind, std::string_view name ) {
    switch( kind ) {
    case Kind::model:
        return show( findByName( state.models, name ) );
    case Kind::adapter:
        return show( findByName( state.adapters, name ) );
    case Kind::service:
        return show( findByName( state.services, name ) );
    case Kind::upstream:
        return show( findByName( state.upstreams, name ) );
    case Kind::requestClass:
        return show( findByName( state.classes, name ) );
    case Kind::weights:
        return show( &state.weights );
    case Kind::slot:
        for( const auto& it : state.slots ) {
            if( std::to_string( it.slot ) == name ) {
                return { { "vm", it.vm }, { "seen", std::to_string( it.seen ) } };
            }
        }
        return {};
    }
    return {};
}

std::vector<std::string> namesOf( const State& state, Kind kind ) {
    switch( kind ) {
    case Kind::model:
        return names( state.models );
    case Kind::adapter:
        return names( state.adapters );
    case Kind::service:
        return names( state.services );
    case Kind::upstream:
        return names( state.upstreams );
    case Kind::requestClass:
        return names( state.classes );
    case Kind::weights:
        return { "weights" };
    case Kind::slot: {
        std::vector<std::string> out;
        for( const auto& it : state.slots ) {
            out.push_back( std::to_string( it.slot ) );
        }
        return out;
    }
    }
    return {};
}

} // namespace coursehead::config
