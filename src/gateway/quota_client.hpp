// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_QUOTA_CLIENT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_QUOTA_CLIENT_HPP_INCLUDED

#include "decide/gateway_quotas.hpp"
#include "gateway/holder_links.hpp"
#include "platform/node_settings.hpp"

#include <optional>
#include <set>
#include <string>

namespace coursehead::gateway {

//! Whether a request is within its organisation's limit.
enum class QuotaVerdict {
    granted,
    over,    //!< beyond the limit
    unknown, //!< nobody could be asked, and what may be spent without asking is used up
};
struct QuotaDecision {
    QuotaVerdict verdict = QuotaVerdict::granted;
    Millis retryAfter{ 0 };
};

//! Obtains what requests take from their organisations' quotas: the quota book with links to those
//! that hold them.
class QuotaClient {
public:
    QuotaClient( net::asio::io_context& context, Fleet& fleet, std::string vm,
                 const platform::Bounds& bounds );

    void setBounds( const platform::Bounds& bounds );
    void setConfiguration( const Configuration& configuration );
    //! Regular work: who can be asked, and what they are told.
    void tick( MonoTime now );

    //! Takes `units` of an organisation's limit; waits up to `patience` for them.
    net::Task<QuotaDecision> obtain( std::string organisation, double units, Millis patience );
    //! A request that took units has not run.
    void refund( const std::string& organisation, double units );

private:
    //! What a question to a holder came to; nullopt: nobody could be asked.
    net::Task<std::optional<QuotaDecision>> ask( std::string organisation, double units,
                                                 MonoTime until );
    void lookAtLinks( MonoTime now );
    void tellHolders( MonoTime now );

    net::asio::io_context& m_context;
    std::string m_vm;
    decide::GatewayQuotas m_book;
    HolderLinks m_links;
    std::set<std::string> m_told; //!< addresses that count this gateway
    MonoTime m_toldAt;
    bool m_anyLimit = false;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_QUOTA_CLIENT_HPP_INCLUDED
