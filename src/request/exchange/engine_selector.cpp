#include "request/exchange/engine_selector.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace hatchfork::request {
namespace {

/// Chance in a choice, so that processes with the same view do not all choose the same engine.
constexpr double kMostJitterMs = 3;
constexpr std::size_t kMostPrefixesRemembered = 4096;
/// An engine is taken to keep a prefix for this long after it was last sent there.
constexpr Duration kPrefixKept = std::chrono::seconds(12);

std::uint64_t mix(std::uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

std::uint64_t hashText(const std::string& text) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 1099511628211ULL;
  }
  return hash;
}

/// Identity of all shared parts in their order; zero without any.
std::uint64_t prefixIdentity(const PromptShape& prompt) {
  std::uint64_t identity = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) identity = mix(identity ^ mix(prompt.parts[i].id + i + 1));
  return identity;
}

}  // namespace

std::optional<EngineLoad> parseEngineLoad(std::string_view text) {
  EngineLoad load;
  std::uint32_t* fields[] = {&load.running, &load.waiting, &load.slots};
  for (std::uint32_t* field : fields) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *field);
    if (error != std::errc()) return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (!text.empty() && text.front() == ',') text.remove_prefix(1);
  }
  return load;
}

void EngineSelector::takeEngines(Instant now, const EngineChanges& changes) {
  if (changes.is_whole) {
    std::set<EngineId> present;
    for (const EngineRecord& engine : changes.present) present.insert(engine.id);
    std::vector<EngineId> gone;
    for (const auto& [id, state] : engines_) {
      if (!present.contains(id)) gone.push_back(id);
    }
    for (const EngineId& engine : gone) dropEngine(engine);
  }
  for (const EngineId& engine : changes.removed) dropEngine(engine);
  for (const EngineRecord& engine : changes.present) takeEngine(now, engine);
}

void EngineSelector::takeEngine(Instant now, const EngineRecord& record) {
  const auto [entry, is_new] = engines_.try_emplace(record.id);
  EngineState& state = entry->second;
  if (!is_new) {
    removeFromPool(state);
    // A new life has none of the requests, loads, prefixes and verdicts of the one before.
    if (compareLives(record.born, state.record.born) != LifeOrder::kSame) state = EngineState{};
  }
  if (record.cold_ms != state.record.cold_ms) state.cold_until = now + fromMillis(record.cold_ms);
  state.record = record;
  state.id_hash = mix(hashText(record.id.value));
  state.evacuated = evacuated_.contains(record.zone);
  addToPool(state);
}

void EngineSelector::dropEngine(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  removeFromPool(found->second);
  engines_.erase(found);
}

void EngineSelector::addToPool(EngineState& state) {
  if (!state.isOpen()) return;
  pools_.try_emplace(state.record.service, limits_.long_lane_share).first->second.add(state);
}

void EngineSelector::removeFromPool(EngineState& state) {
  if (state.isOpen()) pools_.at(state.record.service).remove(state);
}

EnginePool* EngineSelector::poolOf(const ServiceId& service) {
  const auto found = pools_.find(service);
  return found == pools_.end() ? nullptr : &found->second;
}

const EnginePool* EngineSelector::poolOf(const ServiceId& service) const {
  const auto found = pools_.find(service);
  return found == pools_.end() ? nullptr : &found->second;
}

void EngineSelector::setEvacuated(Instant now, const std::set<ZoneId>& zones) {
  if (zones == evacuated_) return;
  evacuated_ = zones;
  for (auto& [id, state] : engines_) {
    const bool is_evacuated = evacuated_.contains(state.record.zone);
    if (is_evacuated == state.evacuated) continue;
    removeFromPool(state);
    state.evacuated = is_evacuated;
    addToPool(state);
    const auto service = services_.find(state.record.service);
    if (is_evacuated || service == services_.end()) continue;
    state.cold_until = std::max(state.cold_until, now + service->second.cold_time);
  }
}

