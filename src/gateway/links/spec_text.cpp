// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/spec_text.hpp"

#include "kernel/hash.hpp"

namespace coursehead::gateway {

EncodedSpecPtr encodeSpec( const EngineSpec& spec ) {
    SpecAnswer answer;
    answer.engine = spec;
    answer.key = hash64( encode( Message( answer ) ) );
    auto out = std::make_shared<EncodedSpec>();
    out->key = answer.key;
    out->message = encode( Message( std::move( answer ) ) );
    return out;
}

} // namespace coursehead::gateway
