#include "process/fleet/engine_watch.hpp"

#include <utility>

namespace hatchfork::fleet {
namespace {

/// An engine is forgotten after so many beats without a sign of life.
constexpr int kForgottenAfterBeats = 9;
/// An engine that was heard within so many beats holds its address.
constexpr double kHoldsAddressBeats = 1.25;
/// Beats that another process heard are passed on within this time.
constexpr Duration kPassedOnWithin = fromMillis(500);

}  // namespace

std::optional<RegisterEngine> EngineWatch::take(Instant now, const EngineHeartbeat& beat, const FleetState& state) {
  if (state.hasDeparted(beat.engine.id, beat.engine.born)) return std::nullopt;
  const auto known = state.engines().find(beat.engine.id);
  const WallMillis known_born = known == state.engines().end() ? 0 : known->second.born;
  // A late beat of a life that is over changes nothing; which life is the newest one is agreed on, not what was heard
  // here.
  if (compareIncarnations(beat.engine.born, known_born) == IncarnationOrder::kOlder) return std::nullopt;
  Heard& heard = heard_[beat.engine.id];
  const IncarnationOrder order = compareIncarnations(beat.engine.born, heard.born);
  if (order == IncarnationOrder::kOlder) return std::nullopt;
  const bool late = order == IncarnationOrder::kSame && heard.sequence > beat.sequence;
  if (!late) {
    heard = Heard{now, now, beat.engine.born, beat.sequence, heard.build_confirmation};
    heard_since_.push_back(beat.engine.id);
  }
  if (known == state.engines().end()) {
    if (!beat.engine.leaving && isAddressTaken(now, beat.engine, state)) return std::nullopt;
    return RegisterEngine{beat.engine};
  }
  if (compareIncarnations(beat.engine.born, known_born) == IncarnationOrder::kNewer) return RegisterEngine{beat.engine};
  const bool starts_leaving = beat.engine.leaving && !known->second.leaving;
  EngineRecord as_known = beat.engine;
  if (as_known.born == 0) as_known.born = known_born;
  as_known.leaving = known->second.leaving;
  if (as_known.build.empty()) as_known.build = known->second.build;
  // The time left shrinks with each beat; only turning cold and being warm again is news.
  const bool same_temperature = (beat.engine.cold_ms > 0) == (known->second.cold_ms > 0);
  if (same_temperature) as_known.cold_ms = known->second.cold_ms;
  const bool changed = !late && as_known != known->second;
  if (starts_leaving || changed || needsConfirmation(beat)) return RegisterEngine{beat.engine};
  return std::nullopt;
}

bool EngineWatch::needsConfirmation(const EngineHeartbeat& beat) {
  Heard& heard = heard_[beat.engine.id];
  const std::uint64_t confirmed = std::exchange(heard.build_confirmation, build_confirmations_);
  return !beat.engine.build.empty() && confirmed != build_confirmations_;
}

bool EngineWatch::isAddressTaken(Instant now, const EngineRecord& engine, const FleetState& state) const {
  const EngineRecord* const holder = state.engineAt(engine.address);
  if (holder == nullptr || holder->id == engine.id || holder->leaving) return false;
  const auto heard = heard_.find(holder->id);
  if (heard == heard_.end()) return false;
  const bool heard_here = heard->second.at == heard->second.direct_at;
  const Duration passed_on_within = heard_here ? Duration::zero() : kPassedOnWithin;
  const double allowed = kHoldsAddressBeats * toSeconds(beat_interval_) + toSeconds(passed_on_within);
  return toSeconds(now - heard->second.at) < allowed;
}

void EngineWatch::hearOf(Instant now, const std::vector<EngineId>& engines) {
  for (const EngineId& engine : engines) heard_[engine].at = now;
}

std::vector<EngineId> EngineWatch::takeHeard() {
  return std::exchange(heard_since_, {});
}

std::vector<EngineId> EngineWatch::silent(Instant now, Instant leading_since, const FleetState& state) {
  std::vector<EngineId> silent;
  const Duration limit = kForgottenAfterBeats * beat_interval_;
  for (const auto& [id, engine] : state.engines()) {
    // Another process may have registered it just now: the time before it was seen here is no silence.
    const auto [heard, is_new] = heard_.try_emplace(id);
    if (is_new) heard->second.at = now;
    if (now - std::max(heard->second.at, leading_since) > limit) silent.push_back(id);
  }
  // One that is registered again has a silence of its own.
  for (const EngineId& id : silent) heard_.erase(id);
  return silent;
}

void EngineWatch::expire(Instant now) {
  std::erase_if(heard_,
                [&](const auto& entry) { return now - entry.second.at > 4 * kForgottenAfterBeats * beat_interval_; });
}

}  // namespace hatchfork::fleet
