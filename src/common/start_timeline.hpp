#pragma once

#include <string_view>

namespace hatchfork {

/// Notes that this process has reached a step of its start: one line `start_step` for each step, the first time only,
/// with the time since the first one, which is noted as soon as the settings are read. So what waits for a timeout, for
/// another process or for the step before it is seen by itself. Cheap once a step is noted. Thread safe.
void noteStartStep(std::string_view step);

}  // namespace hatchfork
