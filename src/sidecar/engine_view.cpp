// SPDX-License-Identifier: BSL-1.0
#include "sidecar/engine_view.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::sidecar {

namespace {

//! Time over which admitted requests are counted. Models in occasional use are requested every few
//! seconds.
constexpr Millis useMemory{ 8000 };
//! Time over which prompt reading is counted; gateways smooth the demand that they report alike.
constexpr Millis workMemory{ 2000 };

bool holds( const gateway::EngineReport& report, std::string_view model ) {
    return std::any_of( report.residents.begin(), report.residents.end(),
                        [model]( const auto& it ) { return it.model == model; } );
}

bool contains( const std::vector<std::string>& names, std::string_view name ) {
    return std::find( names.begin(), names.end(), name ) != names.end();
}

} // namespace

EngineView::News EngineView::take( gateway::EngineReport report, MonoTime now ) {
    News out;
    out.restarted = gateway::isOlderStart( m_report.born, report.born );
    if( out.restarted ) {
        forgetStart();
    }
    for( const auto& it : report.residents ) {
        if( !holds( m_report, it.model ) ) {
            m_loadedAt[it.model] = m_report.residents.empty() ? MonoTime{} : now;
        }
    }
    for( const auto& it : m_report.residents ) {
        if( !holds( report, it.model ) ) {
            out.dropped.push_back( it.model );
        }
    }
    if( report.residents.empty() ) {
        out.startedEmpty = !m_reported;
        out.lost = std::exchange( m_lastHeld, {} );
    } else {
        m_lastHeld.clear();
        for( const auto& it : report.residents ) {
            m_lastHeld.push_back( { it.model, useOf( it.model, now ).copies } );
        }
    }
    m_reported = true;
    m_report = std::move( report );
    removeFinishedUnloads( m_unloads, m_report, now );
    return out;
}

void EngineView::forgetStart() {
    m_loadedAt.clear();
    m_letIn.clear();
    m_letInWork.clear();
    m_adapterUses.clear();
    m_unloads.clear();
    m_retiring.clear();
}

bool EngineView::hearsAll() const {
    constexpr double most = 0.8;
    int gateways = 1;
    for( const auto& peer : m_peers ) {
        gateways = std::max( gateways, peer->gateways );
    }
    return static_cast<double>( m_peers.size() ) >= most * gateways;
}

Usage EngineView::useOf( const std::string& model, MonoTime now ) const {
    Usage out;
    for( const auto& peer : m_peers ) {
        const auto found = peer->demand.find( model );
        if( found != peer->demand.end() ) {
            out.perS += found->second.perS;
            out.copies = std::max( out.copies, found->second.copies );
            out.running += found->second.running;
        }
    }
    const auto letIn = m_letIn.find( model );
    if( letIn != m_letIn.end() && !hearsAll() ) {
        out.perS = std::max( out.perS, letIn->second.perS( now ) * std::max( out.copies, 1 ) );
    }
    const auto loaded = m_loadedAt.find( model );
    out.loadedAt = loaded == m_loadedAt.end() ? MonoTime{} : loaded->second;
    return out;
}

double EngineView::workPerS( const std::string& model, MonoTime now ) const {
    double out = 0;
    int copies = 1;
    for( const auto& peer : m_peers ) {
        const auto it = peer->demand.find( model );
        if( it != peer->demand.end() ) {
            out += it->second.workPerS;
            copies = std::max( copies, it->second.copies );
        }
    }
    const auto own = m_letInWork.find( model );
    const bool known = own != m_letInWork.end() && !hearsAll();
    return known ? std::max( out, own->second.perS( now ) * copies ) : out;
}

ResidencyState EngineView::holdings( MonoTime now ) const {
    ResidencyState out;
    out.engine = &*m_spec;
    out.report = &m_report;
    for( const auto& it : m_report.residents ) {
        out.models.emplace( it.model, useOf( it.model, now ) );
    }
    out.retiring = m_retiring;
    out.retiringSince = m_retiringSince;
    out.unloads = m_unloads;
    out.adapters = m_adapterUses;
    for( const auto& peer : m_peers ) {
        for( const auto& [model, demand] : peer->demand ) {
            for( const auto& adapter : demand.adaptersUsed ) {
                ++out.adapters[adapterKey( model, adapter )].running;
            }
        }
    }
    return out;
}

bool EngineView::isResident( const RequiredModel& required, MonoTime now ) const {
    return nextStep( holdings( now ), required, now ).kind == StepKind::ready;
}

bool EngineView::hasWeights( std::string_view model ) const {
    return contains( m_report.inMemory, model ) || contains( m_report.onDisk, model );
}

void EngineView::noteUse( const RequiredModel& required, MonoTime now ) {
    if( !required.adapter.empty() ) {
        m_adapterUses[adapterKey( required.model, required.adapter )].lastUsed = now;
    }
}

void EngineView::noteLetIn( const std::string& model, double workMs, MonoTime now ) {
    m_letIn.try_emplace( model, useMemory ).first->second.note( 1, now );
    m_letInWork.try_emplace( model, workMemory ).first->second.note( workMs, now );
}

void EngineView::noteDemand( const gateway::DemandUpdate& news, MonoTime now ) {
    for( const auto& it : news.models ) {
        for( const auto& adapter : it.adaptersUsed ) {
            m_adapterUses[adapterKey( it.model, adapter )].lastUsed = now;
        }
    }
}

void EngineView::noteUnload( const Step& step, MonoTime now ) {
    m_unloads.push_back( { step.model, step.adapter, now } );
}

bool EngineView::setRetiring( const std::string& model, MonoTime now ) {
    if( model == m_retiring ) {
        return false;
    }
    log::info( "retiring", { { "model", model }, { "before", m_retiring } } );
    m_retiring = model;
    m_retiringSince = now;
    return true;
}

std::vector<gateway::Resident> EngineView::availableResidents() const {
    return sidecar::availableResidents( m_report.residents, m_unloads, m_retiring );
}

} // namespace coursehead::sidecar
