// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_COUNTS_QUOTA_CLIENT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_COUNTS_QUOTA_CLIENT_HPP_INCLUDED

#include "decide/gateway_quotas.hpp"
#include "gateway/links/holder_links.hpp"
#include "platform/node_settings.hpp"

#include <optional>
#include <set>
#include <string>

namespace coursehead::gateway {

//! Whether a request is within its organisation's limit.
enum class QuotaVerdict {
    granted,
    over,    //!< the limit is exceeded
    unknown, //!< no holder could be asked, and the reserve is used up
};
struct QuotaDecision {
    QuotaVerdict verdict = QuotaVerdict::granted;
    Millis retryAfter{ 0 };
};

//! Obtains the units that requests use of their organisations' quotas: combines the local quota
//! accounts with links to the sidecars that hold the quotas.
class QuotaClient {
public:
    QuotaClient( net::asio::io_context& context, Fleet& fleet, std::string vm,
                 const platform::Bounds& bounds );

    void setBounds( const platform::Bounds& bounds );
    void setConfiguration( const Configuration& configuration );
    //! Periodic work: determines the holders of the quotas and sends them updates.
    void tick( MonoTime now );

    //! Obtains `units` of an organisation's quota; waits up to `timeout` for them.
    net::Task<QuotaDecision> obtain( std::string organisation, double units, Millis timeout );
    //! Returns the units of a request that has not run.
    void refund( const std::string& organisation, double units );

private:
    //! Asks the quota's holder for units; nullopt if it could not be asked.
    net::Task<std::optional<QuotaDecision>> queryHolder( std::string organisation, double units,
                                                         MonoTime until );
    void refreshHolders( MonoTime now );
    void sendUpdates( MonoTime now );

    net::asio::io_context& m_context;
    std::string m_vm;
    decide::GatewayQuotas m_gatewayQuotas;
    HolderLinks m_links;
    std::set<std::string> m_updatedHolders; //!< addresses of the holders that count this gateway
    MonoTime m_updatesSentAt;
    bool m_anyLimit = false;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_COUNTS_QUOTA_CLIENT_HPP_INCLUDED
