// SPDX-License-Identifier: BSL-1.0
#include "decide/recall.hpp"

#include <algorithm>

namespace coursehead::decide {

std::optional<std::string>
takeNext( Recall& recall, const std::function<bool( std::string_view )>& isNear, double draw ) {
    auto& models = recall.models;
    std::erase_if( models, [&]( const FormerModel& it ) { return !isNear( it.model ); } );
    if( models.empty() ) {
        return std::nullopt;
    }
    const bool wanted = recall.everywhere;
    const auto first =
        std::stable_partition( models.begin(), models.end(), [wanted]( const FormerModel& it ) {
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
