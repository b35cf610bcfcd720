#pragma once

#include "connection/asio.hpp"

namespace hatchfork::connection {

/// Keeps SIGTERM, SIGINT and SIGHUP from ending the process by their default action, from now until it exits. Call it
/// in `main` before any thread is started: threads inherit it. Only `awaitStopSignal` and `awaitReloadSignal` learn of
/// the signals, and a second stop signal during a planned stop changes nothing.
void holdStopSignals();

/// Waits for SIGTERM or SIGINT, which `holdStopSignals` holds back.
Awaitable<void> awaitStopSignal();

/// Waits for the next SIGHUP, which asks to read the settings file again.
Awaitable<void> awaitReloadSignal();

}  // namespace hatchfork::connection
