#include "request/batch/batch_admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "request/routing/ownership.hpp"
#include "request/routing/prefix_index.hpp"

namespace hatchfork::request {
namespace {

/// Estimates how many tokens an engine must process again when the attempt is resumed there. The engine caches whole
/// blocks only: after the first whole block of the answer, the tokens since the last whole block are lost; before it,
/// also the end of the prompt. A prompt that has not been processed yet is lost entirely.
std::uint32_t resumeCost(bool starting, std::uint32_t tokens) {
  if (starting) return 4 * kPromptBlockTokens;
  if (tokens < kPromptBlockTokens) return kPromptBlockTokens / 2 + tokens;
  return tokens % kPromptBlockTokens;
}

}  // namespace

BatchAdmission::BatchAdmission(BatchAdmissionOptions options) : options_(std::move(options)) {}

void BatchAdmission::updateFleet(Instant now, const ServiceFleetPtr& fleet, Instant owned_until) {
  owned_until_ = owned_until;
  for (auto& [id, record] : engines_) {
    record.owned = false;
    record.leaving = true;
  }
  for (const FleetEngine& engine : fleet->engines) {
    const auto found = engines_.find(engine.id);
    const bool known = found != engines_.end();
    EngineRecord& record = known ? found->second : engines_[engine.id];
    if (!known) {
      record.peer_load = PeerLoadEstimator(options_.peer_load_options);
      record.limit = engine.slots;
      record.limit_raised_at = now;
    }
    record.slots = engine.slots;
    record.leaving = engine.drained_by_operator || engine.leaving_platform;
  }
  for (const std::size_t position : ownedEngines(*fleet, options_.self)) {
    engines_.at(fleet->engines[position].id).owned = true;
  }
  // Drops engines that are neither owned nor in use, to bound memory.
  std::erase_if(engines_, [](const auto& entry) {
    const EngineRecord& record = entry.second;
    return !record.owned && record.attempts.empty() && record.online_in_flight == 0;
  });
}

void BatchAdmission::applyLoadReport(Instant now, const EngineId& engine, const LoadReport& report) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  EngineRecord& record = found->second;
  record.report = report;
  record.peer_load.recordReport(now, report.online_running + report.online_queued, record.online_in_flight);
}

std::uint32_t BatchAdmission::onlineLoad(Instant now, const EngineRecord& record) const {
  return record.online_in_flight + static_cast<std::uint32_t>(std::lround(record.peer_load.estimate(now)));
}

bool BatchAdmission::isUsable(Instant now, const EngineRecord& record) const {
  return record.owned && !record.leaving && !record.report.draining && now < owned_until_;
}

std::uint32_t BatchAdmission::idleSlots(Instant now, const EngineRecord& record) const {
  const std::uint32_t taken = onlineLoad(now, record);
  return record.slots > taken ? record.slots - taken : 0;
}

std::uint32_t BatchAdmission::allowed(Instant now, const EngineRecord& record) const {
  if (!isUsable(now, record)) return 0;
  const std::uint32_t idle = idleSlots(now, record);
  // A preempting engine frees slots itself: batch work in its slots does not delay online work.
  const std::uint32_t reserved = record.report.preempts_batch ? 0 : options_.reserved_slots;
  const std::uint32_t most = idle > reserved ? idle - reserved : 0;
  return std::min(most, static_cast<std::uint32_t>(record.limit));
}

std::uint32_t BatchAdmission::roomOn(Instant now, const EngineRecord& record) const {
  const std::uint32_t most = allowed(now, record);
  const auto running = static_cast<std::uint32_t>(record.attempts.size());
  return most > running ? most - running : 0;
}

bool BatchAdmission::mayStart(const EngineRecord& record) const {
  const auto starting = std::count_if(record.attempts.begin(), record.attempts.end(),
                                      [](const RunningAttempt& attempt) { return attempt.starting; });
  return record.online_waiting == 0 && starting < static_cast<std::ptrdiff_t>(options_.max_starting_attempts);
}

void BatchAdmission::raiseLimit(Instant now, EngineRecord& record) const {
  const auto intervals = (now - record.limit_raised_at) / options_.growth_interval;
  if (intervals <= 0) return;
  record.limit_raised_at += options_.growth_interval * intervals;
  record.limit = std::min<double>(record.slots, record.limit + static_cast<double>(intervals));
}

void BatchAdmission::pauseAbove(EngineRecord& record, std::uint32_t most, std::vector<AttemptId>& paused) {
  while (record.attempts.size() > most) {
    // The newest attempt among those of equal cost.
    const auto victim = std::min_element(
        record.attempts.rbegin(), record.attempts.rend(), [](const RunningAttempt& left, const RunningAttempt& right) {
          return resumeCost(left.starting, left.tokens) < resumeCost(right.starting, right.tokens);
        });
    engine_of_.erase(victim->id);
    paused.push_back(victim->id);
    record.attempts.erase(std::next(victim).base());
  }
}

