// SPDX-License-Identifier: BSL-1.0
#include "decide/model_restore.hpp"

#include <algorithm>

namespace coursehead::decide {

std::optional<std::string> takeNextModel( ModelRestore& modelRestore,
                                          const std::function<bool( std::string_view )>& isLocal,
                                          double randomUnit ) {
    auto& models = modelRestore.models;
    std::erase_if( models, [&]( const PreviousModel& it ) { return !isLocal( it.model ); } );
    if( models.empty() ) {
        return std::nullopt;
    }
    const bool preferBusy = modelRestore.allEngines;
    const auto preferredEnd = std::stable_partition(
        models.begin(), models.end(),
        [preferBusy]( const PreviousModel& it ) { return ( it.copies > 1 ) == preferBusy; } );
    const auto count = preferredEnd == models.begin()
                           ? models.size()
                           : static_cast<std::size_t>( preferredEnd - models.begin() );
    const auto index = std::min(
        static_cast<std::size_t>( randomUnit * static_cast<double>( count ) ), count - 1 );
    std::string out = models[index].model;
    models.erase( models.begin() + static_cast<std::ptrdiff_t>( index ) );
    return out;
}

} // namespace coursehead::decide
