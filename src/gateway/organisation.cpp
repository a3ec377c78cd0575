// SPDX-License-Identifier: BSL-1.0
#include "gateway/organisation.hpp"

#include <openssl/sha.h>

#include <algorithm>

namespace coursehead::gateway {

KeyDigest digestOf( std::string_view key ) {
    static_assert( KeyDigest::size == SHA256_DIGEST_LENGTH );
    KeyDigest out;
    SHA256( reinterpret_cast<const unsigned char*>( key.data() ), key.size(), out.bytes.data() );
    return out;
}

double chargeOf( const QuotaLimit& limit, std::optional<std::int64_t> tokens ) {
    if( limit.unit == QuotaUnit::requests ) {
        return 1;
    }
    return static_cast<double>(
        std::max<std::int64_t>( tokens.value_or( limit.defaultTokens ), 0 ) );
}

} // namespace coursehead::gateway
