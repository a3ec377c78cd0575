// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/retry_window.hpp"

namespace coursehead::gateway {

namespace {

//! Part of the budget that is used. Sends are counted on arrival at the upstream, a little later
//! than here, so the full budget could be exceeded in the window counted there.
constexpr double usedPart = 0.85;
//! Limit on the memory for first sends.
constexpr std::size_t maxFirstSends = 200000;

} // namespace

void RetryWindow::forget( Millis window, MonoTime now ) {
    while( !m_firstSends.empty() && now - m_firstSends.front() > window ) {
        m_firstSends.pop_front();
    }
    while( !m_retries.empty() && now - m_retries.front() > window ) {
        m_retries.pop_front();
    }
}

void RetryWindow::countFirstSend( MonoTime now ) {
    m_firstSends.push_back( now );
    if( m_firstSends.size() > maxFirstSends ) {
        m_firstSends.pop_front();
    }
}

RetryDecision RetryWindow::take( const RetryShare& share, MonoTime now ) {
    forget( share.window, now );
    RetryDecision out;
    out.firstSends = m_firstSends.size();
    out.retries = m_retries.size();
    const double slack = share.slack / static_cast<double>( share.gateways );
    out.allowed = usedPart * ( share.ratio * static_cast<double>( out.firstSends ) + slack );
    out.granted = static_cast<double>( out.retries ) + 1.0 <= out.allowed;
    if( out.granted ) {
        m_retries.push_back( now );
    }
    return out;
}

} // namespace coursehead::gateway
