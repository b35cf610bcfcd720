#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "request/exchange/engine_selector.hpp"
#include "request/exchange/prefix_identity.hpp"

// Choice of the engine for a request.
namespace hatchfork::request {
namespace {

/// Random jitter of a cost, so that processes with the same view do not all choose the same engine.
constexpr double kMaxJitterMs = 3;

}  // namespace

double EngineSelector::coldRate(const EngineState& state) const {
  const auto service = services_.find(state.record.service);
  return service == services_.end() ? 0 : limits_.cold_share_used * service->second.cold_requests_per_second;
}

bool EngineSelector::isAllowed(Instant now, const EngineState& state, const EngineQuery& query) {
  if (query.build && state.record.build != *query.build) return false;
  if (query.prefers_settled_builds && now < state.build_settled_at) return false;
  if (query.zones && !query.zones->contains(state.record.zone)) return false;
  return !query.excluded.contains(state.record.id);
}

bool EngineSelector::admitsAnother(Instant now, const EngineState& state, const EngineQuery& query) const {
  if (!isCold(now, state)) return true;
  const bool is_owner = !query.background && state.record.zone == limits_.cold_zone;
  return is_owner && now >= state.next_while_cold;
}

std::vector<EngineState*> EngineSelector::candidates(Instant now, const EngineQuery& query, const EnginePool& pool) {
  std::vector<EngineState*> usable;
  std::vector<EngineState*> ejected;
  bool any_in_rotation = false;
  const double reserve = query.background ? surgeReservePerEngine(now, query.service) * (1 - query.urgency) : 0;
  const bool examines_all = isSticky(query) || query.build;
  const std::size_t examined = examines_all ? pool.size() : limits_.max_examined;
  for (EngineState* const state : sampleConsecutive(pool.all(), examined, random_)) {
    if (!isAllowed(now, *state, query) || !admitsAnother(now, *state, query)) continue;
    any_in_rotation = any_in_rotation || now >= state->ejected_until;
    if (query.background && !hasBackgroundRoom(now, *state, reserve)) continue;
    if (query.needs_free_slot && !hasFreeSlot(now, *state, query)) continue;
    (now < state->ejected_until ? ejected : usable).push_back(state);
  }
  // Batch work and queued requests wait for room at an engine in rotation.
  if ((query.background || query.needs_free_slot) && any_in_rotation) return usable;
  const std::size_t all = usable.size() + ejected.size();
  const auto least = static_cast<std::size_t>(std::ceil(static_cast<double>(all) * (1 - limits_.max_ejected_share)));
  std::sort(ejected.begin(), ejected.end(), [](const EngineState* left, const EngineState* right) {
    return left->ejected_until < right->ejected_until;
  });
  for (std::size_t i = 0; usable.size() < least && i < ejected.size(); ++i) usable.push_back(ejected[i]);
  return usable;
}

std::size_t EngineSelector::sampleSize(Instant now, const EngineQuery& query, const EnginePool& pool,
                                       std::size_t usable) const {
  if (!hasPeerLoads(now)) return usable;
  const Duration report_interval = std::max(limits_.min_report_interval, mean_report_interval_);
  const double choices_per_report =
      pool.peersInFlight() / slotHoldMs(query.service) * toSeconds(report_interval) * 1000;
  if (choices_per_report <= limits_.choices_per_engine_and_report) return usable;
  const double share = limits_.choices_per_engine_and_report / choices_per_report;
  return static_cast<std::size_t>(std::ceil(share * static_cast<double>(usable)));
}

void EngineSelector::sampleEngines(Instant now, const EngineQuery& query, const EnginePool& pool,
                                   std::vector<EngineState*>& usable) {
  const std::size_t sample_size = sampleSize(now, query, pool, usable.size());
  if (sample_size >= usable.size()) return;
  const auto first_overdue = std::partition(
      usable.begin(), usable.end(), [this, now](const EngineState* state) { return overdueCost(now, *state) == 0; });
  if (first_overdue != usable.begin()) usable.erase(first_overdue, usable.end());
  if (sample_size >= usable.size()) return;
  std::shuffle(usable.begin(), usable.end(), random_);
  usable.resize(sample_size);
}

std::optional<EngineChoice> EngineSelector::choose(Instant now, const EngineQuery& query) {
  noteLongPrompt(now, query);
  std::optional<EngineChoice> choice = chooseAmongAllowed(now, query);
  if (choice || !query.prefers_settled_builds) return choice;
  EngineQuery any_build = query;
  any_build.prefers_settled_builds = false;
  return chooseAmongAllowed(now, any_build);
}

std::optional<EngineChoice> EngineSelector::chooseAmongAllowed(Instant now, const EngineQuery& query) {
  const EnginePool* const pool = poolOf(query.service);
  if (pool == nullptr) return std::nullopt;
  const bool sticky = isSticky(query);
  if (!sticky && pool->size() > limits_.sampled_from) {
    if (std::optional<EngineChoice> drawn = chooseFromSample(now, query, *pool)) return drawn;
  }
  std::vector<EngineState*> usable = candidates(now, query, *pool);
  if (usable.empty()) return std::nullopt;
  const std::uint64_t prefix = prefixIdentity(query.prompt);
  if (!sticky && !query.background && !limits_.places_zone) sampleEngines(now, query, *pool, usable);
  const std::vector<EngineId> homes = sticky ? homesOf(prefix, usable) : std::vector<EngineId>();
  EngineState* best = nullptr;
  double best_cost = 0;
  double best_cached_share = 0;
  std::uniform_real_distribution<double> jitter(0.0, kMaxJitterMs);
  for (EngineState* state : usable) {
    const double cached_share = sticky ? cachedShare(now, *state, prefix, homes) : 0;
    const double total = cost(now, *state, query, cached_share) + jitter(random_);
    if (best != nullptr && total >= best_cost) continue;
    best = state;
    best_cost = total;
    best_cached_share = cached_share;
  }
  return describe(now, *best, query, best_cost, best_cached_share, usable.size());
}

std::optional<EngineChoice> EngineSelector::chooseFromSample(Instant now, const EngineQuery& query,
                                                             const EnginePool& pool) {
  std::size_t most = limits_.sampled_first;
  const bool uses_delayed_loads = !query.background && !limits_.places_zone;
  if (uses_delayed_loads) most = std::min(most, sampleSize(now, query, pool, pool.size()));
  std::optional<EngineChoice> near = cheapestOf(now, query, sampleConsecutive(pool.ofZone(query.zone), most, random_));
  return near ? near : cheapestOf(now, query, sampleConsecutive(pool.all(), most, random_));
}

std::optional<EngineChoice> EngineSelector::cheapestOf(Instant now, const EngineQuery& query,
                                                       const std::vector<EngineState*>& drawn) {
  const double reserve = query.background ? surgeReservePerEngine(now, query.service) * (1 - query.urgency) : 0;
  const double reading_ms = static_cast<double>(query.prompt.prompt_tokens) / limits_.prompt_tokens_per_ms;
  double best_cost = reading_ms + limits_.good_enough_ms;
  // Where engines have different speeds, any engine with a free slot is good enough.
  if (!drawn.empty() && isUneven(*drawn.front())) best_cost += limits_.uneven_fill_ms;
  const EngineState* best = nullptr;
  std::uniform_real_distribution<double> jitter(0.0, kMaxJitterMs);
  for (const EngineState* const state : drawn) {
    if (now < state->ejected_until || !isAllowed(now, *state, query)) continue;
    if (!admitsAnother(now, *state, query)) continue;
    if (query.background && !hasBackgroundRoom(now, *state, reserve)) continue;
    if (query.needs_free_slot && !hasFreeSlot(now, *state, query)) continue;
    const double total = cost(now, *state, query, 0) + jitter(random_);
    if (total >= best_cost) continue;
    best = state;
    best_cost = total;
  }
  if (best == nullptr) return std::nullopt;
  return describe(now, *best, query, best_cost, 0, drawn.size());
}

bool EngineSelector::isSticky(const EngineQuery& query) const {
  return query.prefix_affinity && query.prompt.sharedTokens() >= limits_.affinity_tokens;
}

std::optional<EngineChoice> EngineSelector::describeChosen(Instant now, const EngineId& engine,
                                                           const EngineQuery& query, double expected_first_ms,
                                                           double running) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end() || !found->second.isOpen() || !isAllowed(now, found->second, query)) return std::nullopt;
  EngineChoice choice = describe(now, found->second, query, expected_first_ms, 0, 1);
  choice.expected_first_ms = expected_first_ms;
  choice.estimated_running = running;
  return choice;
}

