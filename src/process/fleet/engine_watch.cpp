#include "process/fleet/engine_watch.hpp"

namespace hatchfork::fleet {
namespace {

/// An engine is forgotten after so many beats without a sign of life.
constexpr int kForgottenAfterBeats = 9;
/// An engine that was heard within so many beats holds its address.
constexpr double kHoldsAddressBeats = 1.25;

}  // namespace

std::optional<FleetCommand> EngineWatch::take(Instant now, const EngineBeat& beat, const FleetState& state) {
  if (state.hasDeparted(beat.engine.id)) return std::nullopt;
  Heard& heard = heard_[beat.engine.id];
  const bool late = heard.sequence > beat.sequence;
  if (!late) heard = Heard{now, now, beat.sequence};
  const auto known = state.engines().find(beat.engine.id);
  if (known == state.engines().end()) {
    if (!beat.engine.leaving && isAddressTaken(now, beat.engine, state)) return std::nullopt;
    return RegisterEngine{beat.engine};
  }
  const bool starts_leaving = beat.engine.leaving && !known->second.leaving;
  EngineRecord as_known = beat.engine;
  as_known.leaving = known->second.leaving;
  const bool changed = !late && as_known != known->second;
  if (starts_leaving || changed) return RegisterEngine{beat.engine};
  return std::nullopt;
}

bool EngineWatch::isAddressTaken(Instant now, const EngineRecord& engine, const FleetState& state) const {
  for (const auto& [id, other] : state.engines()) {
    if (id == engine.id || other.address != engine.address || other.leaving) continue;
    const auto heard = heard_.find(id);
    if (heard == heard_.end()) continue;
    const Duration age = now - heard->second.at;
    if (toSeconds(age) < kHoldsAddressBeats * toSeconds(beat_interval_)) return true;
  }
  return false;
}

void EngineWatch::hearOf(Instant now, const std::vector<EngineId>& engines) {
  for (const EngineId& engine : engines) heard_[engine].at = now;
}

std::vector<EngineId> EngineWatch::heardLately(Instant now) const {
  std::vector<EngineId> engines;
  for (const auto& [id, heard] : heard_) {
    const bool lately = heard.direct_at != Instant::min() && now - heard.direct_at < beat_interval_;
    if (lately) engines.push_back(id);
  }
  return engines;
}

std::vector<EngineId> EngineWatch::silent(Instant now, Instant leading_since, const FleetState& state) const {
  std::vector<EngineId> silent;
  const Duration limit = kForgottenAfterBeats * beat_interval_;
  for (const auto& [id, engine] : state.engines()) {
    const auto heard = heard_.find(id);
    const Instant last = heard == heard_.end() ? leading_since : std::max(heard->second.at, leading_since);
    if (now - last > limit) silent.push_back(id);
  }
  return silent;
}

void EngineWatch::expire(Instant now) {
  std::erase_if(heard_,
                [&](const auto& entry) { return now - entry.second.at > 4 * kForgottenAfterBeats * beat_interval_; });
}

}  // namespace hatchfork::fleet
