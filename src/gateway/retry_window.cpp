// SPDX-License-Identifier: BSL-1.0
#include "gateway/retry_window.hpp"

namespace coursehead::gateway {

namespace {

//! Part of the budget that is used: sends are counted where they arrive, a little later than here.
constexpr double usedPart = 0.85;
//! First sends that are remembered at the most.
constexpr std::size_t maxFirsts = 200000;

} // namespace

void RetryWindow::forget( Millis window, MonoTime now ) {
    while( !m_firsts.empty() && now - m_firsts.front() > window ) {
        m_firsts.pop_front();
    }
    while( !m_retries.empty() && now - m_retries.front() > window ) {
        m_retries.pop_front();
    }
}

void RetryWindow::countFirstSend( MonoTime now ) {
    m_firsts.push_back( now );
    if( m_firsts.size() > maxFirsts ) {
        m_firsts.pop_front();
    }
}

bool RetryWindow::take( const RetryShare& share, MonoTime now ) {
    forget( share.window, now );
    const double slack = share.slack / static_cast<double>( share.gateways );
    const double allowed =
        usedPart * ( share.ratio * static_cast<double>( m_firsts.size() ) + slack );
    if( static_cast<double>( m_retries.size() ) + 1.0 > allowed ) {
        return false;
    }
    m_retries.push_back( now );
    return true;
}

} // namespace coursehead::gateway
