#include "request/exchange/engine_selector.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "request/exchange/prefix_identity.hpp"

namespace hatchfork::request {
namespace {

constexpr std::size_t kMaxPrefixesPerEngine = 4096;
/// Reported pace of an engine at its usual speed.
constexpr double kUsualPacePercent = 100;

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
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  // Engines that report no pace, or one in another format, count as working at their usual speed.
  if (std::from_chars(text.data(), text.data() + text.size(), load.pace).ec != std::errc()) load.pace = 0;
  return load;
}

bool EngineSelector::isServing(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  return found != engines_.end() && !found->second.record.leaving;
}

std::vector<EngineId> EngineSelector::ejectedEngines(Instant now, const ServiceId& service) const {
  std::vector<EngineId> ejected;
  for (const EngineId& id : active_engines_) {
    const auto found = engines_.find(id);
    if (found == engines_.end() || found->second.record.service != service) continue;
    if (now < found->second.ejected_until || found->second.gone) ejected.push_back(id);
  }
  return ejected;
}

EngineState* EngineSelector::engineOf(const Ticket& ticket) {
  const auto found = engines_.find(ticket.engine);
  if (found == engines_.end()) return nullptr;
  return compareIncarnations(ticket.born, found->second.record.born) == IncarnationOrder::kSame ? &found->second
                                                                                                : nullptr;
}

TicketId EngineSelector::begin(Instant now, const EngineId& engine, const EngineQuery& query) {
  const TicketId ticket = ++last_ticket_;
  const auto found = engines_.find(engine);
  Instant due{};
  std::uint64_t unread = query.prompt.prompt_tokens;
  bool had_free_slot = false;
  if (found != engines_.end()) {
    EngineState& state = found->second;
    active_engines_.insert(engine);
    ++state.in_flight;
    if (isCold(now, state)) {
      const Duration apart(static_cast<Duration::rep>(1e6 / coldRate(state)));
      state.next_while_cold = std::max(now, state.next_while_cold) + apart;
    }
    if (isSticky(query)) {
      const std::uint64_t prefix = prefixIdentity(query.prompt);
      const auto sent = state.prefixes.find(prefix);
      const bool is_cached = sent != state.prefixes.end() && now - sent->second < kPrefixRetention;
      if (is_cached) unread -= std::min<std::uint64_t>(unread, query.prompt.sharedTokens());
      if (state.prefixes.size() >= kMaxPrefixesPerEngine) state.prefixes.clear();
      state.prefixes[prefix] = now;
    }
    state.unread_tokens += unread;
    due = now + answerDue(now, state);
    had_free_slot = estimatedRunning(now, state) <= state.record.slots;
    state.due.insert(due);
  }
  const WallMillis born = found == engines_.end() ? 0 : found->second.record.born;
  tickets_[ticket] = Ticket{engine, born, unread, due, false, query.background, Instant{}, had_free_slot};
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
  if (load.pace > 0) takePace(now, found->second, load.pace);
}

void EngineSelector::takePace(Instant now, EngineState& state, std::uint32_t pace) {
  if (state.service_pace == nullptr) return;
  state.service_pace->noteReported();
  state.pace.noteReported(now, pace / kUsualPacePercent, limits_.pace);
}

void EngineSelector::notePace(Instant now, TicketId ticket, std::uint32_t pace) {
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end() || pace == 0) return;
  if (EngineState* const state = engineOf(found->second)) takePace(now, *state, pace);
}

void EngineSelector::noteTiming(TicketId ticket, const AnswerTiming& timing) {
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end() || found->second.background) return;
  EngineState* const state = engineOf(found->second);
  if (state == nullptr || state->service_pace == nullptr) return;
  // The time of an answer that arrives at once includes the wait for a slot.
  if (timing.events == 0 && !found->second.had_free_slot) return;
  state->service_pace->note(timing, limits_.pace);
  state->pace.note(timing, *state->service_pace, limits_.pace);
  if (!found->second.had_free_slot) return;
  const double reading_ms = static_cast<double>(found->second.unread_tokens) / limits_.prompt_tokens_per_ms;
  state->service_pace->noteFirst(timing.first_ms, reading_ms, limits_.pace);
}

void EngineSelector::notePeerReport(Instant now) {
  const bool is_first = peer_loads_at_ == Instant::min();
  const Duration gap = is_first ? Duration::zero() : std::min(now - peer_loads_at_, limits_.peer_load_lifetime);
  peer_loads_at_ = now;
  const double more =
      limits_.report_interval_learning_rate * static_cast<double>((gap - mean_report_interval_).count());
  mean_report_interval_ += Duration(static_cast<Duration::rep>(more));
}

