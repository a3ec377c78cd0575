// SPDX-License-Identifier: BSL-1.0
#include "operator/evaluate.hpp"

#include <algorithm>

namespace coursehead::op {

using config::ChangeSet;
using config::CommitStatus;
using config::Kind;
using config::State;

namespace {

//! The number of copies of a model or an adapter.
struct Copies {
    std::size_t ready = 0;
    std::size_t loading = 0;
};

Copies countCopies( const std::vector<entry::AgentView>& agents, std::string_view kind,
                    std::string_view name ) {
    Copies out;
    for( const auto& agent : agents ) {
        for( const auto& it : agent.status.items ) {
            if( agent.up && agent.reported && it.kind == kind && it.name == name ) {
                ++( it.ready ? out.ready : out.loading );
            }
        }
    }
    return out;
}

std::string loadState( const Copies& copies ) {
    if( copies.ready > 0 ) {
        return "loaded";
    }
    return copies.loading > 0 ? "loading" : "absent";
}

Table showObjects( const State& state, Kind kind, const std::vector<entry::AgentView>& agents ) {
    Table out;
    out.title = config::kindName( kind );
    const bool loadable = kind == Kind::model || kind == Kind::adapter;
    for( const auto& objectName : config::namesOf( state, kind ) ) {
        const auto fields = config::fieldsOf( state, kind, objectName );
        if( out.columns.empty() ) {
            out.columns.emplace_back( "name" );
            for( const auto& it : fields ) {
                out.columns.push_back( it.field );
            }
            if( loadable ) {
                out.columns.emplace_back( "state" );
                out.columns.emplace_back( "copies" );
            }
        }
        std::vector<std::string> row{ objectName };
        for( const auto& it : fields ) {
            row.push_back( it.value );
        }
        if( loadable ) {
            const auto copies = countCopies( agents, config::kindName( kind ), objectName );
            row.push_back( loadState( copies ) );
            row.push_back( std::to_string( copies.ready ) );
        }
        out.rows.push_back( std::move( row ) );
    }
    return out;
}

std::string boolText( bool flag ) {
    return flag ? "true" : "false";
}

Table showVms( const std::vector<entry::AgentView>& agents ) {
    Table out;
    out.title = "vm";
    out.columns = { "name",  "hall",   "region",  "kind",   "upstream", "up",
                    "state", "orders", "running", "queued", "items",    "revision" };
    for( const auto& it : agents ) {
        const bool leaving = it.status.draining || it.vm.state == platform::VmState::leaving;
        out.rows.push_back(
            { it.vm.name, it.vm.hall, it.vm.region,
              it.vm.role == platform::VmRole::service ? "service" : "runner", it.status.upstream,
              boolText( it.up && it.reported ), leaving ? "leaving" : "live",
              boolText( it.status.mayOrder ), std::to_string( it.status.running ),
              std::to_string( it.status.queued ), std::to_string( it.status.items.size() ),
              std::to_string( it.status.revision ) } );
    }
    return out;
}

Table showRevision( const State& state ) {
    return { "revision", { "revision" }, { { std::to_string( state.revision ) } } };
}

//! Keeps the rows that meet every condition; false, with an error text, when a condition's field is
//! not a column.
bool filter( Table& table, const std::vector<Condition>& where, std::string& errorText ) {
    for( const auto& condition : where ) {
        const auto column =
            std::find( table.columns.begin(), table.columns.end(), condition.field );
        if( column == table.columns.end() && !table.columns.empty() ) {
            errorText = "field '" + condition.field + "': '" + table.title + "' has no such field";
            return false;
        }
        const auto columnIndex = static_cast<std::size_t>( column - table.columns.begin() );
        const bool keepEqual = condition.comparison == "=";
        std::erase_if( table.rows, [&]( const auto& row ) {
            return ( row[columnIndex] == condition.value ) != keepEqual;
        } );
    }
    return true;
}

std::string placementReason( const entry::AgentView& agent, const State& state,
                             const config::Model& model ) {
    const auto& status = agent.status;
    for( const auto& it : status.items ) {
        if( it.kind == "model" && it.name == model.name ) {
            const std::string version = "version " + it.version;
            return ( it.ready ? "loaded, " : "loading, " ) + version;
        }
    }
    if( !agent.up || !agent.reported ) {
        return "not here: the agent can't be reached";
    }
    if( status.draining ) {
        return "not here: the VM is leaving";
    }
    const auto* upstream = config::findByName( state.upstreams, status.upstream );
    if( upstream == nullptr ) {
        return "not here: upstream '" + status.upstream + "' is not configured";
    }
    if( upstream->accelerators < model.accelerators ||
        upstream->memory < config::bytesPerAccelerator( model ) ) {
        return "can't be here: it needs " + std::to_string( model.accelerators ) + " x " +
               config::formatBytes( config::bytesPerAccelerator( model ) );
    }
    if( !status.mayOrder ) {
        return "not here: the agent gives no orders (no epoch from the store yet)";
    }
    return status.freeBytes >= config::bytesPerAccelerator( model )
               ? "not here: not wanted here, there is room"
               : "not here: no free room, others would have to go";
}

class Evaluator {
public:
    Evaluator( const StatementContext& world, const CommandOptions& options )
        : m_world( world ), m_options( options ) {
        m_baseRevision = world.state()->revision;
        m_result.revision = m_baseRevision;
    }

