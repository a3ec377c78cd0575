// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CALLER_API_HPP_INCLUDED
#define COURSEHEAD_CALLER_API_HPP_INCLUDED

#include "caller/openai.hpp"
#include "coursehead/http/message.hpp"
#include "entry/call.hpp"

#include <atomic>
#include <memory>

//! The HTTP interface of an entry for callers.
namespace coursehead::caller {

struct ApiSettings {
    std::size_t maxSessions = 512;    //!< limit of requests in progress
    Millis defaultDeadline{ 120000 }; //!< for requests without a deadline header
    Millis drainRetryAfter{ 1000 };
};

/**
 * Answers /v1/chat/completions, /v1/completions, /v1/models, /v1/sessions/SESSION and
 * /services/NAME/…; each request runs on its connection's thread.
 */
class CallerApi {
public:
    CallerApi( ApiSettings settings, entry::CallContext& context, RandomSource& random );

    //! Answers one request of a caller.
    http::Response handle( const http::Request& request );
    //! Makes handle() refuse new requests.
    void drain() noexcept { m_draining = true; }
    bool draining() const noexcept { return m_draining; }
    std::size_t inFlight() const noexcept { return *m_inFlight; }
    //! Returns a new random request id.
    std::string makeRequestId();

private:
    //! Counts a request as in progress while it exists; null when the limit is reached.
    using Slot = std::shared_ptr<void>;

    Slot acquireSlot();
    http::Response complete( Api api, const http::Request& request );
    http::Response callService( const http::Request& request );
    http::Response resume( const http::Request& request );
    http::Response answer( const CompletionRequest& parsed, std::shared_ptr<entry::Call> call,
                           const entry::CallRequest& request, Slot slot );
    http::Response stream( const EnvelopeFields& envelopeFields, std::shared_ptr<entry::Call> call,
                           entry::CallEvent first, const entry::CallRequest& request, Slot slot );
    http::Response collect( const EnvelopeFields& envelopeFields, entry::Call& call,
                            entry::CallEvent event, const entry::CallRequest& request );
    http::Response fail( const Failure& failure, const entry::CallRequest& request );
    entry::CallRequest baseRequest( const http::Request& request );
    bool readIdempotencyKey( const http::Request& request, entry::CallRequest& out,
                             Failure& failure );

    ApiSettings m_settings;
    entry::CallContext& m_context;
    RandomSource& m_random;
    std::atomic<bool> m_draining{ false };
    std::shared_ptr<std::atomic<std::size_t>> m_inFlight =
        std::make_shared<std::atomic<std::size_t>>( 0 );
};

} // namespace coursehead::caller

#endif // COURSEHEAD_CALLER_API_HPP_INCLUDED
