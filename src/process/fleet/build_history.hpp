#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "process/fleet/fleet_state.hpp"

namespace hatchfork::fleet {

/// Determines which services run several builds of their engines' software, or have run another build so recently that
/// streams of it may still be resumed. The state names the retired builds, without the time; a process that did not see
/// a build retire counts from when it first found it retired. No I/O, no clock. Not thread-safe.
class BuildHistory {
 public:
  /// Takes the builds of the newest state.
  void take(Instant now, const FleetState& state);
  /// Services of several builds, in order.
  std::vector<ServiceId> mixedServices(Instant now) const;

 private:
  /// The time at which a build was found retired, and the revision of the engines at which it retired.
  struct Retirement {
    std::uint64_t revision = 0;
    Instant seen_at{};
  };

  std::map<ServiceId, std::size_t> serving_;
  std::map<ServiceId, std::map<EngineBuild, Retirement>> retired_;
};

}  // namespace hatchfork::fleet
