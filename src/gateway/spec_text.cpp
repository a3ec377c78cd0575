// SPDX-License-Identifier: BSL-1.0
#include "gateway/spec_text.hpp"

#include "kernel/hash.hpp"

namespace coursehead::gateway {

EncodedSpecPtr encodeSpec( const EngineSpec& spec ) {
    SpecAnswer news;
    news.engine = spec;
    news.key = hash64( encode( Message( news ) ) );
    auto out = std::make_shared<EncodedSpec>();
    out->key = news.key;
    out->message = encode( Message( std::move( news ) ) );
    return out;
}

} // namespace coursehead::gateway
