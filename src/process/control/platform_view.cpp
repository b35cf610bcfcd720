#include "process/control/platform_view.hpp"

#include <algorithm>

#include "common/codec.hpp"

namespace hatchfork::control {
namespace {

constexpr std::string_view kLive = "live";

}  // namespace

void PlatformView::take(const std::vector<PlatformMachine>& machines) {
  live_.clear();
  for (const PlatformMachine& machine : machines) {
    seen_.insert(machine.engine);
    if (machine.state == kLive) live_.insert(machine.engine);
  }
}

std::vector<EngineId> PlatformView::leaving() const {
  std::vector<EngineId> engines;
  std::set_difference(seen_.begin(), seen_.end(), live_.begin(), live_.end(), std::back_inserter(engines));
  return engines;
}

Result<std::vector<PlatformMachine>> parsePlatformList(std::string_view body) {
  const Result<nlohmann::json> json = parseJsonText(body);
  if (!isOk(json)) return errorOf(json);
  if (!valueOf(json).is_object() || !valueOf(json).contains("machines")) {
    return protocolError("the platform's list has no field machines");
  }
  return structFromJson<std::vector<PlatformMachine>>(valueOf(json).at("machines"));
}

}  // namespace hatchfork::control
