#include <algorithm>
#include <cmath>

#include "request/exchange/engine_selector.hpp"

// Cost of an engine for a request, in milliseconds until the request's first token.
namespace hatchfork::request {

bool EngineSelector::hasPeerLoads(Instant now) const {
  return peer_loads_at_ != Instant::min() && now <= peer_loads_at_ + limits_.peer_load_lifetime;
}

PeerLoad EngineSelector::peerLoadAt(const EngineState& state) const {
  return state.peer_report == peer_report_ ? state.peer_load : PeerLoad{};
}

std::uint32_t EngineSelector::backgroundAt(const EngineState& state) const {
  return state.background_report == background_report_ ? state.background : 0;
}

double EngineSelector::estimatedRunning(Instant now, const EngineState& state) const {
  if (hasPeerLoads(now)) return state.in_flight + peerLoadAt(state).in_flight;
  if (state.load_at == Instant::min()) return state.in_flight;
  const double age = toSeconds(now - state.load_at) / toSeconds(limits_.load_half_life);
  return state.in_flight + state.others * std::pow(0.5, age);
}

double EngineSelector::overdueMs(Instant now, const EngineState& state) const {
  if (state.due.empty() || now <= *state.due.begin()) return 0;
  return toSeconds(now - *state.due.begin()) * 1000;
}

double EngineSelector::overdueCost(Instant now, const EngineState& state) const {
  const double own = std::min(limits_.max_overdue_cost_ms, overdueMs(now, state));
  if (!hasPeerLoads(now)) return own;
  return std::max(own, std::min(limits_.max_reported_avoid_ms, static_cast<double>(peerLoadAt(state).avoid_ms)));
}

void EngineSelector::noteLongPrompt(Instant now, const EngineQuery& query) {
  if (!query.background && isLong(query)) long_prompt_at_[query.service] = now;
}

bool EngineSelector::hasLongLane(Instant now, const EngineQuery& query) const {
  const std::map<ServiceId, Instant>& known = query.background ? peer_long_prompt_at_ : long_prompt_at_;
  const auto seen = known.find(query.service);
  return seen != known.end() && now <= seen->second + limits_.long_lane_lifetime;
}

double EngineSelector::laneCost(Instant now, const EngineState& state, const EngineQuery& query) const {
  if (!hasLongLane(now, query)) return 0;
  if (query.background) return state.in_long_lane ? 0 : limits_.background_outside_lane_ms;
  if (isLong(query)) return state.in_long_lane ? 0 : limits_.long_outside_lane_ms;
  // Services that run no model have no long prompts to separate.
  if (query.prompt.prompt_tokens == 0) return 0;
  return state.in_long_lane ? limits_.short_in_long_lane_ms : 0;
}

double EngineSelector::slotHoldMs(const ServiceId& service) const {
  const auto learned = slot_hold_ms_.find(service);
  return learned == slot_hold_ms_.end() ? limits_.slot_hold_ms : learned->second;
}

void EngineSelector::learnSlotHold(Instant now, const Ticket& ticket, const EngineState& state) {
  if (ticket.background || !ticket.answering) return;
  const double held_ms = toSeconds(now - ticket.answering_at) * 1000;
  const auto [entry, first] = slot_hold_ms_.emplace(state.record.service, held_ms);
  if (!first) entry->second += limits_.hold_learning_rate * (held_ms - entry->second);
}

Duration EngineSelector::answerDue(Instant now, const EngineState& state) const {
  const double reading_ms = static_cast<double>(state.unread_tokens) / limits_.prompt_tokens_per_ms;
  if (!isUneven(state)) return limits_.overdue_grace + Duration(static_cast<Duration::rep>(reading_ms * 1000));
  // An engine that answers at its own slow speed is not overdue, nor is one whose slots were all taken.
  const double slow = std::max(1.0, slowness(now, state));
  const double before_first_ms = (state.service_pace->firstMs() + reading_ms) * slow;
  const double slots = std::max<double>(1, state.record.slots);
  const double ahead = std::max(0.0, estimatedRunning(now, state) - slots);
  const double wait_ms = ahead * slotHoldMs(state.record.service) * slow / slots;
  return limits_.overdue_grace + Duration(static_cast<Duration::rep>((before_first_ms + wait_ms) * 1000));
}

double EngineSelector::readingMs(Instant now, const EngineState& state, const EngineQuery& query, double cached_share,
                                 double slowness) const {
  double tokens = static_cast<double>(state.unread_tokens) + query.prompt.prompt_tokens;
  tokens -= cached_share * query.prompt.sharedTokens();
  if (hasPeerLoads(now)) {
    // Part of the tokens that were unread at the time of the report has been read since.
    const double read = toSeconds(now - peer_loads_at_) * 1000 * limits_.prompt_tokens_per_ms / slowness;
    tokens += std::max(0.0, static_cast<double>(peerLoadAt(state).unread_tokens) - read);
  }
  return tokens / limits_.prompt_tokens_per_ms * slowness;
}

double EngineSelector::slotWaitMs(Instant now, const EngineState& state, double slowness) const {
  const double slots = std::max<double>(1, state.record.slots);
  const double waiting = std::max(0.0, estimatedRunning(now, state) + 1 - slots);
  if (waiting == 0) return 0;
  return waiting * slotHoldMs(state.record.service) * slowness / slots;
}

bool EngineSelector::needsPreemption(Instant now, const EngineState& state) const {
  const double running = estimatedRunning(now, state);
  const double slots = state.record.slots;
  const std::uint32_t background = backgroundAt(state);
  return background > 0 && running + 1 <= slots && running + background + 1 > slots;
}

bool EngineSelector::hasFreeSlot(Instant now, const EngineState& state, const EngineQuery& query) const {
  double taken = estimatedRunning(now, state);
  if (query.spares_background) taken += backgroundAt(state);
  const bool is_near = state.record.zone == query.zone;
  return taken + 1 <= state.record.slots * (is_near ? 1 : limits_.other_zone_free_share);
}

double EngineSelector::riskCost(const EngineState& state, double running) const {
  const double slots = std::max<double>(1, state.record.slots);
  const double risk = (running / slots - limits_.risky_share) / (1 - limits_.risky_share);
  return std::clamp(risk, 0.0, 1.0) * limits_.full_risk_ms;
}

double EngineSelector::cost(Instant now, const EngineState& state, const EngineQuery& query,
                            double cached_share) const {
  const double running = estimatedRunning(now, state);
  const double slots = std::max<double>(1, state.record.slots);
  const double slow = slowness(now, state);
  double total = readingMs(now, state, query, cached_share, slow) + paceMs(state, slow);
  total += isUneven(state) ? running / slots * limits_.uneven_fill_ms : running * limits_.running_cost_ms;
  total += slotWaitMs(now, state, slow);
  if (needsPreemption(now, state)) total += limits_.preemption_ms;
  const bool at_home = cached_share > 0 && isLong(query);
  const bool is_known = limits_.places_zone && state.record.zone == query.zone;
  if (!at_home && !is_known) total += riskCost(state, running);
  if (state.record.zone != query.zone) total += limits_.other_zone_cost_ms;
  return total + laneCost(now, state, query) + overdueCost(now, state);
}

}  // namespace hatchfork::request
