// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_SIGNALS_HPP_INCLUDED
#define COURSEHEAD_KERNEL_SIGNALS_HPP_INCLUDED

namespace coursehead {

//! Blocks SIGTERM and SIGINT in this thread and the threads it starts, and ignores SIGPIPE. Must be
//! called before any thread is started.
void blockStopSignals();
//! Waits for SIGTERM or SIGINT and returns its number.
int waitForStopSignal();

//! Makes SIGHUP wait until allowReloadSignal() is called.
void holdReloadSignal();
//! Lets this thread receive SIGHUP, also one that has waited.
void allowReloadSignal();

} // namespace coursehead

#endif // COURSEHEAD_KERNEL_SIGNALS_HPP_INCLUDED
