#include "process/fleet/build_history.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::fleet {
namespace {

/// Longer than a stream lasts, from its first event until its caller gives up resuming it.
constexpr Duration kStreamLifetime = std::chrono::seconds(60);

}  // namespace

void BuildHistory::take(Instant now, const FleetState& state) {
  serving_.clear();
  for (const auto& [service, builds] : state.builds()) serving_[service] = builds.size();
  std::map<ServiceId, std::map<EngineBuild, Retirement>> retired;
  for (const auto& [service, builds] : state.retiredBuilds()) {
    std::map<EngineBuild, Retirement>& known = retired_[service];
    for (const auto& [build, revision] : builds) {
      const auto before = known.find(build);
      const bool is_known = before != known.end() && before->second.revision == revision;
      retired[service][build] = is_known ? before->second : Retirement{revision, now};
    }
  }
  retired_ = std::move(retired);
}

std::vector<ServiceId> BuildHistory::mixedServices(Instant now) const {
  std::vector<ServiceId> mixed;
  for (const auto& [service, serving] : serving_) {
    std::size_t builds = serving;
    const auto retired = retired_.find(service);
    if (retired != retired_.end()) {
      builds += static_cast<std::size_t>(
          std::count_if(retired->second.begin(), retired->second.end(),
                        [now](const auto& entry) { return now < entry.second.seen_at + kStreamLifetime; }));
    }
    if (builds > 1) mixed.push_back(service);
  }
  return mixed;
}

}  // namespace hatchfork::fleet
