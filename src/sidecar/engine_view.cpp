// SPDX-License-Identifier: BSL-1.0
#include "sidecar/engine_view.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::sidecar {

namespace {

//! Time over which admitted requests are counted. Models in occasional use are requested every few
//! seconds.
constexpr Millis requestRateWindow{ 8000 };
//! Time over which prompt reading is counted; gateways smooth the demand that they report alike.
constexpr Millis workRateWindow{ 2000 };

bool holdsModel( const gateway::EngineReport& report, std::string_view model ) {
    return std::any_of( report.residents.begin(), report.residents.end(),
                        [model]( const auto& it ) { return it.model == model; } );
}

bool contains( const std::vector<std::string>& names, std::string_view name ) {
    return std::find( names.begin(), names.end(), name ) != names.end();
}

} // namespace

EngineView::ReportChanges EngineView::applyReport( gateway::EngineReport report, MonoTime now ) {
    ReportChanges out;
    out.restarted = gateway::isOlderStart( m_report.born, report.born );
    if( out.restarted ) {
        resetForRestart();
    }
    for( const auto& it : report.residents ) {
        if( !holdsModel( m_report, it.model ) ) {
            m_loadedAt[it.model] = m_report.residents.empty() ? MonoTime{} : now;
        }
    }
    for( const auto& it : m_report.residents ) {
        if( !holdsModel( report, it.model ) ) {
            out.droppedModels.push_back( it.model );
        }
    }
    if( report.residents.empty() ) {
        out.startedEmpty = !m_reported;
        out.lostModels = std::exchange( m_lastResidentModels, {} );
    } else {
        m_lastResidentModels.clear();
        for( const auto& it : report.residents ) {
            m_lastResidentModels.push_back( { it.model, usageOf( it.model, now ).copies } );
        }
    }
    m_reported = true;
    m_report = std::move( report );
    removeFinishedUnloads( m_unloads, m_report, now );
    return out;
}

void EngineView::resetForRestart() {
    m_loadedAt.clear();
    m_admittedRequests.clear();
    m_admittedWork.clear();
    m_adapterUsage.clear();
    m_unloads.clear();
    m_retiring.clear();
}

bool EngineView::mostGatewaysConnected() const {
    constexpr double minConnectedShare = 0.8;
    int gateways = 1;
    for( const auto& peer : m_peers ) {
        gateways = std::max( gateways, peer->gatewayCount );
    }
    return static_cast<double>( m_peers.size() ) >= minConnectedShare * gateways;
}

Usage EngineView::usageOf( const std::string& model, MonoTime now ) const {
    Usage out;
    for( const auto& peer : m_peers ) {
        const auto found = peer->demand.find( model );
        if( found != peer->demand.end() ) {
            out.perS += found->second.perS;
            out.copies = std::max( out.copies, found->second.copies );
            out.running += found->second.running;
        }
    }
    const auto admitted = m_admittedRequests.find( model );
    if( admitted != m_admittedRequests.end() && !mostGatewaysConnected() ) {
        out.perS = std::max( out.perS, admitted->second.perS( now ) * std::max( out.copies, 1 ) );
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
    const auto admittedWork = m_admittedWork.find( model );
    const bool useAdmittedWork = admittedWork != m_admittedWork.end() && !mostGatewaysConnected();
    return useAdmittedWork ? std::max( out, admittedWork->second.perS( now ) * copies ) : out;
}

ResidencyState EngineView::residencyState( MonoTime now ) const {
    ResidencyState out;
    out.engine = &*m_spec;
    out.report = &m_report;
    for( const auto& it : m_report.residents ) {
        out.models.emplace( it.model, usageOf( it.model, now ) );
    }
    out.retiring = m_retiring;
    out.retiringSince = m_retiringSince;
    out.unloads = m_unloads;
    out.adapters = m_adapterUsage;
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
    return nextStep( residencyState( now ), required, now ).kind == StepKind::ready;
}

bool EngineView::hasWeights( std::string_view model ) const {
    return contains( m_report.inMemory, model ) || contains( m_report.onDisk, model );
}

void EngineView::noteUse( const RequiredModel& required, MonoTime now ) {
    if( !required.adapter.empty() ) {
        m_adapterUsage[adapterKey( required.model, required.adapter )].lastUsed = now;
    }
}

void EngineView::noteAdmitted( const std::string& model, double workMs, MonoTime now ) {
    m_admittedRequests.try_emplace( model, requestRateWindow ).first->second.note( 1, now );
    m_admittedWork.try_emplace( model, workRateWindow ).first->second.note( workMs, now );
}

void EngineView::noteDemand( const gateway::DemandUpdate& update, MonoTime now ) {
    for( const auto& it : update.models ) {
        for( const auto& adapter : it.adaptersUsed ) {
            m_adapterUsage[adapterKey( it.model, adapter )].lastUsed = now;
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
