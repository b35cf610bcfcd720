#include "process/store/placement_service.hpp"

#include <set>
#include <utility>

namespace hatchfork::store {

using request::EngineChoice;
using request::EngineVerdict;

namespace {

/// Gateways repeat the full list of their requests every second.
constexpr Duration kGatewayLifetime = fromMillis(2500);
/// Delay of the notes that an answer has begun; added to the allowed silence of an engine.
constexpr Duration kNoteDelay = fromMillis(40);

/// The load of engines in other zones is reported late, so sending to a nearly full engine there costs more than a
/// short wait for a slot in the own zone.
constexpr double kFullRiskMs = 200;

request::SelectorLimits limitsOfPlacement(ZoneId zone, const request::LoadFeatures& features) {
  request::SelectorLimits limits;
  limits.learns_pace = features.engine_pace;
  limits.places_zone = true;
  limits.cold_zone = std::move(zone);
  limits.overdue_grace += kNoteDelay;
  limits.full_risk_ms = kFullRiskMs;
  return limits;
}

}  // namespace

request::EngineQuery PlacementService::queryOf(const fleet::PlacementQuestion& question) {
  request::EngineQuery query;
  query.service = question.service;
  query.zone = question.zone;
  query.prompt.prompt_tokens = static_cast<std::uint32_t>(question.prompt_tokens);
  query.excluded.insert(question.excluded.begin(), question.excluded.end());
  query.zones = question.zones;
  return query;
}

PlacementService::PlacementService(std::uint64_t seed, ZoneId zone, PreemptFunction preempt,
                                   request::LoadFeatures features)
    : preempt_(std::move(preempt)),
      features_(features),
      zone_(zone),
      selector_(seed, limitsOfPlacement(std::move(zone), features)) {}

void PlacementService::takeEngines(Instant now, const EngineChanges& changes) {
  selector_.takeEngines(now, changes);
  serveQueues(now);
}

void PlacementService::notePeerLoad(Instant now, const std::vector<request::EngineShare>& peers) {
  selector_.notePeerLoads(now, peers);
  serveQueues(now);
}

PlacementService::Gateway& PlacementService::gatewayOf(Instant now, const std::string& node, const void* connection) {
  Gateway& gateway = gateways_[node];
  gateway.last_received_at = now;
  gateway.connection = connection;
  return gateway;
}

fleet::PlacementAnswer PlacementService::take(Instant now, const fleet::PlacementQuestion& question,
                                              const void* connection) {
  Gateway& gateway = gatewayOf(now, question.node, connection);
  if (usesQueue(question)) return placeOrEnqueue(now, gateway, question);
  if (selector_.isUneven(question.service)) {
    if (const auto choice = chooseFreeSlot(now, question, 0)) return placeAt(now, question, *choice);
  }
  return placeAnywhere(now, question);
}

fleet::PlacementAnswer PlacementService::placeAnywhere(Instant now, const fleet::PlacementQuestion& question) {
  const std::optional<EngineChoice> choice = selector_.choose(now, queryOf(question));
  if (choice) return placeAt(now, question, *choice);
  ++counters_.unplaced;
  fleet::PlacementAnswer answer;
  answer.number = question.number;
  return answer;
}

fleet::PlacementAnswer PlacementService::placeAt(Instant now, const fleet::PlacementQuestion& question,
                                                 const EngineChoice& choice) {
  Gateway& gateway = gateways_.at(question.node);
  end(now, gateway, question.number, EngineVerdict::kNeutral);
  gateway.tickets[question.number] = selector_.begin(now, choice.engine.id, queryOf(question));
  ++counters_.placed;
  if (choice.estimated_running >= choice.engine.slots) ++counters_.placed_without_free_slot;
  if (choice.needs_preemption) {
    ++counters_.preempted;
    selector_.notePreemption(choice.engine.id);
    preempt_(choice.engine.id);
  }
  fleet::PlacementAnswer answer;
  answer.number = question.number;
  answer.engine = choice.engine.id;
  answer.expected_first_ms = choice.expected_first_ms;
  answer.running = choice.estimated_running;
  answer.slowness = choice.slowness;
  answer.pace_age_ms = choice.pace_age_ms;
  return answer;
}

void PlacementService::take(Instant now, const fleet::PlacementNotes& notes, const void* connection) {
  Gateway& gateway = gatewayOf(now, notes.node, connection);
  if (notes.is_whole) {
    std::set<std::uint64_t> present;
    for (const fleet::PlacedRequest& request : notes.present) present.insert(request.number);
    std::vector<std::uint64_t> over;
    for (const auto& [number, ticket] : gateway.tickets) {
      if (!present.contains(number)) over.push_back(number);
    }
    for (const auto& [number, queue_number] : gateway.queued) {
      if (!present.contains(number)) over.push_back(number);
    }
    for (const std::uint64_t number : over) end(now, gateway, number, EngineVerdict::kNeutral);
  }
  for (const fleet::PlacedRequest& request : notes.present) {
    // A request without an engine: the gateway still waits for its placement.
    if (!request.engine.empty()) begin(now, gateway, request);
  }
  for (const std::uint64_t number : notes.answering) {
    const auto ticket = gateway.tickets.find(number);
    if (ticket != gateway.tickets.end()) selector_.noteFirstByte(now, ticket->second);
  }
  noteSpeeds(now, gateway, notes.paces);
  for (const fleet::EndedRequest& ended : notes.ended) {
    const auto ticket = gateway.tickets.find(ended.number);
    if (ended.timing && ticket != gateway.tickets.end()) selector_.noteTiming(ticket->second, *ended.timing);
    end(now, gateway, ended.number, ended.verdict);
  }
  serveQueues(now);
}

void PlacementService::noteSpeeds(Instant now, const Gateway& gateway, const std::vector<fleet::ToldPace>& paces) {
  for (const fleet::ToldPace& reported : paces) {
    const auto ticket = gateway.tickets.find(reported.number);
    if (ticket != gateway.tickets.end()) selector_.notePace(now, ticket->second, reported.pace);
  }
}

void PlacementService::begin(Instant now, Gateway& gateway, const fleet::PlacedRequest& request) {
  const auto known = gateway.tickets.find(request.number);
  if (known == gateway.tickets.end()) {
    request::EngineQuery query;
    query.prompt.prompt_tokens = static_cast<std::uint32_t>(request.prompt_tokens);
    gateway.tickets[request.number] = selector_.begin(now, request.engine, query);
  }
  if (request.is_answering) selector_.noteFirstByte(now, gateway.tickets.at(request.number));
}

void PlacementService::end(Instant now, Gateway& gateway, std::uint64_t number, EngineVerdict verdict) {
  leaveQueue(gateway, number);
  const auto ticket = gateway.tickets.find(number);
  if (ticket == gateway.tickets.end()) return;
  selector_.end(now, ticket->second, verdict);
  gateway.tickets.erase(ticket);
}

void PlacementService::endAll(Instant now, Gateway& gateway) {
  while (!gateway.queued.empty()) leaveQueue(gateway, gateway.queued.begin()->first);
  for (const auto& [number, ticket] : std::exchange(gateway.tickets, {})) {
    selector_.end(now, ticket, EngineVerdict::kNeutral);
  }
}

void PlacementService::dropIf(Instant now, const std::function<bool(const Gateway&)>& is_gone) {
  for (auto gateway = gateways_.begin(); gateway != gateways_.end();) {
    if (!is_gone(gateway->second)) {
      ++gateway;
      continue;
    }
    endAll(now, gateway->second);
    gateway = gateways_.erase(gateway);
  }
  serveQueues(now);
}

void PlacementService::drop(Instant now, const void* connection) {
  dropIf(now, [connection](const Gateway& gateway) { return gateway.connection == connection; });
}

void PlacementService::expire(Instant now) {
  dropIf(now, [now](const Gateway& gateway) { return now > gateway.last_received_at + kGatewayLifetime; });
}

}  // namespace hatchfork::store
