#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "request/exchange/engine_selector.hpp"
#include "request/exchange/prefix_identity.hpp"

// Which engine a request goes to.
namespace hatchfork::request {
namespace {

/// Chance in a choice, so that processes with the same view do not all choose the same engine.
constexpr double kMostJitterMs = 3;

}  // namespace

double EngineSelector::coldRate(const EngineState& state) const {
  const auto service = services_.find(state.record.service);
  return service == services_.end() ? 0 : limits_.cold_share_used * service->second.cold_requests_per_second;
}

bool EngineSelector::isAllowed(const EngineState& state, const EngineQuery& query) {
  if (query.zones && !query.zones->contains(state.record.zone)) return false;
  return !query.excluded.contains(state.record.id);
}

bool EngineSelector::bearsAnother(Instant now, const EngineState& state, const EngineQuery& query) const {
  if (!isCold(now, state)) return true;
  const bool is_owner = !query.background && state.record.zone == limits_.cold_zone;
  return is_owner && now >= state.next_when_cold;
}

std::vector<EngineState*> EngineSelector::candidates(Instant now, const EngineQuery& query, const EnginePool& pool) {
  std::vector<EngineState*> usable;
  std::vector<EngineState*> ejected;
  bool any_in_rotation = false;
  const double kept_free = query.background ? keptFreeEach(now, query.service) * (1 - query.urgency) : 0;
  const std::size_t looked_at = isSticky(query) ? pool.size() : limits_.looked_at_most;
  for (EngineState* const state : drawNeighbours(pool.all(), looked_at, random_)) {
    if (!isAllowed(*state, query) || !bearsAnother(now, *state, query)) continue;
    any_in_rotation = any_in_rotation || now >= state->ejected_until;
    if (query.background && !hasBackgroundRoom(now, *state, kept_free)) continue;
    if (query.needs_free_slot && !hasFreePlace(now, *state, query)) continue;
    (now < state->ejected_until ? ejected : usable).push_back(state);
  }
  // Batch work, and requests that stand in line, wait for room at an engine in rotation.
  if ((query.background || query.needs_free_slot) && any_in_rotation) return usable;
  const std::size_t all = usable.size() + ejected.size();
  const auto least = static_cast<std::size_t>(std::ceil(static_cast<double>(all) * (1 - limits_.most_ejected_share)));
  std::sort(ejected.begin(), ejected.end(), [](const EngineState* left, const EngineState* right) {
    return left->ejected_until < right->ejected_until;
  });
  for (std::size_t i = 0; usable.size() < least && i < ejected.size(); ++i) usable.push_back(ejected[i]);
  return usable;
}

std::size_t EngineSelector::sampleSize(Instant now, const EngineQuery& query, const EnginePool& pool,
                                       std::size_t usable) const {
  if (!knowsOthers(now)) return usable;
  const Duration blind_for = std::max(limits_.blind_for, told_every_);
  const double blind_choices = pool.othersInFlight() / slotHoldMs(query.service) * toSeconds(blind_for) * 1000;
  if (blind_choices <= limits_.blind_choices_each) return usable;
  const double share = limits_.blind_choices_each / blind_choices;
  return static_cast<std::size_t>(std::ceil(share * static_cast<double>(usable)));
}

void EngineSelector::sampleEngines(Instant now, const EngineQuery& query, const EnginePool& pool,
                                   std::vector<EngineState*>& usable) {
  const std::size_t sample_size = sampleSize(now, query, pool, usable.size());
  if (sample_size >= usable.size()) return;
  const auto first_overdue = std::partition(
      usable.begin(), usable.end(), [this, now](const EngineState* state) { return silenceCost(now, *state) == 0; });
  if (first_overdue != usable.begin()) usable.erase(first_overdue, usable.end());
  if (sample_size >= usable.size()) return;
  std::shuffle(usable.begin(), usable.end(), random_);
  usable.resize(sample_size);
}

std::optional<EngineChoice> EngineSelector::choose(Instant now, const EngineQuery& query) {
  noteLongPrompt(now, query);
  const EnginePool* const pool = poolOf(query.service);
  if (pool == nullptr) return std::nullopt;
  const bool sticky = isSticky(query);
  if (!sticky && pool->size() > limits_.drawn_from) {
    if (std::optional<EngineChoice> drawn = chooseAmongDrawn(now, query, *pool)) return drawn;
  }
  std::vector<EngineState*> usable = candidates(now, query, *pool);
  if (usable.empty()) return std::nullopt;
  const std::uint64_t prefix = prefixIdentity(query.prompt);
  if (!sticky && !query.background && !limits_.places_zone) sampleEngines(now, query, *pool, usable);
  const std::vector<EngineId> homes = sticky ? homesOf(prefix, usable) : std::vector<EngineId>();
  EngineState* best = nullptr;
  double best_cost = 0;
  double best_kept = 0;
  std::uniform_real_distribution<double> jitter(0.0, kMostJitterMs);
  for (EngineState* state : usable) {
    const double kept = sticky ? keptShare(now, *state, prefix, homes) : 0;
    const double total = cost(now, *state, query, kept) + jitter(random_);
    if (best != nullptr && total >= best_cost) continue;
    best = state;
    best_cost = total;
    best_kept = kept;
  }
  return describe(now, *best, query, best_cost, best_kept, usable.size());
}

std::optional<EngineChoice> EngineSelector::chooseAmongDrawn(Instant now, const EngineQuery& query,
                                                             const EnginePool& pool) {
  std::size_t most = limits_.drawn_first;
  const bool is_blind = !query.background && !limits_.places_zone;
  if (is_blind) most = std::min(most, sampleSize(now, query, pool, pool.size()));
  std::optional<EngineChoice> near = cheapestDrawn(now, query, drawNeighbours(pool.ofZone(query.zone), most, random_));
  return near ? near : cheapestDrawn(now, query, drawNeighbours(pool.all(), most, random_));
}

std::optional<EngineChoice> EngineSelector::cheapestDrawn(Instant now, const EngineQuery& query,
                                                          const std::vector<EngineState*>& drawn) {
  const double kept_free = query.background ? keptFreeEach(now, query.service) * (1 - query.urgency) : 0;
  const double reading_ms = static_cast<double>(query.prompt.prompt_tokens) / limits_.prompt_tokens_per_ms;
  double best_cost = reading_ms + limits_.good_enough_ms;
  // Any engine with a free place is good enough where they are uneven.
  if (!drawn.empty() && isUneven(*drawn.front())) best_cost += limits_.even_fill_ms;
  const EngineState* best = nullptr;
  std::uniform_real_distribution<double> jitter(0.0, kMostJitterMs);
  for (const EngineState* const state : drawn) {
    if (now < state->ejected_until || !isAllowed(*state, query)) continue;
    if (!bearsAnother(now, *state, query)) continue;
    if (query.background && !hasBackgroundRoom(now, *state, kept_free)) continue;
    if (query.needs_free_slot && !hasFreePlace(now, *state, query)) continue;
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
  if (found == engines_.end() || !found->second.isOpen() || !isAllowed(found->second, query)) return std::nullopt;
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

double EngineSelector::keptShare(Instant now, const EngineState& state, std::uint64_t prefix,
                                 const std::vector<EngineId>& homes) const {
  const auto sent = state.prefixes.find(prefix);
  const bool sent_lately = sent != state.prefixes.end() && now - sent->second < kPrefixKept;
  if (sent_lately || (!homes.empty() && homes.front() == state.record.id)) return 1;
  const bool at_home = std::find(homes.begin(), homes.end(), state.record.id) != homes.end();
  return at_home ? limits_.kept_at_other_homes : 0;
}

EngineChoice EngineSelector::describe(Instant now, const EngineState& state, const EngineQuery& query, double cost_ms,
                                      double kept, std::size_t among) const {
  EngineChoice choice;
  choice.engine = state.record;
  choice.cost_ms = cost_ms;
  choice.slowness = slowness(now, state);
  choice.pace_age_ms = state.pace.reportedAgeMs(now);
  choice.expected_first_ms =
      std::max(0.0, readingMs(now, state, query, kept, choice.slowness) + paceMs(state, choice.slowness));
  // A guessed time would turn callers back just when processes have started anew.
  if (hold_ms_.contains(state.record.service)) choice.expected_first_ms += slotWaitMs(now, state, choice.slowness);
  choice.in_flight = state.in_flight;
  choice.estimated_running = estimatedRunning(now, state);
  choice.load_age_ms = state.load_at == Instant::min() ? -1 : toMillis(now - state.load_at);
  choice.expects_cached_prefix = kept > 0;
  choice.in_long_lane = state.in_long_lane;
  choice.candidates = among;
  choice.needs_preemption = mustGiveWay(now, state);
  choice.detour_ms = silenceCost(now, state);
  if (state.record.zone != query.zone) {
    choice.detour_ms += limits_.other_zone_cost_ms + riskCost(state, choice.estimated_running);
  }
  return choice;
}

}  // namespace hatchfork::request