    CommandResult run( const std::vector<LocatedStatement>& statements ) {
        for( const auto& it : statements ) {
            m_currentStatement = &it;
            std::visit( [this]( const auto& statement ) { evaluate( statement ); }, it.statement );
            if( m_result.status != CommandStatus::ok ) {
                return std::move( m_result );
            }
        }
        if( m_inTransaction ) {
            fail( CommandStatus::rejected, "'begin' without 'commit': nothing was changed" );
        }
        return std::move( m_result );
    }

private:
    void fail( CommandStatus status, std::string message ) {
        m_result.status = status;
        m_result.message =
            "line " + std::to_string( m_currentStatement->line ) + ": " + std::move( message );
    }

    void evaluate( const Show& statement ) {
        const auto state = m_world.state();
        Table table;
        Kind kind = Kind::model;
        if( statement.kind == "vms" || statement.kind == "vm" ) {
            table = showVms( m_world.agents() );
        } else if( statement.kind == "revision" ) {
            table = showRevision( *state );
        } else if( config::kindFromName( statement.kind, kind ) ) {
            table = showObjects( *state, kind, m_world.agents() );
        } else {
            fail( CommandStatus::rejected, "kind '" + statement.kind + "': there is no such kind" );
            return;
        }
        std::string errorText;
        if( !filter( table, statement.where, errorText ) ) {
            fail( CommandStatus::rejected, errorText );
            return;
        }
        m_result.tables.push_back( std::move( table ) );
    }

    void evaluate( const Why& statement ) {
        const auto state = m_world.state();
        const auto* model = config::findByName( state->models, statement.name );
        if( statement.kind != "model" || model == nullptr ) {
            fail( CommandStatus::rejected,
                  statement.kind + " '" + statement.name + "': there is no such model" );
            return;
        }
        Table table;
        table.title = "why";
        table.columns = { "vm", "hall", "reason" };
        for( const auto& it : m_world.agents() ) {
            if( it.vm.role == platform::VmRole::runner ) {
                table.rows.push_back(
                    { it.vm.name, it.vm.hall, placementReason( it, *state, *model ) } );
            }
        }
        for( auto& it : m_world.planReasons( statement.name ) ) {
            table.rows.push_back( { "plan", "", std::move( it ) } );
        }
        m_result.tables.push_back( std::move( table ) );
    }

    void evaluate( const Edit& statement ) {
        config::Change change;
        change.name = statement.name;
        change.fields = statement.fields;
        change.action = statement.verb == "create" ? config::Action::create
                        : statement.verb == "set"  ? config::Action::set
                                                   : config::Action::remove;
        if( !config::kindFromName( statement.kind, change.kind ) || change.kind == Kind::slot ) {
            fail( CommandStatus::rejected, "kind '" + statement.kind + "': there is no such kind" );
            return;
        }
        if( change.kind == Kind::weights ) {
            change.name.clear();
        } else if( change.name.empty() ) {
            fail( CommandStatus::rejected, "expected a name behind '" + statement.kind + "'" );
            return;
        }
        m_pendingChanges.push_back( std::move( change ) );
        if( !m_inTransaction ) {
            commitPending();
        }
    }

    void evaluate( const Begin& ) {
        if( m_inTransaction ) {
            fail( CommandStatus::rejected, "'begin' inside 'begin'" );
        }
        m_inTransaction = true;
    }

    void evaluate( const Commit& ) {
        if( !m_inTransaction ) {
            fail( CommandStatus::rejected, "'commit' without 'begin'" );
            return;
        }
        m_inTransaction = false;
        commitPending();
    }

    void commitPending() {
        const ChangeSet set{ m_world.makeWriteId(), m_options.author,
                             std::move( m_pendingChanges ) };
        m_pendingChanges.clear();
        const auto done = m_options.dryRun ? config::dryRun( *m_world.state(), set )
                                           : m_world.commit( set, m_baseRevision );
        switch( done.status ) {
        case CommitStatus::committed:
            m_result.revision = done.revision;
            m_baseRevision = std::max( m_baseRevision, done.revision );
            m_result.message = m_options.dryRun
                                   ? "valid; would be revision " + std::to_string( done.revision )
                                   : "committed as revision " + std::to_string( done.revision );
            return;
        case CommitStatus::rejected:
            return fail( CommandStatus::rejected, done.detail );
        case CommitStatus::conflict:
            return fail( CommandStatus::conflict, done.detail );
        case CommitStatus::unavailable:
            return fail( CommandStatus::unavailable,
                         "the store can't be reached; nothing was changed: " + done.detail );
        case CommitStatus::unknown:
            return fail( CommandStatus::unknown, "whether write " + set.writeId +
                                                     " took effect is not known: " + done.detail );
        }
    }

    const StatementContext& m_world;
    const CommandOptions& m_options;
    CommandResult m_result;
    config::Revision m_baseRevision = 0;
    std::vector<config::Change> m_pendingChanges;
    bool m_inTransaction = false;
    const LocatedStatement* m_currentStatement = nullptr;
};

} // namespace

CommandResult runText( std::string_view text, const StatementContext& world,
                       const CommandOptions& options ) {
    const auto parsed = parse( text );
    if( !parsed.ok ) {
        CommandResult out;
        out.status = CommandStatus::syntax;
        out.revision = world.state()->revision;
        out.syntax = parsed.error;
        out.message = describe( parsed.error );
        return out;
    }
    return Evaluator( world, options ).run( parsed.statements );
}

} // namespace coursehead::op
