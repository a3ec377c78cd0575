// SPDX-License-Identifier: BSL-1.0
#include "coursehead/kernel/signals.hpp"

#include <csignal>

namespace coursehead {

namespace {

sigset_t stopSignals() {
    sigset_t out;
    sigemptyset( &out );
    sigaddset( &out, SIGTERM );
    sigaddset( &out, SIGINT );
    return out;
}

void maskReloadSignal( int how ) {
    sigset_t set;
    sigemptyset( &set );
    sigaddset( &set, SIGHUP );
    pthread_sigmask( how, &set, nullptr );
}

} // namespace

void holdReloadSignal() {
    maskReloadSignal( SIG_BLOCK );
}

void allowReloadSignal() {
    maskReloadSignal( SIG_UNBLOCK );
}

void blockStopSignals() {
    const auto set = stopSignals();
    pthread_sigmask( SIG_BLOCK, &set, nullptr );
    std::signal( SIGPIPE, SIG_IGN );
}

int waitForStopSignal() {
    const auto set = stopSignals();
    int number = 0;
    sigwait( &set, &number );
    return number;
}

} // namespace coursehead
