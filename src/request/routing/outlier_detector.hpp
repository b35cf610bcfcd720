#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork::request {

struct OutlierOptions {
  /// Consecutive failures that eject an engine.
  std::uint32_t failures_to_eject = 3;
  /// Duration of the first ejection; doubles with each further one up to `max_ejection`.
  Duration ejection = fromMillis(2000);
  Duration max_ejection = fromMillis(30000);
  /// Maximum percentage of engines ejected at once (at least one engine if there are two or more). Beyond it failing
  /// engines stay in rotation: if most of a fleet looks bad, the fault is more likely in the observer than in the
  /// fleet.
  std::uint32_t max_ejected_percent = 40;
  /// Time after an ejection over which the engine's share of traffic grows from nothing to full.
  Duration return_time = fromMillis(5000);
};

/// Ejects engines that fail repeatedly and returns them to rotation gradually. One instance per service and traffic
/// thread.
class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierOptions options);

  /// Sets the number of engines in the fleet, which bounds how many may be ejected.
  void setFleetSize(std::size_t engines);
  void forget(const EngineId& engine);

  void recordSuccess(Instant now, const EngineId& engine);
  void recordFailure(Instant now, const EngineId& engine);

  /// Share of its normal traffic that the engine should get: 0 while ejected, rising to 1 after the ejection.
  double trafficShare(Instant now, const EngineId& engine) const;
  bool isEjected(Instant now, const EngineId& engine) const;
  /// Time until the earliest end of an ejection; absent if no engine is ejected.
  std::optional<Duration> nextReturn(Instant now) const;

 private:
  struct Record {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t ejections = 0;
    std::optional<Instant> ejected_until;
  };
  std::size_t ejectedCount(Instant now) const;
  std::size_t maxEjected() const;

  OutlierOptions options_;
  std::size_t fleet_size_ = 0;
  std::map<EngineId, Record> records_;
};

}  // namespace hatchfork::request
