#pragma once

#include "common/time.hpp"

namespace hatchfork {

/// The time since the machine was started, times of suspension included, so that nothing is believed for longer than it
/// was told to hold: leases, deadlines, ages. The operating system's steady clock stands still while a machine is
/// suspended. For programs; decision code is passed its times.
Instant bootClockNow();

}  // namespace hatchfork
