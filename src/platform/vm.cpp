// SPDX-License-Identifier: BSL-1.0
#include "coursehead/platform/vm.hpp"

#include "platform/json_text.hpp"

namespace coursehead::platform {

namespace {

bool readRole( const std::string& text, VmRole& out ) {
    if( text == "entry" ) {
        out = VmRole::entry;
    } else if( text == "runner" ) {
        out = VmRole::runner;
    } else if( text == "service" ) {
        out = VmRole::service;
    } else {
        return false;
    }
    return true;
}

} // namespace

bool readVm( const Object& object, Vm& out ) {
    constexpr int maxPort = 65535;
    const auto spec = parseJson( object.spec );
    if( !spec.is_object() ) {
        return false;
    }
    try {
        out.name = object.name;
        out.ip = spec.at( "ip" ).get<std::string>();
        out.port = requireWhole( spec, "port", 1, maxPort, "a port" );
        out.hall = spec.value( "hall", "" );
        out.region = spec.value( "region", "" );
        out.state = spec.value( "state", "live" ) == "live" ? VmState::live : VmState::leaving;
        return readRole( spec.at( "role" ).get<std::string>(), out.role );
    } catch( const nlohmann::json::exception& ) {
        return false;
    } catch( const InvalidField& ) {
        return false;
    }
}

} // namespace coursehead::platform