std::vector<AttemptId> BatchAdmission::beginOnline(Instant now, const EngineId& engine) {
  EngineRecord& record = engines_[engine];
  ++record.online_in_flight;
  ++record.online_waiting;
  std::vector<AttemptId> paused;
  if (record.report.preempts_batch) return paused;
  pauseAbove(record, isUsable(now, record) ? idleSlots(now, record) : 0, paused);
  return paused;
}

void BatchAdmission::recordOnlineFirstToken(Instant now, const EngineId& engine, Duration first_token) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  EngineRecord& record = found->second;
  if (record.online_waiting > 0) --record.online_waiting;
  const bool delayed_by_batch = !record.report.preempts_batch && !record.attempts.empty();
  if (first_token <= options_.first_token_target || !delayed_by_batch) return;
  record.limit = std::max(1.0, record.limit * options_.decrease);
  record.limit_raised_at = now;
}

void BatchAdmission::endOnline(Instant now, const EngineId& engine, bool had_first_token) {
  (void)now;
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  EngineRecord& record = found->second;
  if (record.online_in_flight > 0) --record.online_in_flight;
  if (!had_first_token && record.online_waiting > 0) --record.online_waiting;
  const bool forgotten = !record.owned && record.attempts.empty() && record.online_in_flight == 0;
  if (forgotten) engines_.erase(found);
}

BatchAdmission::EngineRecord* BatchAdmission::engineToWaitFor(Instant now, const PausedPlacement& paused) {
  if (now - paused.at >= options_.max_wait_for_cached_engine) return nullptr;
  const auto found = engines_.find(paused.engine);
  return found != engines_.end() && isUsable(now, found->second) ? &found->second : nullptr;
}

EngineId BatchAdmission::place(AttemptId attempt, const EngineId& engine, EngineRecord& record) {
  record.attempts.push_back(RunningAttempt{attempt, true});
  engine_of_.emplace(attempt, engine);
  return engine;
}

std::optional<EngineId> BatchAdmission::admit(Instant now, AttemptId attempt,
                                              const std::optional<PausedPlacement>& paused) {
  if (EngineRecord* last = paused ? engineToWaitFor(now, *paused) : nullptr) {
    raiseLimit(now, *last);
    if (roomOn(now, *last) == 0 || !mayStart(*last)) return std::nullopt;
    return place(attempt, paused->engine, *last);
  }
  EngineRecord* best = nullptr;
  const EngineId* best_id = nullptr;
  std::uint32_t best_room = 0;
  for (auto& [id, record] : engines_) {
    raiseLimit(now, record);
    const std::uint32_t room = roomOn(now, record);
    if (room <= best_room || !mayStart(record)) continue;
    best = &record;
    best_id = &id;
    best_room = room;
  }
  if (!best) return std::nullopt;
  return place(attempt, *best_id, *best);
}

bool BatchAdmission::recordBatchToken(AttemptId attempt, std::uint32_t tokens) {
  const auto found = engine_of_.find(attempt);
  if (found == engine_of_.end()) return false;
  const auto engine = engines_.find(found->second);
  if (engine == engines_.end()) return false;
  for (RunningAttempt& running : engine->second.attempts) {
    if (running.id != attempt) continue;
    running.tokens = tokens;
    return std::exchange(running.starting, false);
  }
  return false;
}

void BatchAdmission::endBatch(Instant now, AttemptId attempt) {
  (void)now;
  const auto found = engine_of_.find(attempt);
  if (found == engine_of_.end()) return;
  const auto engine = engines_.find(found->second);
  if (engine != engines_.end()) {
    std::erase_if(engine->second.attempts, [attempt](const RunningAttempt& running) { return running.id == attempt; });
  }
  engine_of_.erase(found);
}

std::vector<AttemptId> BatchAdmission::tick(Instant now) {
  std::vector<AttemptId> paused;
  for (auto& [id, record] : engines_) {
    raiseLimit(now, record);
    const bool usable = isUsable(now, record);
    if (usable && record.report.preempts_batch) continue;
    pauseAbove(record, usable ? idleSlots(now, record) : 0, paused);
  }
  return paused;
}

std::uint32_t BatchAdmission::room(Instant now) const {
  std::uint32_t total = 0;
  for (const auto& [id, record] : engines_) total += roomOn(now, record);
  return total;
}

}  // namespace hatchfork::request
