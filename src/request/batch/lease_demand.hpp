#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork::request {

/// Batch work of one service at this gateway.
struct ServiceBatchLoad {
  ServiceId service;
  /// Items that the service's engines could take now.
  std::uint32_t room = 0;
  std::uint32_t running = 0;
  /// Leased items that wait for an engine.
  std::uint32_t ready = 0;
};

/// How many more items of a service to lease. Only what its engines can take soon, with a few kept ready because idle
/// capacity lasts seconds; nothing for a service on whose engines this gateway may place no batch work.
std::uint32_t itemsToLease(const ServiceBatchLoad& load);

/// Watches for leased items that this gateway can't place: its engines of the service were given to another gateway, or
/// left. They are to be given back, so that the engines' new owner can run them. One traffic thread.
class StrandedItemDetector {
 public:
  /// Call regularly with each service's load; true when its ready items are to be given back now.
  bool update(Instant now, const ServiceBatchLoad& load);

 private:
  /// Since when ready items have had neither room nor a running neighbour.
  std::optional<Instant> since_;
};

}  // namespace hatchfork::request
