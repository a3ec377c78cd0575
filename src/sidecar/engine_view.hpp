// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_ENGINE_VIEW_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_ENGINE_VIEW_HPP_INCLUDED

#include "decide/model_restore.hpp"
#include "decide/smoothed_rate.hpp"
#include "sidecar/question.hpp"
#include "sidecar/residency.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coursehead::sidecar {

//! What a sidecar knows of its engine: what it is built like, its last report, what was ordered
//! since, and how much gateways use what it holds.
class EngineView {
public:
    //! `peers` are the connected gateways; they outlive this.
    explicit EngineView( const std::set<PeerPtr>& peers ) : m_peers( peers ) {}

    void setSpec( gateway::EngineSpec spec ) { m_spec = std::move( spec ); }
    const std::optional<gateway::EngineSpec>& spec() const noexcept { return m_spec; }

    //! What a new report shows beside its contents.
    struct News {
        std::vector<std::string> dropped; //!< models that are no longer there
        bool startedEmpty = false;        //!< the first report, and the engine holds nothing
        bool restarted = false;           //!< it is another start, under the same id or not
        //! What the engine held before it came back empty.
        std::vector<decide::PreviousModel> lost;
    };
    News take( gateway::EngineReport report, MonoTime now );
    const gateway::EngineReport& report() const noexcept { return m_report; }

    //! How much all gateways use a model, by what those that are connected ask for anywhere. Where
    //! only some are, it is what is let in here, at each of its copies.
    Usage useOf( const std::string& model, MonoTime now ) const;
    //! Reading of a model's prompts that all gateways ask for, in milliseconds a second.
    double workPerS( const std::string& model, MonoTime now ) const;
    //! What a decision on the next order rests on. Needs the spec.
    ResidencyState holdings( MonoTime now ) const;
    bool isResident( const RequiredModel& required, MonoTime now ) const;
    bool hasWeights( std::string_view model ) const;

    void noteUse( const RequiredModel& required, MonoTime now );
    //! A request for a model is let in, whose prompt takes this long to read.
    void noteLetIn( const std::string& model, double workMs, MonoTime now );
    void noteDemand( const gateway::DemandUpdate& news, MonoTime now );
    //! An unload was ordered, and may be carried out.
    void noteUnload( const Step& step, MonoTime now );
    //! The model that gateways are told is no longer here; empty: none. True when it is another.
    bool setRetiring( const std::string& model, MonoTime now );
    //! What requests may still be sent for.
    std::vector<gateway::Resident> availableResidents() const;

private:
    //! True when most of the gateways that are about are connected.
    bool hearsAll() const;
    //! Nothing that was ordered of, or used at, the engine's earlier start holds.
    void forgetStart();

    const std::set<PeerPtr>& m_peers;
    std::optional<gateway::EngineSpec> m_spec;
    gateway::EngineReport m_report;
    bool m_reported = false; //!< the engine has reported once
    std::vector<decide::PreviousModel> m_lastHeld;
    std::map<std::string, MonoTime> m_loadedAt;
    std::map<std::string, decide::SmoothedRate> m_letIn;     //!< requests, by model
    std::map<std::string, decide::SmoothedRate> m_letInWork; //!< reading in milliseconds, likewise
    std::map<std::string, Usage, std::less<>> m_adapterUses;
    std::vector<PendingUnload> m_unloads; //!< ordered, and not yet known to be done
    std::string m_retiring;               //!< model that is about to make way, or empty
    MonoTime m_retiringSince;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_ENGINE_VIEW_HPP_INCLUDED
