// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_TESTS_STANDIN_HPP_INCLUDED
#define COURSEHEAD_TESTS_STANDIN_HPP_INCLUDED

#include "coursehead/http/message.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>

//! Stand-ins for the external systems, for tests and the demo only. PUT /faults with a JSON object
//! sets their faults at run time; GET /faults returns that object.
namespace standin {

using Json = nlohmann::json;
using Options = std::map<std::string, std::string, std::less<>>;

//! Answers the requests to one stand-in.
using Handler = std::function<coursehead::http::Response( const coursehead::http::Request& )>;

//! The active faults of a stand-in, shared by its threads.
class Faults {
public:
    void set( Json faults );
    Json all() const;
    bool isOn( const char* name ) const;
    //! The value of the numeric fault `name`; 0 when absent.
    std::int64_t number( const char* name ) const;
    //! Takes one occurrence of a counted fault; returns false when none is left.
    bool consume( const char* name );

private:
    mutable std::mutex m_mutex;
    Json m_faults = Json::object();
};

//! Answers /faults; passes all other requests to `handler`.
Handler withFaults( std::shared_ptr<Faults> faults, Handler handler );

coursehead::http::Response reply( int status, const Json& body );
//! A response that is cut off before its end, so that the caller cannot know the outcome.
coursehead::http::Response cutResponse();
std::string option( const Options& options, std::string_view name, std::string_view fallback );
std::int64_t numberOption( const Options& options, std::string_view name, std::int64_t fallback );

Handler makeStore( const Options& options );
Handler makeEngine( const Options& options );
Handler makeService( const Options& options );
Handler makeWeights( const Options& options );

} // namespace standin

#endif // COURSEHEAD_TESTS_STANDIN_HPP_INCLUDED
