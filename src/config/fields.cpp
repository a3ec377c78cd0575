// SPDX-License-Identifier: BSL-1.0
#include "config/fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>

namespace coursehead::config {

namespace {

struct Unit {
    std::string_view suffix;
    std::uint64_t bytes;
};
constexpr std::array<Unit, 4> units{ {
    { "TiB", 1ULL << 40U },
    { "GiB", 1ULL << 30U },
    { "MiB", 1ULL << 20U },
    { "KiB", 1ULL << 10U },
} };
constexpr std::uint64_t maxBytes = 1ULL << 50U;
constexpr std::size_t maxNameLength = 128;
constexpr double maxWeight = 1e6;

bool parseNumber( std::string_view text, std::uint64_t& out ) {
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars( text.data(), end, out );
    return !text.empty() && ec == std::errc() && ptr == end;
}

template <auto Member, typename T>
std::string setBytes( T& object, std::string_view text ) {
    return parseBytes( text, object.*Member ) ? "" : "a size such as 8GiB or 512MiB";
}

template <auto Member, typename T>
std::string showBytes( const T& object ) {
    return formatBytes( object.*Member );
}

template <auto Member, std::uint64_t Low, std::uint64_t High, typename T>
std::string setNumber( T& object, std::string_view text ) {
    std::uint64_t n = 0;
    if( !parseNumber( text, n ) || n < Low || n > High ) {
        return "a whole number from " + std::to_string( Low ) + " to " + std::to_string( High );
    }
    object.*Member = static_cast<std::uint32_t>( n );
    return {};
}

template <auto Member, typename T>
std::string showNumber( const T& object ) {
    return std::to_string( object.*Member );
}

template <auto Member, typename T>
std::string setName( T& object, std::string_view text ) {
    if( text.empty() || text.size() > maxNameLength ) {
        return "a name of 1 to " + std::to_string( maxNameLength ) + " characters";
    }
    object.*Member = std::string( text );
    return {};
}

template <auto Member, typename T>
std::string showText( const T& object ) {
    return object.*Member;
}

template <auto Member, typename T>
std::string setFlag( T& object, std::string_view text ) {
    if( text != "true" && text != "false" ) {
        return "true or false";
    }
    object.*Member = text == "true";
    return {};
}

template <auto Member, typename T>
std::string showFlag( const T& object ) {
    return object.*Member ? "true" : "false";
}

template <auto Member>
std::string setWeight( Weights& object, std::string_view text ) {
    const std::string copy( text );
    char* end = nullptr;
    const double n = std::strtod( copy.c_str(), &end );
    if( copy.empty() || *end != '\0' || !( n >= 0.0 && n <= maxWeight ) ) {
        return "a decimal from 0 to 1000000";
    }
    object.*Member = n;
    return {};
}

template <auto Member>
std::string showWeight( const Weights& object ) {
    std::array<char, 32> buf{};
    const auto [end, ec] = std::to_chars( buf.data(), buf.data() + buf.size(), object.*Member );
    return ec == std::errc() ? std::string( buf.data(), end ) : std::string();
}

} // namespace

bool parseBytes( std::string_view text, std::uint64_t& out ) {
    std::uint64_t unit = 1;
    for( const auto& it : units ) {
        if( text.ends_with( it.suffix ) ) {
            text.remove_suffix( it.suffix.size() );
            unit = it.bytes;
            break;
        }
    }
    std::uint64_t n = 0;
    if( !parseNumber( text, n ) || n > maxBytes / unit ) {
        return false;
    }
    out = n * unit;
    return true;
}

std::string formatBytes( std::uint64_t bytes ) {
    for( const auto& it : units ) {
        if( bytes >= it.bytes && bytes % it.bytes == 0 ) {
            return std::to_string( bytes / it.bytes ) + std::string( it.suffix );
        }
    }
    return std::to_string( bytes );
}

namespace Detail {

template <>
std::span<const Field<Model>> fields<Model>() {
    static constexpr std::array<Field<Model>, 6> table{ {
        { "memory", setBytes<&Model::memory>, showBytes<&Model::memory> },
        { "kv", setBytes<&Model::kv>, showBytes<&Model::kv> },
        { "accelerators", setNumber<&Model::accelerators, 1, 64>,
          showNumber<&Model::accelerators> },
        { "replicas", setNumber<&Model::replicas, 0, 1000>, showNumber<&Model::replicas> },
        { "version", setName<&Model::version>, showText<&Model::version> },
        { "class", setName<&Model::requestClass>, showText<&Model::requestClass> },
    } };
    return table;
}

template <>
std::span<const Field<Adapter>> fields<Adapter>() {
    static constexpr std::array<Field<Adapter>, 2> table{ {
        { "model", setName<&Adapter::model>, showText<&Adapter::model> },
        { "memory", setBytes<&Adapter::memory>, showBytes<&Adapter::memory> },
    } };
    return table;
}

template <>
std::span<const Field<ServiceDefinition>> fields<ServiceDefinition>() {
    using S = ServiceDefinition;
    static constexpr std::array<Field<S>, 2> table{ {
        { "repeatable", setFlag<&S::repeatable>, showFlag<&S::repeatable> },
        { "class", setName<&S::requestClass>, showText<&S::requestClass> },
    } };
    return table;
}

template <>
std::span<const Field<Upstream>> fields<Upstream>() {
    using U = Upstream;
    static constexpr std::array<Field<U>, 4> table{ {
        { "accelerators", setNumber<&U::accelerators, 0, 64>, showNumber<&U::accelerators> },
        { "memory", setBytes<&U::memory>, showBytes<&U::memory> },
        { "checks_orders", setFlag<&U::checksOrders>, showFlag<&U::checksOrders> },
        { "order_lateness_ms", setNumber<&U::orderLatenessMs, 0, 600000>,
          showNumber<&U::orderLatenessMs> },
    } };
    return table;
}

template <>
std::span<const Field<RequestClass>> fields<RequestClass>() {
    using C = RequestClass;
    static constexpr std::array<Field<C>, 3> table{ {
        { "first_token_ms", setNumber<&C::firstTokenMs, 1, 3600000>, showNumber<&C::firstTokenMs> },
        { "between_tokens_ms", setNumber<&C::betweenTokensMs, 1, 60000>,
          showNumber<&C::betweenTokensMs> },
        { "priority", setNumber<&C::priority, 0, 9>, showNumber<&C::priority> },
    } };
    return table;
}

template <>
std::span<const Field<Weights>> fields<Weights>() {
    static constexpr std::array<Field<Weights>, 2> table{ {
        { "attainment", setWeight<&Weights::attainment>, showWeight<&Weights::attainment> },
        { "moves", setWeight<&Weights::moves>, showWeight<&Weights::moves> },
    } };
    return table;
}

} // namespace Detail

} // namespace coursehead::config
