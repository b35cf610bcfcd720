#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork::request {

/// Load at an engine that is caused by one process, or by all of them together.
struct EngineShare {
  EngineId engine;
  std::uint32_t in_flight = 0;
  /// Prompt tokens of these requests that the engine has yet to read.
  std::uint64_t unread_tokens = 0;
  /// Time in milliseconds by which an answer of the engine is overdue, or for which the engine remains out of rotation.
  /// Over several processes, the greatest.
  std::uint32_t avoid_ms = 0;
  bool operator==(const EngineShare&) const = default;
};
/// Serialized as an array without field names, since every process sends its shares several times a second.
inline void to_json(nlohmann::json& json, const EngineShare& share) {
  json = nlohmann::json::array({share.engine, share.in_flight, share.unread_tokens, share.avoid_ms});
}
inline void from_json(const nlohmann::json& json, EngineShare& share) {
  json.at(0).get_to(share.engine);
  json.at(1).get_to(share.in_flight);
  json.at(2).get_to(share.unread_tokens);
  json.at(3).get_to(share.avoid_ms);
}

/// Sums the load of all processes at each engine from their reports. A report is valid until the next one of the same
/// process, for one second at most. No I/O, no clock.
class LoadTable {
 public:
  void report(Instant now, const std::string& process, std::vector<EngineShare> shares);
  void expire(Instant now);
  /// Sums over all processes for the engines with any load, ordered by engine.
  std::vector<EngineShare> totals() const;
  std::size_t processes() const { return reports_.size(); }

 private:
  struct Report {
    Instant at{};
    std::vector<EngineShare> shares;
  };
  /// Load of all processes together at one engine.
  struct Total {
    std::uint32_t in_flight = 0;
    std::uint64_t unread_tokens = 0;
    /// Only of processes that report an avoid time for the engine.
    std::map<std::string, std::uint32_t> avoid_ms;
    /// Number of reports that name the engine.
    std::size_t reports = 0;
  };

  void add(const std::string& process, const std::vector<EngineShare>& shares);
  void subtract(const std::string& process, const std::vector<EngineShare>& shares);

  std::map<std::string, Report> reports_;
  std::map<EngineId, Total> totals_;
};

}  // namespace hatchfork::request