void EngineSelector::setServices(const std::map<ServiceId, RoutedService>& services) {
  services_ = services;
}

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
    (now < state->ejected_until ? ejected : usable).push_back(state);
  }
  // Batch work waits for room at an engine in rotation.
  if (query.background && any_in_rotation) return usable;
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
  const double blind_choices = pool.others_in_flight / slotHoldMs(query.service) * toSeconds(blind_for) * 1000;
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
  const EngineState* best = nullptr;
  std::uniform_real_distribution<double> jitter(0.0, kMostJitterMs);
  for (const EngineState* const state : drawn) {
    if (now < state->ejected_until || !isAllowed(*state, query)) continue;
    if (!bearsAnother(now, *state, query)) continue;
    if (query.background && !hasBackgroundRoom(now, *state, kept_free)) continue;
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

bool EngineSelector::isServing(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  return found != engines_.end() && !found->second.record.leaving;
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

std::vector<EngineId> EngineSelector::ejectedEngines(Instant now, const ServiceId& service) const {
  std::vector<EngineId> ejected;
  for (const EngineId& id : engaged_) {
    const auto found = engines_.find(id);
    if (found == engines_.end() || found->second.record.service != service) continue;
    if (now < found->second.ejected_until || found->second.gone) ejected.push_back(id);
  }
  return ejected;
}

std::vector<EngineId> EngineSelector::homesOf(std::uint64_t prefix, const std::vector<EngineState*>& usable) const {
  std::vector<std::tuple<bool, std::uint64_t, EngineId>> ranked;
  for (const EngineState* state : usable) {
    ranked.emplace_back(state->in_long_lane, mix(prefix ^ hashText(state->record.id.value)), state->record.id);
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
  choice.expected_first_ms = readingMs(now, state, query, kept);
  // A guessed time would turn callers back just when processes have started anew.
  if (hold_ms_.contains(state.record.service)) choice.expected_first_ms += slotWaitMs(now, state);
  choice.in_flight = state.in_flight;
  choice.estimated_running = estimatedRunning(now, state);
  choice.load_age_ms = state.load_at == Instant::min() ? -1 : toMillis(now - state.load_at);
  choice.expects_cached_prefix = kept > 0;
  choice.in_long_lane = state.in_long_lane;
  choice.candidates = among;
  choice.must_give_way = mustGiveWay(now, state);
  return choice;
}

EngineState* EngineSelector::engineOf(const Ticket& ticket) {
  const auto found = engines_.find(ticket.engine);
  if (found == engines_.end()) return nullptr;
  return compareLives(ticket.born, found->second.record.born) == LifeOrder::kSame ? &found->second : nullptr;
}

TicketId EngineSelector::begin(Instant now, const EngineId& engine, const EngineQuery& query) {
  const TicketId ticket = ++last_ticket_;
  const auto found = engines_.find(engine);
  Instant due{};
  std::uint64_t unread = query.prompt.prompt_tokens;
  if (found != engines_.end()) {
    EngineState& state = found->second;
    engaged_.insert(engine);
    ++state.in_flight;
    if (isCold(now, state)) {
      const Duration apart(static_cast<Duration::rep>(1e6 / coldRate(state)));
      state.next_when_cold = std::max(now, state.next_when_cold) + apart;
    }
    if (isSticky(query)) {
      const std::uint64_t prefix = prefixIdentity(query.prompt);
      const auto sent = state.prefixes.find(prefix);
      const bool kept = sent != state.prefixes.end() && now - sent->second < kPrefixKept;
      if (kept) unread -= std::min<std::uint64_t>(unread, query.prompt.sharedTokens());
      if (state.prefixes.size() >= kMostPrefixesRemembered) state.prefixes.clear();
      state.prefixes[prefix] = now;
    }
    state.unread_tokens += unread;
    const double reading_ms = static_cast<double>(state.unread_tokens) / limits_.prompt_tokens_per_ms;
    due = now + limits_.silence_allowed + Duration(static_cast<Duration::rep>(reading_ms * 1000));
    state.due.insert(due);
  }
  const WallMillis born = found == engines_.end() ? 0 : found->second.record.born;
  tickets_[ticket] = Ticket{engine, born, unread, due, false, query.background, Instant{}};
  noteChange();
  return ticket;
}

void EngineSelector::noteFirstByte(Instant now, TicketId ticket) {
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end() || found->second.answering) return;
  found->second.answering = true;
  found->second.answering_at = now;
  EngineState* const engine = engineOf(found->second);
  if (engine == nullptr) return;
  EngineState& state = *engine;
  state.unread_tokens -= std::min(state.unread_tokens, found->second.unread_tokens);
  const auto due = state.due.find(found->second.due);
  if (due != state.due.end()) state.due.erase(due);
}

void EngineSelector::noteLoad(Instant now, const EngineId& engine, const EngineLoad& load) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  const double reported = static_cast<double>(load.running) + load.waiting;
  found->second.others = std::max(0.0, reported - found->second.in_flight);
  found->second.load_at = now;
}

void EngineSelector::noteTelling(Instant now) {
  const bool is_first = others_noted_at_ == Instant::min();
  const Duration gap = is_first ? Duration::zero() : std::min(now - others_noted_at_, limits_.others_known_for);
  others_noted_at_ = now;
  const double more = limits_.blind_learning_rate * static_cast<double>((gap - told_every_).count());
  told_every_ += Duration(static_cast<Duration::rep>(more));
}

/// Costs what is loaded: an engine that is not named belongs to an older telling.
void EngineSelector::noteOthers(Instant now, const std::vector<EngineShare>& others) {
  noteTelling(now);
  ++others_telling_;
  for (auto& [service, pool] : pools_) pool.others_in_flight = 0;
  for (const EngineShare& share : others) {
    const auto found = engines_.find(share.engine);
    if (found == engines_.end()) continue;
    EngineState& state = found->second;
    state.known_others = KnownLoad{share.in_flight, share.unread_tokens, share.avoid_ms};
    state.known_telling = others_telling_;
    if (EnginePool* const pool = poolOf(state.record.service)) pool->others_in_flight += share.in_flight;
    if (share.unread_tokens >= limits_.long_prompt_tokens) long_prompt_heard_at_[state.record.service] = now;
  }
  noteSurges(now);
}

void EngineSelector::noteBackground(const std::vector<EngineShare>& background) {
  ++background_telling_;
  for (const EngineShare& share : background) {
    const auto found = engines_.find(share.engine);
    if (found == engines_.end()) continue;
    found->second.background = share.in_flight;
    found->second.background_telling = background_telling_;
  }
}

void EngineSelector::noteGivingWay(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end() && backgroundAt(found->second) > 0) --found->second.background;
}

