// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_TESTS_STANDIN_HPP_INCLUDED
#define COURSEHEAD_TESTS_STANDIN_HPP_INCLUDED

#include "coursehead/http/message.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>

//! Small stand-ins for the outside systems, for tests and the demo only. Their faults are set at
//! run time by PUT /faults with a JSON object; GET /faults shows it.
namespace standin {

using Json = nlohmann::json;
using Options = std::map<std::string, std::string, std::less<>>;

//! A stand-in: answers a request.
using Handler = std::function<coursehead::http::Response( const coursehead::http::Request& )>;

//! The faults in force, shared by a stand-in's threads.
class Faults {
public:
    void set( Json faults );
    Json all() const;
    bool on( const char* name ) const;
    //! A number given as `name`; 0 when absent.
    std::int64_t number( const char* name ) const;
    //! Uses up one of a counted fault: true while its count is above 0.
    bool take( const char* name );

private:
    mutable std::mutex m_mutex;
    Json m_faults = Json::object();
};

//! Answers /faults; anything else goes to `handler`.
Handler withFaults( std::shared_ptr<Faults> faults, Handler handler );

coursehead::http::Response reply( int status, const Json& body );
//! An answer that breaks off before its end: the caller can't know what happened.
coursehead::http::Response cut();
std::string option( const Options& options, std::string_view name, std::string_view fallback );
std::int64_t numberOption( const Options& options, std::string_view name, std::int64_t fallback );

Handler makeStore( const Options& options );
Handler makeEngine( const Options& options );
Handler makeService( const Options& options );
Handler makeWeights( const Options& options );

} // namespace standin

#endif // COURSEHEAD_TESTS_STANDIN_HPP_INCLUDED
