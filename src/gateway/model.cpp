// SPDX-License-Identifier: BSL-1.0
#include "gateway/model.hpp"

#include <algorithm>

namespace coursehead::gateway {

const ModelSpec* EngineSpec::find( std::string_view model ) const {
    const auto it = std::find_if( models.begin(), models.end(),
                                  [model]( const ModelSpec& spec ) { return spec.name == model; } );
    return it == models.end() ? nullptr : &*it;
}

} // namespace coursehead::gateway
