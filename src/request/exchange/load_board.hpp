#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork::request {

/// What one process, or all of them together, have under way at an engine.
struct EngineShare {
  EngineId engine;
  std::uint32_t in_flight = 0;
  /// Prompt tokens that the engine has still to read for them.
  std::uint64_t unread_tokens = 0;
  /// How strongly the process wants to avoid the engine: by how many milliseconds an answer is overdue, or how long it
  /// is still out of rotation. Over several processes, the greatest.
  std::uint32_t avoid_ms = 0;
  bool operator==(const EngineShare&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineShare, engine, in_flight, unread_tokens, avoid_ms)

/// Adds up what all processes have under way at each engine, from their reports. A report counts until the next one of
/// the same process, or for a second. No I/O, no clock.
class LoadBoard {
 public:
  void report(Instant now, const std::string& process, std::vector<EngineShare> shares);
  void expire(Instant now);
  /// Sums over all processes but one.
  std::vector<EngineShare> others(const std::string& process) const;
  std::size_t processes() const { return reports_.size(); }

 private:
  struct Report {
    Instant at{};
    std::vector<EngineShare> shares;
  };
  std::map<std::string, Report> reports_;
};

}  // namespace hatchfork::request
