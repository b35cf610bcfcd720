#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hatchfork::request {

/// Load that an engine reports about itself (`GET /load`). Reports lag behind and may be wrong: they are hints.
struct LoadReport {
  /// Online and batch requests that hold a slot.
  std::uint32_t running = 0;
  /// Online and batch requests that wait for a slot.
  std::uint32_t queued = 0;
  std::uint32_t online_running = 0;
  std::uint32_t online_queued = 0;
  std::uint32_t batch_running = 0;
  std::uint32_t slots = 0;
  std::uint32_t cache_blocks = 0;
  /// True if the engine itself preempts running batch work for online work.
  bool preempts_batch = false;
  /// True if the engine is leaving and must get no new work.
  bool draining = false;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  bool operator==(const LoadReport&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadReport, running, queued, online_running, online_queued,
                                                batch_running, slots, cache_blocks, preempts_batch, draining, model,
                                                version, adapters)

/// A prompt block that was added to or evicted from an engine's prefix cache (`GET /events`). Events arrive late, and
/// some are lost.
struct CacheEvent {
  std::uint64_t sequence = 0;
  std::uint64_t block = 0;
  bool stored = true;
  bool operator==(const CacheEvent&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CacheEvent, sequence, block, stored)

}  // namespace hatchfork::request
