// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/loop.hpp"

#include "peer/loop_core.hpp"

namespace coursehead::peer {

Loop::Loop( LoopSettings settings, StreamHandler handler )
    : m_core( std::make_shared<Detail::LoopCore>( std::move( settings ), std::move( handler ) ) ) {}

Loop::~Loop() {
    stop();
}

int Loop::bind( const std::string& host, int port ) {
    return m_core->bind( host, port );
}

void Loop::start() {
    m_core->start();
}

void Loop::stop() {
    m_core->stop();
}

LinkId Loop::connect( const std::string& host, int port ) {
    return m_core->connect( host, port );
}

void Loop::disconnect( LinkId link ) {
    m_core->disconnect( link );
}

bool Loop::isUp( LinkId link ) const {
    return m_core->isUp( link );
}

void Loop::onLinkChange( std::function<void( LinkId link, bool up )> listener ) {
    m_core->setLinkListener( std::move( listener ) );
}

std::shared_ptr<Stream> Loop::open( LinkId link, std::string_view path ) {
    return m_core->open( link, path );
}

LoopStats Loop::stats() const {
    return m_core->stats();
}

} // namespace coursehead::peer
