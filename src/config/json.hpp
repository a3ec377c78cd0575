// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_JSON_HPP_INCLUDED
#define COURSEHEAD_CONFIG_JSON_HPP_INCLUDED

#include "coursehead/config/head.hpp"

#include <nlohmann/json.hpp>

//! The JSON format of the stored objects. A missing field of the state's types gets its default, so
//! that an older process can read what a newer one wrote.
namespace coursehead::config {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( Model, name, memory, kv, accelerators, replicas,
                                                 version, requestClass )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( Adapter, name, model, memory )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( ServiceDefinition, name, repeatable, requestClass )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( Upstream, name, accelerators, memory, checksOrders,
                                                 orderLatenessMs )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( RequestClass, name, firstTokenMs, betweenTokensMs,
                                                 priority )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( Weights, attainment, moves )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( ClaimSlot, slot, vm, seen )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( State, revision, models, adapters, services,
                                                 upstreams, classes, slots, weights )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( FieldValue, field, value )

NLOHMANN_JSON_SERIALIZE_ENUM( Action, {
                                          { Action::create, "create" },
                                          { Action::set, "set" },
                                          { Action::remove, "delete" },
                                      } )
NLOHMANN_JSON_SERIALIZE_ENUM( Kind, {
                                        { Kind::model, "model" },
                                        { Kind::adapter, "adapter" },
                                        { Kind::service, "service" },
                                        { Kind::upstream, "upstream" },
                                        { Kind::requestClass, "class" },
                                        { Kind::weights, "weights" },
                                        { Kind::slot, "slot" },
                                    } )

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( Change, action, kind, name, fields )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( ChangeSet, writeId, author, changes )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( TailEntry, revision, set )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( Head, revision, snapshotRevision, tail )

namespace Detail {

//! Parses JSON text into `out`; false, with `out` unchanged, when the text is invalid.
template <typename T>
bool parseInto( std::string_view text, T& out ) {
    const auto parsed = nlohmann::json::parse( text, nullptr, false );
    if( parsed.is_discarded() || !parsed.is_object() ) {
        return false;
    }
    try {
        out = parsed.get<T>();
        return true;
    } catch( const nlohmann::json::exception& ) {
        return false;
    }
}

} // namespace Detail

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_JSON_HPP_INCLUDED
