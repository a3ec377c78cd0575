// SPDX-License-Identifier: BSL-1.0
#include "agent/wanted.hpp"

#include <algorithm>

namespace coursehead::agent {

using ledger::Item;
using ledger::ItemKind;

namespace {

Item adapterItem( const config::Adapter& adapter, const config::Model& model ) {
    return { ItemKind::adapter, adapter.name, model.version, model.name };
}

//! Collects the wanted items without duplicates.
class Collector {
public:
    explicit Collector( const config::State& state ) : m_state( state ) {}

    void addModel( std::string_view name, bool waiting ) {
        if( const auto* model = config::findByName( m_state.models, name ) ) {
            add(
                { modelItem( *model ), config::bytesPerAccelerator( *model ), model->accelerators },
                waiting );
        }
    }

    //! Adds the adapter and the model that it needs.
    void addAdapter( std::string_view name, bool waiting ) {
        const auto* adapter = config::findByName( m_state.adapters, name );
        const auto* model =
            adapter == nullptr ? nullptr : config::findByName( m_state.models, adapter->model );
        if( model != nullptr ) {
            addModel( model->name, waiting );
            add( { adapterItem( *adapter, *model ), adapter->memory, 0 }, waiting );
        }
    }

    std::vector<ledger::Wanted>& items() { return m_items; }

private:
    void add( const ledger::Footprint& footprint, bool waiting ) {
        for( auto& it : m_items ) {
            if( it.footprint.item == footprint.item ) {
                it.waiting = it.waiting || waiting;
                return;
            }
        }
        m_items.push_back( { footprint, waiting, false } );
    }

    const config::State& m_state;
    std::vector<ledger::Wanted> m_items;
};

//! True when the item's model has another version in the configuration.
bool isOutdated( const config::State& state, const Item& item ) {
    const auto& name = item.kind == ItemKind::model ? item.name : item.model;
    const auto* model = config::findByName( state.models, name );
    return model != nullptr && model->version != item.version;
}

} // namespace

Item modelItem( const config::Model& model ) {
    return { ItemKind::model, model.name, model.version, "" };
}

std::vector<ledger::Wanted> wantedItems( const config::State& state,
                                         std::span<const peer::Target> waiting,
                                         const peer::PlanTargets& plan,
                                         const ledger::Ledger& ledger ) {
    Collector out( state );
    for( const auto& it : waiting ) {
        if( it.adapter.empty() ) {
            out.addModel( it.name, true );
        } else {
            out.addAdapter( it.adapter, true );
        }
    }
    for( const auto& it : plan.items ) {
        if( it.kind == "adapter" ) {
            out.addAdapter( it.name, false );
        } else {
            out.addModel( it.name, false );
        }
    }
    for( auto& it : out.items() ) {
        const auto& name = it.footprint.item.name;
        it.spare = std::find( plan.spares.begin(), plan.spares.end(), name ) != plan.spares.end();
    }
    for( const auto& it : ledger.charges ) {
        const auto& item = it.footprint.item;
        if( !isOutdated( state, item ) ) {
            continue;
        }
        if( item.kind == ItemKind::model ) {
            out.addModel( item.name, false );
        } else {
            out.addAdapter( item.name, false );
        }
    }
    return std::move( out.items() );
}

} // namespace coursehead::agent