/// Time grows with the engines under load: engines that are not named keep an older report number.
void EngineSelector::notePeerLoads(Instant now, const std::vector<EngineShare>& others) {
  notePeerReport(now);
  ++peer_report_;
  for (auto& [service, pool] : pools_) pool.clearPeers();
  for (const EngineShare& share : others) {
    const auto found = engines_.find(share.engine);
    if (found == engines_.end()) continue;
    EngineState& state = found->second;
    state.peer_load = PeerLoad{share.in_flight, share.unread_tokens, share.avoid_ms};
    state.peer_report = peer_report_;
    if (EnginePool* const pool = poolOf(state.record.service)) pool->addPeers(share.in_flight);
    if (share.unread_tokens >= limits_.long_prompt_tokens) peer_long_prompt_at_[state.record.service] = now;
  }
  noteSurges(now);
}

void EngineSelector::noteBackground(const std::vector<EngineShare>& background) {
  ++background_report_;
  for (const EngineShare& share : background) {
    const auto found = engines_.find(share.engine);
    if (found == engines_.end()) continue;
    found->second.background = share.in_flight;
    found->second.background_report = background_report_;
  }
}

void EngineSelector::notePreemption(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end() && backgroundAt(found->second) > 0) --found->second.background;
}

std::vector<EngineShare> EngineSelector::ownShares(Instant now) {
  std::vector<EngineShare> shares;
  for (auto active = active_engines_.begin(); active != active_engines_.end();) {
    const auto engine = engines_.find(*active);
    if (engine == engines_.end()) {
      active = active_engines_.erase(active);
      continue;
    }
    const EngineState& state = engine->second;
    double avoid = overdueMs(now, state);
    if (now < state.ejected_until) avoid = std::max(avoid, toSeconds(state.ejected_until - now) * 1000);
    if (state.in_flight == 0 && avoid < 1) {
      active = active_engines_.erase(active);
      continue;
    }
    shares.push_back(EngineShare{*active, state.in_flight, state.unread_tokens, static_cast<std::uint32_t>(avoid)});
    ++active;
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
  if (verdict == EngineVerdict::kGood) learnSlotHold(now, ended, state);
  if (state.in_flight > 0) --state.in_flight;
  if (verdict == EngineVerdict::kGood) state.failures = 0;
  if (verdict == EngineVerdict::kGone) {
    removeFromPool(state);
    state.gone = true;
  }
  if (verdict == EngineVerdict::kDeclined) state.ejected_until = std::max(state.ejected_until, now + fromMillis(50));
  active_engines_.insert(ended.engine);
  if (verdict != EngineVerdict::kFailed) return;
  const Duration pause = limits_.initial_ejection * (1 << std::min<std::uint32_t>(state.failures, 4));
  ++state.failures;
  state.ejected_until = now + std::min(pause, limits_.max_ejection);
}

std::size_t EngineSelector::engineCount(const ServiceId& service) const {
  const EnginePool* const pool = poolOf(service);
  return pool == nullptr ? 0 : pool->size();
}

std::size_t EngineSelector::engineCount(const ServiceId& service, const ZoneId& zone) const {
  const EnginePool* const pool = poolOf(service);
  return pool == nullptr ? 0 : pool->ofZone(zone).size();
}

std::optional<double> EngineSelector::slotFreedIntervalMs(const ServiceId& service) const {
  const EnginePool* const pool = poolOf(service);
  const auto hold = slot_hold_ms_.find(service);
  if (pool == nullptr || pool->slots() == 0 || hold == slot_hold_ms_.end()) return std::nullopt;
  return hold->second * static_cast<double>(pool->size()) / pool->slots();
}

bool EngineSelector::isUneven(const ServiceId& service) const {
  const auto found = paces_.find(service);
  return found != paces_.end() && found->second.isUneven();
}

double EngineSelector::slotsFreedPerMs(Instant now, const ServiceId& service, const ZoneId& zone) const {
  const EnginePool* const pool = poolOf(service);
  if (pool == nullptr || !slot_hold_ms_.contains(service)) return 0;
  const double hold_ms = std::max(1.0, slotHoldMs(service));
  double freed = 0;
  for (const EngineState* const state : pool->ofZone(zone)) {
    if (now < state->ejected_until) continue;
    freed += state->record.slots / (hold_ms * slowness(now, *state));
  }
  return freed;
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
