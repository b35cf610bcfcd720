#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"

namespace hatchfork::control {

/// One machine in the platform's list.
struct PlatformMachine {
  EngineId engine;
  /// "live" or "leaving".
  std::string state;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlatformMachine, engine, state)

/// Reads the platform's list, which lags behind reality both ways. An engine that was never listed may be too new for
/// the list and does not count as leaving; one that was listed and is missing has gone. Threading: control thread only.
class PlatformView {
 public:
  /// Takes a newly fetched list.
  void take(const std::vector<PlatformMachine>& machines);
  /// Engines listed as leaving, or listed once and now gone; in order of name.
  std::vector<EngineId> leaving() const;

 private:
  std::set<EngineId> seen_;
  std::set<EngineId> live_;
};

/// Decodes the body of GET /machines: {"machines": [{"engine", "state"}]}.
Result<std::vector<PlatformMachine>> parsePlatformList(std::string_view body);

}  // namespace hatchfork::control
