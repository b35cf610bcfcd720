#include "process/store/placement_service.hpp"

#include <set>
#include <utility>

namespace hatchfork::store {

using request::EngineChoice;
using request::EngineVerdict;

namespace {

/// Gateways repeat all that they have every second.
constexpr Duration kGatewayLifetime = fromMillis(2500);
/// Notes that an answer has begun come with a delay that is no silence of the engine.
constexpr Duration kNoteDelay = fromMillis(40);

/// The load of other zones' engines is known late, so one that looks nearly full costs more than a short wait for a
/// slot of the own zone.
constexpr double kFullRiskMs = 200;

request::SelectorLimits limitsOfPlacement(ZoneId zone) {
  request::SelectorLimits limits;
  limits.places_zone = true;
  limits.cold_zone = std::move(zone);
  limits.silence_allowed += kNoteDelay;
  limits.full_risk_ms = kFullRiskMs;
  return limits;
}

request::EngineQuery queryOf(const ServiceId& service, const ZoneId& zone, std::uint64_t prompt_tokens) {
  request::EngineQuery query;
  query.service = service;
  query.zone = zone;
  query.prompt.prompt_tokens = static_cast<std::uint32_t>(prompt_tokens);
  return query;
}

}  // namespace

PlacementService::PlacementService(std::uint64_t seed, ZoneId zone, GiveWayFunction give_way)
    : give_way_(std::move(give_way)), selector_(seed, limitsOfPlacement(std::move(zone))) {}

PlacementService::Gateway& PlacementService::gatewayOf(Instant now, const std::string& node, const void* connection) {
  Gateway& gateway = gateways_[node];
  gateway.heard_at = now;
  gateway.connection = connection;
  return gateway;
}

fleet::PlacementAnswer PlacementService::take(Instant now, const fleet::PlacementQuestion& question,
                                              const void* connection) {
  Gateway& gateway = gatewayOf(now, question.node, connection);
  request::EngineQuery query = queryOf(question.service, question.zone, question.prompt_tokens);
  query.excluded.insert(question.excluded.begin(), question.excluded.end());
  query.zones = question.zones;
  fleet::PlacementAnswer answer{question.number, {}, 0, 0};
  const std::optional<EngineChoice> choice = selector_.choose(now, query);
  if (!choice) {
    ++counters_.unplaced;
    return answer;
  }
  end(now, gateway, question.number, EngineVerdict::kNeutral);
  gateway.tickets[question.number] = selector_.begin(now, choice->engine.id, query);
  ++counters_.placed;
  if (choice->estimated_running >= choice->engine.slots) ++counters_.placed_at_full;
  if (choice->must_give_way) {
    ++counters_.gave_way;
    selector_.noteGivingWay(choice->engine.id);
    give_way_(choice->engine.id);
  }
  answer.engine = choice->engine.id;
  answer.expected_first_ms = choice->expected_first_ms;
  answer.running = choice->estimated_running;
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
    for (const std::uint64_t number : over) end(now, gateway, number, EngineVerdict::kNeutral);
  }
  for (const fleet::PlacedRequest& request : notes.present) {
    // Without an engine: the gateway still waits for the answer.
    if (!request.engine.empty()) begin(now, gateway, request);
  }
  for (const std::uint64_t number : notes.answering) {
    const auto ticket = gateway.tickets.find(number);
    if (ticket != gateway.tickets.end()) selector_.noteFirstByte(now, ticket->second);
  }
  for (const fleet::EndedRequest& ended : notes.ended) end(now, gateway, ended.number, ended.verdict);
}

void PlacementService::begin(Instant now, Gateway& gateway, const fleet::PlacedRequest& request) {
  const auto known = gateway.tickets.find(request.number);
  if (known == gateway.tickets.end()) {
    const request::EngineQuery query = queryOf({}, {}, request.prompt_tokens);
    gateway.tickets[request.number] = selector_.begin(now, request.engine, query);
  }
  if (request.is_answering) selector_.noteFirstByte(now, gateway.tickets.at(request.number));
}

void PlacementService::end(Instant now, Gateway& gateway, std::uint64_t number, EngineVerdict verdict) {
  const auto ticket = gateway.tickets.find(number);
  if (ticket == gateway.tickets.end()) return;
  selector_.end(now, ticket->second, verdict);
  gateway.tickets.erase(ticket);
}

void PlacementService::endAll(Instant now, Gateway& gateway) {
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
}

void PlacementService::drop(Instant now, const void* connection) {
  dropIf(now, [connection](const Gateway& gateway) { return gateway.connection == connection; });
}

void PlacementService::expire(Instant now) {
  dropIf(now, [now](const Gateway& gateway) { return now > gateway.heard_at + kGatewayLifetime; });
}

}  // namespace hatchfork::store
