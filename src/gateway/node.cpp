// SPDX-License-Identifier: BSL-1.0
#include "gateway/node.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Sidecars repeat their report every 500 ms at the latest; after three missed ones the upstream's
//! entry in the store is the better source.
constexpr Millis reportLife{ 1500 };

const Resident* findModel( const std::vector<Resident>& residents, std::string_view model ) {
    const auto it = std::find_if( residents.begin(), residents.end(),
                                  [model]( const Resident& r ) { return r.model == model; } );
    return it == residents.end() ? nullptr : &*it;
}

} // namespace

bool Node::reportFresh( MonoTime now ) const {
    return report && now - reportAt < reportLife;
}

const std::vector<Resident>& Node::residents( MonoTime now ) const {
    return reportFresh( now ) ? report->residents : upstream.residents;
}

bool Node::holdsModel( std::string_view model, MonoTime now ) const {
    return findModel( residents( now ), model ) != nullptr;
}

bool Node::holdsAdapter( std::string_view model, std::string_view adapter, MonoTime now ) const {
    const auto* resident = findModel( residents( now ), model );
    return resident != nullptr && std::find( resident->adapters.begin(), resident->adapters.end(),
                                             adapter ) != resident->adapters.end();
}

std::set<std::string> Node::modelsOfInterest( MonoTime now ) const {
    std::set<std::string> out;
    for( const auto& it : residents( now ) ) {
        out.insert( it.model );
    }
    for( const auto& it : running ) {
        out.insert( it.first.substr( 0, it.first.find( '/' ) ) );
    }
    return out;
}

int Node::runningOf( std::string_view key ) const {
    const auto it = running.find( key );
    return it == running.end() ? 0 : it->second;
}

std::vector<std::string> Node::adaptersInUse( const std::string& model ) const {
    const auto prefix = model + "/";
    std::set<std::string> out;
    const auto add = [&]( const std::string& key ) {
        if( key.starts_with( prefix ) ) {
            out.insert( key.substr( prefix.size() ) );
        }
    };
    std::for_each( adaptersUsed.begin(), adaptersUsed.end(), add );
    for( const auto& it : running ) {
        add( it.first );
    }
    return { out.begin(), out.end() };
}

} // namespace coursehead::gateway
