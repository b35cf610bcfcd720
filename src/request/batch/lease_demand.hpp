#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork::request {

/// Batch load of one service at this gateway, in items.
struct ServiceBatchLoad {
  ServiceId service;
  /// Items that the engines of the service could take now.
  std::uint32_t room = 0;
  std::uint32_t running = 0;
  /// Leased items that wait for an engine.
  std::uint32_t ready = 0;
};

/// Returns how many more items of a service to lease: as many as its engines can take soon, and a few in addition,
/// because idle capacity may last only seconds. Zero if this gateway may place no batch work on the engines of the
/// service.
std::uint32_t itemsToLease(const ServiceBatchLoad& load);

/// Detects leased items that this gateway cannot place because the engines of the service left or were assigned to
/// another gateway. Such items are returned, so that the new owner of the engines can run them. Used by one traffic
/// thread.
class StrandedItemDetector {
 public:
  /// Call regularly with the load of the service. Returns true if its ready items are to be returned now.
  bool update(Instant now, const ServiceBatchLoad& load);

 private:
  /// Time since which there have been ready items but neither room nor running items.
  std::optional<Instant> since_;
};

}  // namespace hatchfork::request
