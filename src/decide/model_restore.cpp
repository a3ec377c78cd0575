// SPDX-License-Identifier: BSL-1.0
#include "decide/model_restore.hpp"

#include <algorithm>

namespace coursehead::decide {

std::optional<std::string> takeNextModel( ModelRestore& modelRestore,
                                          const std::function<bool( std::string_view )>& isLocal,
                                          double draw ) {
    auto& models = modelRestore.models;
    std::erase_if( models, [&]( const PreviousModel& it ) { return !isLocal( it.model ); } );
    if( models.empty() ) {
        return std::nullopt;
    }
    const bool wanted = modelRestore.allEngines;
    const auto first =
        std::stable_partition( models.begin(), models.end(), [wanted]( const PreviousModel& it ) {
            return ( it.copies > 1 ) == wanted;
        } );
    const auto count = first == models.begin() ? models.size()
                                               : static_cast<std::size_t>( first - models.begin() );
    const auto at =
        std::min( static_cast<std::size_t>( draw * static_cast<double>( count ) ), count - 1 );
    std::string out = models[at].model;
    models.erase( models.begin() + static_cast<std::ptrdiff_t>( at ) );
    return out;
}

} // namespace coursehead::decide