std::vector<EngineId> EngineSelector::homesOf(std::uint64_t prefix, const std::vector<EngineState*>& usable) const {
  std::vector<std::tuple<bool, std::uint64_t, EngineId>> ranked;
  for (const EngineState* state : usable) {
    ranked.emplace_back(state->in_long_lane, mixBits(prefix ^ hashText(state->record.id.value)), state->record.id);
  }
  const auto wanted = static_cast<std::ptrdiff_t>(std::min(ranked.size(), limits_.home_engines));
  std::partial_sort(ranked.begin(), ranked.begin() + wanted, ranked.end(), std::greater<>());
  std::vector<EngineId> homes;
  for (std::ptrdiff_t i = 0; i < wanted; ++i) homes.push_back(std::get<EngineId>(ranked[static_cast<std::size_t>(i)]));
  return homes;
}

double EngineSelector::cachedShare(Instant now, const EngineState& state, std::uint64_t prefix,
                                   const std::vector<EngineId>& homes) const {
  const auto sent = state.prefixes.find(prefix);
  const bool sent_lately = sent != state.prefixes.end() && now - sent->second < kPrefixRetention;
  if (sent_lately || (!homes.empty() && homes.front() == state.record.id)) return 1;
  const bool at_home = std::find(homes.begin(), homes.end(), state.record.id) != homes.end();
  return at_home ? limits_.secondary_home_cached_share : 0;
}

EngineChoice EngineSelector::describe(Instant now, const EngineState& state, const EngineQuery& query, double cost_ms,
                                      double cached_share, std::size_t among) const {
  EngineChoice choice;
  choice.engine = state.record;
  choice.cost_ms = cost_ms;
  choice.slowness = slowness(now, state);
  choice.pace_age_ms = state.pace.reportedAgeMs(now);
  choice.expected_first_ms =
      std::max(0.0, readingMs(now, state, query, cached_share, choice.slowness) + paceMs(state, choice.slowness));
  // A guessed hold time would reject callers just after processes have restarted.
  if (slot_hold_ms_.contains(state.record.service)) choice.expected_first_ms += slotWaitMs(now, state, choice.slowness);
  choice.in_flight = state.in_flight;
  choice.estimated_running = estimatedRunning(now, state);
  choice.load_age_ms = state.load_at == Instant::min() ? -1 : toMillis(now - state.load_at);
  choice.expects_cached_prefix = cached_share > 0;
  choice.in_long_lane = state.in_long_lane;
  choice.candidates = among;
  choice.needs_preemption = needsPreemption(now, state);
  choice.detour_ms = overdueCost(now, state);
  if (state.record.zone != query.zone) {
    choice.detour_ms += limits_.other_zone_cost_ms + riskCost(state, choice.estimated_running);
  }
  return choice;
}

}  // namespace hatchfork::request
