#include "request/exchange/engine_selector.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace hatchfork::request {
namespace {

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

void EngineSelector::setEngines(Instant now, const std::vector<EngineRecord>& engines) {
  std::map<EngineId, EngineState> next;
  for (const EngineRecord& engine : engines) {
    const auto known = engines_.find(engine.id);
    // A new life has none of the requests, loads, prefixes and verdicts of the one before.
    const bool is_known =
        known != engines_.end() && compareLives(engine.born, known->second.record.born) == LifeOrder::kSame;
    EngineState state = is_known ? std::move(known->second) : EngineState{};
    if (engine.cold_ms != state.record.cold_ms) state.cold_until = now + fromMillis(engine.cold_ms);
    state.record = engine;
    state.evacuated = evacuated_.contains(engine.zone);
    next.emplace(engine.id, std::move(state));
  }
  engines_ = std::move(next);
  countEngines();
  assignLanes();
}

void EngineSelector::setEvacuated(Instant now, const std::set<ZoneId>& zones) {
  if (zones == evacuated_) return;
  evacuated_ = zones;
  for (auto& [id, state] : engines_) {
    const bool was_evacuated = std::exchange(state.evacuated, evacuated_.contains(state.record.zone));
    const auto service = services_.find(state.record.service);
    if (!was_evacuated || state.evacuated || service == services_.end()) continue;
    state.cold_until = std::max(state.cold_until, now + service->second.cold_time);
  }
  countEngines();
  assignLanes();
}

void EngineSelector::setServices(const std::map<ServiceId, RoutedService>& services) {
  services_ = services;
}

double EngineSelector::coldRate(const EngineState& state) const {
  const auto service = services_.find(state.record.service);
  return service == services_.end() ? 0 : limits_.cold_share_used * service->second.cold_requests_per_second;
}

bool EngineSelector::bearsAnother(Instant now, const EngineState& state, const EngineQuery& query) const {
  if (!isCold(now, state)) return true;
  const bool is_owner = !query.background && state.record.zone == limits_.cold_zone;
  return is_owner && now >= state.next_when_cold;
}

void EngineSelector::countEngines() {
  engine_counts_.clear();
  for (const auto& [id, state] : engines_) {
    if (state.isOpen()) ++engine_counts_[state.record.service];
  }
}

/// The long lane of a service is the part of its engines that hashing ranks first, so all processes agree on it.
void EngineSelector::assignLanes() {
  std::map<ServiceId, std::vector<std::pair<std::uint64_t, EngineState*>>> services;
  for (auto& [id, state] : engines_) {
    state.in_long_lane = false;
    if (state.isOpen()) services[state.record.service].emplace_back(mix(hashText(id.value)), &state);
  }
  for (auto& [service, ranked] : services) {
    std::sort(ranked.begin(), ranked.end());
    const double size = limits_.long_lane_share * static_cast<double>(ranked.size());
    const auto lane = ranked.size() < 3 ? 0 : static_cast<std::size_t>(std::lround(size));
    for (std::size_t i = 0; i < lane; ++i) ranked[i].second->in_long_lane = true;
  }
}

std::vector<EngineSelector::EngineState*> EngineSelector::candidates(Instant now, const EngineQuery& query) {
  std::vector<EngineState*> usable;
  std::vector<EngineState*> ejected;
  bool any_in_rotation = false;
  const double kept_free = query.background ? keptFreeEach(now, query.service) * (1 - query.urgency) : 0;
  for (auto& [id, state] : engines_) {
    if (state.record.service != query.service || !state.isOpen()) continue;
    if (query.excluded.contains(id) || !bearsAnother(now, state, query)) continue;
    any_in_rotation = any_in_rotation || now >= state.ejected_until;
    if (query.background && !hasBackgroundRoom(now, state, kept_free)) continue;
    (now < state.ejected_until ? ejected : usable).push_back(&state);
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

void EngineSelector::sampleEngines(Instant now, const EngineQuery& query, std::vector<EngineState*>& usable) {
  double others = 0;
  for (const EngineState* state : usable) {
    if (knowsOthers(now, *state)) others += state->known_others.in_flight;
  }
  const Duration blind_for = std::max(limits_.blind_for, told_every_);
  const double blind_choices = others / slotHoldMs(query.service) * toSeconds(blind_for) * 1000;
  if (blind_choices <= limits_.blind_choices_each) return;
  const double share = limits_.blind_choices_each / blind_choices;
  const auto sample_size = static_cast<std::size_t>(std::ceil(share * static_cast<double>(usable.size())));
  const auto first_overdue = std::partition(
      usable.begin(), usable.end(), [this, now](const EngineState* state) { return silenceCost(now, *state) == 0; });
  if (first_overdue != usable.begin()) usable.erase(first_overdue, usable.end());
  if (sample_size >= usable.size()) return;
  std::shuffle(usable.begin(), usable.end(), random_);
  usable.resize(sample_size);
}

std::optional<EngineChoice> EngineSelector::choose(Instant now, const EngineQuery& query) {
  noteLongPrompt(now, query);
  std::vector<EngineState*> usable = candidates(now, query);
  if (usable.empty()) return std::nullopt;
  const std::uint64_t prefix = prefixIdentity(query.prompt);
  const bool sticky = isSticky(query);
  if (!sticky && !query.background && !limits_.places_zone) sampleEngines(now, query, usable);
  const std::vector<EngineId> homes = sticky ? homesOf(prefix, usable) : std::vector<EngineId>();
  EngineState* best = nullptr;
  double best_cost = 0;
  double best_kept = 0;
  std::uniform_real_distribution<double> jitter(0.0, 3.0);
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
  if (found == engines_.end() || !found->second.isOpen()) return std::nullopt;
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

EngineSelector::EngineState* EngineSelector::engineOf(const Ticket& ticket) {
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

void EngineSelector::noteOthers(Instant now, const std::vector<EngineShare>& others) {
  noteTelling(now);
  for (auto& [id, state] : engines_) {
    state.known_others = EngineShare{id, 0, 0, 0};
    state.known_at = now;
  }
  for (const EngineShare& share : others) {
    const auto found = engines_.find(share.engine);
    if (found == engines_.end()) continue;
    found->second.known_others = share;
    if (share.unread_tokens >= limits_.long_prompt_tokens) long_prompt_heard_at_[found->second.record.service] = now;
  }
  noteSurges(now);
}

void EngineSelector::noteBackground(const std::vector<EngineShare>& background) {
  for (auto& [id, state] : engines_) state.background = 0;
  for (const EngineShare& share : background) {
    const auto found = engines_.find(share.engine);
    if (found != engines_.end()) found->second.background = share.in_flight;
  }
}

void EngineSelector::noteGivingWay(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end() && found->second.background > 0) --found->second.background;
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
  if (verdict == EngineVerdict::kGone) state.gone = true;
  if (verdict == EngineVerdict::kDeclined) state.ejected_until = std::max(state.ejected_until, now + fromMillis(50));
  engaged_.insert(ended.engine);
  if (verdict != EngineVerdict::kFailed) return;
  const Duration pause = limits_.first_ejection * (1 << std::min<std::uint32_t>(state.failures, 4));
  ++state.failures;
  state.ejected_until = now + std::min(pause, limits_.longest_ejection);
}

std::size_t EngineSelector::engineCount(const ServiceId& service) const {
  const auto count = engine_counts_.find(service);
  return count == engine_counts_.end() ? 0 : count->second;
}

std::uint32_t EngineSelector::allSlots() const {
  std::uint32_t slots = 0;
  for (const auto& [id, state] : engines_) slots += state.isOpen() ? state.record.slots : 0;
  return slots;
}

std::uint32_t EngineSelector::inFlight(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? 0 : found->second.in_flight;
}

double EngineSelector::freeSlots(Instant now, const ServiceId& service) const {
  double free = 0;
  for (const auto& [id, state] : engines_) {
    if (state.record.service != service || !state.isOpen() || now < state.ejected_until) continue;
    free += std::max(0.0, state.record.slots - estimatedRunning(now, state));
  }
  return free;
}

}  // namespace hatchfork::request
