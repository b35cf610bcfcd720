#include "request/routing/router.hpp"

#include <algorithm>
#include <utility>

#include "request/routing/ownership.hpp"

namespace hatchfork::request {
namespace {

constexpr Duration kRetryAfterOverload = fromMillis(1000);
constexpr Duration kRetryAfterNoEngine = fromMillis(2000);

Error refused(ErrorKind kind, std::string message, std::string remedy, std::optional<Duration> retry_after) {
  return Error{kind, std::move(message), std::move(remedy), Executed::kNo, retry_after};
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

Router::Router(RouterOptions options)
    : options_(std::move(options)), outliers_(options_.outlier), random_(options_.seed) {}

Router::EngineRecord Router::makeRecord(const FleetEngine& engine) const {
  AdaptiveConcurrencyOptions concurrency = options_.concurrency;
  concurrency.highest = options_.reject_load * engine.slots;
  concurrency.initial = concurrency.highest;
  concurrency.lowest = std::max(1.0, engine.slots / 4.0);
  return EngineRecord{engine,
                      false,
                      false,
                      0,
                      0,
                      0,
                      {},
                      PeerLoadEstimator(options_.peer_load),
                      AdaptiveConcurrency(concurrency, options_.first_token_target)};
}

void Router::updateFleet(Instant now, ServiceFleetPtr fleet) {
  (void)now;
  const std::vector<std::size_t> subset = routingSubset(*fleet, options_.self, options_.zone, options_.subset_size);
  const std::vector<std::size_t> owned = ownedEngines(*fleet, options_.self);
  std::unordered_map<EngineId, Slot> old_slots = std::exchange(slots_, {});
  std::vector<EngineRecord> old_records = std::exchange(records_, {});
  const std::vector<EngineId> old_ids = std::exchange(subset_ids_, {});
  for (const std::size_t position : subset) {
    const FleetEngine& engine = fleet->engines[position];
    const auto old = old_slots.find(engine.id);
    EngineRecord record = old == old_slots.end() ? makeRecord(engine) : std::move(old_records[old->second]);
    record.engine = engine;
    record.own_zone = engine.zone == options_.zone;
    record.owned = std::find(owned.begin(), owned.end(), position) != owned.end();
    slots_.emplace(engine.id, static_cast<Slot>(records_.size()));
    subset_ids_.push_back(engine.id);
    records_.push_back(std::move(record));
  }
  // Cache hints refer to positions in the subset, so they are invalid if these change.
  if (subset_ids_ != old_ids) prefixes_.clear();
  for (const EngineId& id : old_ids) {
    if (!slots_.contains(id)) outliers_.forget(id);
  }
  outliers_.setFleetSize(records_.size());
  fleet_ = std::move(fleet);
}

void Router::applyLoadReport(Instant now, const EngineId& engine, const LoadReport& report) {
  EngineRecord* record = find(engine);
  if (!record) return;
  record->report = report;
  record->others.recordReport(now, report.online_running + report.online_queued, record->online_in_flight);
}

void Router::applyCacheEvent(const EngineId& engine, const CacheEvent& event) {
  const auto found = slots_.find(engine);
  if (found == slots_.end()) return;
  if (event.stored) {
    prefixes_.store(event.block, found->second);
  } else {
    prefixes_.remove(event.block, found->second);
  }
}

Result<RouteChoice> Router::choose(Instant now, const RouteRequest& request) {
  if (records_.empty()) {
    return refused(ErrorKind::kNotFound, "the service has no engines", "attach an engine to the service", {});
  }
  collectCandidates(now, request);
  std::optional<Candidate> chosen = pick(options_.spill_load, true);
  if (!chosen) chosen = pick(options_.spill_load, false);
  if (!chosen) chosen = pick(options_.reject_load, false);
  if (!chosen) return refusal(now);
  const EngineRecord& record = records_[chosen->slot];
  return RouteChoice{record.engine.id, record.own_zone, chosen->cached_blocks};
}

bool Router::isLeaving(const EngineRecord& record) const {
  return record.engine.drained_by_operator || record.engine.leaving_platform || record.report.draining;
}

bool Router::accepts(Instant now, const EngineRecord& record, const RouteRequest& request) {
  if (isLeaving(record)) return false;
  if (request.build && record.engine.build != *request.build) return false;
  const auto& excluded = request.excluded;
  if (std::find(excluded.begin(), excluded.end(), record.engine.id) != excluded.end()) return false;
  if (!request.adapter.empty() && !contains(record.report.adapters, request.adapter)) return false;
  const double share = outliers_.trafficShare(now, record.engine.id);
  if (share >= 1) return true;
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

double Router::onlineLoad(Instant now, const EngineRecord& record) const {
  const double requests = record.online_in_flight + record.others.estimate(now);
  return requests / std::max<std::uint32_t>(record.engine.slots, 1);
}

Router::Candidate Router::judge(Instant now, Slot slot, const RouteRequest& request) const {
  const EngineRecord& record = records_[slot];
  Candidate candidate;
  candidate.slot = slot;
  candidate.own_zone = record.own_zone;
  candidate.load = onlineLoad(now, record);
  candidate.cached_blocks = prefixes_.matchLength(request.prompt_blocks, slot);
  const double saved = static_cast<double>(candidate.cached_blocks) * kPromptBlockTokens;
  const double work = record.pending_prefill + std::max(0.0, request.prompt_tokens - saved);
  candidate.score = candidate.load + work / options_.prefill_tokens_weight;
  if (!record.own_zone) candidate.score += options_.other_zone_penalty;
  if (!record.owned) candidate.score += options_.not_owned_penalty;
  return candidate;
}

void Router::collectCandidates(Instant now, const RouteRequest& request) {
  candidates_.clear();
  skipped_at_limit_ = false;
  for (Slot slot = 0; slot < records_.size(); ++slot) {
    const EngineRecord& record = records_[slot];
    if (!accepts(now, record, request)) continue;
    if (record.concurrency.mayStart(record.online_in_flight)) {
      candidates_.push_back(judge(now, slot, request));
    } else {
      skipped_at_limit_ = true;
    }
  }
}

std::optional<Router::Candidate> Router::pick(double load_limit, bool own_zone_only) {
  eligible_.clear();
  double total_load = 0;
  for (const Candidate& candidate : candidates_) {
    if (candidate.load >= load_limit || (own_zone_only && !candidate.own_zone)) continue;
    eligible_.push_back(candidate);
    total_load += candidate.load;
  }
  if (eligible_.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, eligible_.size() - 1);
  const Candidate& first = eligible_[any(random_)];
  const Candidate& second = eligible_[any(random_)];
  const Candidate* best = second.score < first.score ? &second : &first;
  const double mean_load = total_load / static_cast<double>(eligible_.size());
  for (const Candidate& candidate : eligible_) {
    const double one_request = 1.0 / std::max<std::uint32_t>(records_[candidate.slot].engine.slots, 1);
    const bool within_bound = candidate.load <= options_.affinity_load_bound * mean_load + one_request;
    const bool longer_prefix = candidate.cached_blocks > best->cached_blocks;
    if (longer_prefix && within_bound && candidate.score < best->score) best = &candidate;
  }
  return *best;
}

Error Router::refusal(Instant now) const {
  if (!candidates_.empty() || skipped_at_limit_) {
    return refused(ErrorKind::kOverloaded, "every engine of the service is full", "retry later", kRetryAfterOverload);
  }
  const Duration wait = outliers_.nextReturn(now).value_or(kRetryAfterNoEngine);
  return refused(ErrorKind::kUnavailable, "no engine of the service can take the request",
                 "retry later; operators: see the state of the engines with hatchfork ctl engine list", wait);
}

RoutedAttempt Router::beginAttempt(Instant now, const EngineId& engine, Urgency urgency, const RouteRequest& request) {
  (void)now;
  RoutedAttempt attempt{engine, urgency, 0};
  const auto found = slots_.find(engine);
  if (found == slots_.end()) return attempt;
  EngineRecord& record = records_[found->second];
  const std::uint32_t cached = prefixes_.matchLength(request.prompt_blocks, found->second) * kPromptBlockTokens;
  for (const std::uint64_t block : request.prompt_blocks) prefixes_.store(block, found->second);
  if (urgency == Urgency::kBatch) {
    ++record.batch_in_flight;
    return attempt;
  }
  ++record.online_in_flight;
  attempt.pending_prefill = request.prompt_tokens > cached ? request.prompt_tokens - cached : 0;
  record.pending_prefill += attempt.pending_prefill;
  return attempt;
}

void Router::recordFirstToken(Instant now, RoutedAttempt& attempt, Duration first_token) {
  EngineRecord* record = find(attempt.engine);
  if (record) {
    record->pending_prefill -= std::min(record->pending_prefill, attempt.pending_prefill);
    if (attempt.urgency == Urgency::kOnline) {
      record->concurrency.recordFirstToken(now, first_token, record->online_in_flight);
    }
  }
  attempt.pending_prefill = 0;
}

void Router::endAttempt(Instant now, RoutedAttempt& attempt, AttemptResult result) {
  if (result == AttemptResult::kSucceeded) outliers_.recordSuccess(now, attempt.engine);
  EngineRecord* record = find(attempt.engine);
  if (!record) return;
  if (result == AttemptResult::kFailed) {
    outliers_.recordFailure(now, attempt.engine);
    record->concurrency.recordFailure(now);
  }
  record->pending_prefill -= std::min(record->pending_prefill, attempt.pending_prefill);
  attempt.pending_prefill = 0;
  std::uint32_t& in_flight = attempt.urgency == Urgency::kOnline ? record->online_in_flight : record->batch_in_flight;
  if (in_flight > 0) --in_flight;
}

bool Router::mayDispatch(const EngineId& engine) const {
  const EngineRecord* record = find(engine);
  return record && !isLeaving(*record);
}

EngineBuild Router::buildOf(const EngineId& engine) const {
  const EngineRecord* record = find(engine);
  return record ? record->engine.build : EngineBuild();
}

std::uint32_t Router::onlineInFlight(const EngineId& engine) const {
  const EngineRecord* record = find(engine);
  return record ? record->online_in_flight : 0;
}

Router::EngineRecord* Router::find(const EngineId& engine) {
  const auto found = slots_.find(engine);
  return found == slots_.end() ? nullptr : &records_[found->second];
}

const Router::EngineRecord* Router::find(const EngineId& engine) const {
  const auto found = slots_.find(engine);
  return found == slots_.end() ? nullptr : &records_[found->second];
}

}  // namespace hatchfork::request