std::vector<EngineShare> EngineSelector::ownShares(Instant now) {
  std::vector<EngineShare> shares;
  for (auto engaged = engaged_.begin(); engaged != engaged_.end();) {
    const auto engine = engines_.find(*engaged);
    if (engine == engines_.end()) {
      engaged = engaged_.erase(engaged);
      continue;
    }
    const EngineState& state = engine->second;
    double avoid = overdueMs(now, state);
    if (now < state.ejected_until) avoid = std::max(avoid, toSeconds(state.ejected_until - now) * 1000);
    if (state.in_flight == 0 && avoid < 1) {
      engaged = engaged_.erase(engaged);
      continue;
    }
    shares.push_back(EngineShare{*engaged, state.in_flight, state.unread_tokens, static_cast<std::uint32_t>(avoid)});
    ++engaged;
  }
  return shares;
}

void EngineSelector::end(Instant now, TicketId ticket, EngineVerdict verdict) {
  noteFirstByte(now, ticket);
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end()) return;
  const Ticket ended = found->second;
  tickets_.erase(found);
  noteChange();
  EngineState* const engine = engineOf(ended);
  if (engine == nullptr) return;
  EngineState& state = *engine;
  if (verdict == EngineVerdict::kGood) learnHold(now, ended, state);
  if (state.in_flight > 0) --state.in_flight;
  if (verdict == EngineVerdict::kGood) state.failures = 0;
  if (verdict == EngineVerdict::kGone) {
    removeFromPool(state);
    state.gone = true;
  }
  if (verdict == EngineVerdict::kDeclined) state.ejected_until = std::max(state.ejected_until, now + fromMillis(50));
  engaged_.insert(ended.engine);
  if (verdict != EngineVerdict::kFailed) return;
  const Duration pause = limits_.first_ejection * (1 << std::min<std::uint32_t>(state.failures, 4));
  ++state.failures;
  state.ejected_until = now + std::min(pause, limits_.longest_ejection);
}

std::size_t EngineSelector::engineCount(const ServiceId& service) const {
  const EnginePool* const pool = poolOf(service);
  return pool == nullptr ? 0 : pool->size();
}

std::uint32_t EngineSelector::allSlots() const {
  std::uint32_t slots = 0;
  for (const auto& [service, pool] : pools_) slots += pool.slots();
  return slots;
}

std::uint32_t EngineSelector::inFlight(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? 0 : found->second.in_flight;
}

double EngineSelector::freeSlots(Instant now, const ServiceId& service) const {
  const EnginePool* const pool = poolOf(service);
  if (pool == nullptr) return 0;
  double free = 0;
  for (const EngineState* const state : pool->all()) {
    if (now < state->ejected_until) continue;
    free += std::max(0.0, state->record.slots - estimatedRunning(now, *state));
  }
  return free;
}

}  // namespace hatchfork::request
