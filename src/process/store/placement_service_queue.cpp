#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "common/log.hpp"
#include "process/store/placement_service.hpp"

// Requests that wait in the queues of the placement service for a slot at an engine.
namespace hatchfork::store {

using request::EngineChoice;
using request::QueueEntryId;
using request::ZoneQueue;

namespace {

/// Number of requests with the same allowed zones that are offered a free slot: some may not be allowed at every
/// engine, or not find the detour worthwhile.
constexpr std::size_t kCandidatesPerSlot = 3;
/// A request is queued if its expected wait is at most this share of the time that it has left. The wait is an
/// estimate: with a share of 1, most of a long queue would be slightly late. Requests already in the queue may use all
/// their time.
constexpr double kAdmittedWaitShare = 0.8;
/// Detour that is accepted for a free slot even if the queue is short.
constexpr double kAcceptedDetourMs = 10;
/// If a busy engine releases a slot within this share of the time that a request has left, the engine's own queue
/// advances so fast that queueing here gains nothing, and waiting for a better engine only adds latency.
constexpr double kFastQueueShare = 0.1;
/// Interval of queue updates to gateways with queued requests. They serve as heartbeats: a gateway that receives none
/// regards this store as silent.
constexpr Duration kQueueUpdateInterval = fromMillis(40);

request::QueuedRequest queueEntryOf(Instant now, const fleet::PlacementQuestion& question) {
  const fleet::PlacementTerms& terms = *question.terms;
  request::QueuedRequest queue_entry;
  queue_entry.priority = terms.priority;
  queue_entry.has_returned = terms.has_returned;
  queue_entry.latest_start = now + fromMillis(terms.left_ms);
  queue_entry.may_be_refused = terms.may_be_refused;
  return queue_entry;
}

}  // namespace

bool PlacementService::usesQueue(const fleet::PlacementQuestion& question) const {
  if (!features_.zone_line || !answer_ || !question.terms) return false;
  // In a zone without engines of its own, no released slot is observed.
  return selector_.isUneven(question.service) && selector_.engineCount(question.service, zone_) > 0;
}

double PlacementService::queueWaitMs(Instant now, const ServiceId& service, std::size_t ahead) const {
  const double freed = selector_.slotsFreedPerMs(now, service, zone_);
  return freed > 0 ? static_cast<double>(ahead + 1) / freed : 0;
}

std::optional<EngineChoice> PlacementService::chooseFreeSlot(Instant now, const fleet::PlacementQuestion& question,
                                                             double wait_ms) {
  request::EngineQuery query = queryOf(question);
  query.needs_free_slot = true;
  const auto choose = [&](double most_detour_ms) {
    std::optional<EngineChoice> choice = selector_.choose(now, query);
    if (choice && choice->detour_ms > most_detour_ms) choice.reset();
    return choice;
  };
  // Sending to another zone is expensive, and preempting a batch run more so, since that run has to be repeated.
  const bool may_stay = !query.zones || query.zones->contains(zone_);
  query.spares_background = true;
  if (may_stay) query.zones = std::set<ZoneId>{zone_};
  if (std::optional<EngineChoice> near = choose(wait_ms)) return near;
  query.zones = question.zones;
  if (std::optional<EngineChoice> anywhere = choose(std::max(wait_ms, kAcceptedDetourMs))) return anywhere;
  query.spares_background = false;
  if (may_stay) query.zones = std::set<ZoneId>{zone_};
  return choose(wait_ms);
}

bool PlacementService::hasFastQueues(const fleet::PlacementQuestion& question) const {
  const std::optional<double> freed_every_ms = selector_.slotFreedIntervalMs(question.service);
  return freed_every_ms && *freed_every_ms < kFastQueueShare * static_cast<double>(question.terms->left_ms);
}

fleet::PlacementAnswer PlacementService::refusal(Instant now, const fleet::PlacementQuestion& question) const {
  fleet::PlacementAnswer answer;
  answer.number = question.number;
  const auto queue = queues_.find(question.service);
  const std::size_t queued = queue == queues_.end() ? 0 : queue->second.size();
  answer.refused_for_ms = static_cast<std::int64_t>(queueWaitMs(now, question.service, queued));
  return answer;
}

fleet::PlacementAnswer PlacementService::placeOrEnqueue(Instant now, Gateway& gateway,
                                                        const fleet::PlacementQuestion& question) {
  leaveQueue(gateway, question.number);
  ZoneQueue& queue = queues_[question.service];
  const request::QueuedRequest queue_entry = queueEntryOf(now, question);
  const std::size_t ahead = queue.ahead(queue_entry);
  const double wait_ms = queueWaitMs(now, question.service, ahead);
  if (ahead == 0) {
    if (const auto choice = chooseFreeSlot(now, question, wait_ms)) return placeAt(now, question, *choice);
    if (hasFastQueues(question)) return placeAnywhere(now, question);
  }
  if (queue_entry.may_be_refused && wait_ms > kAdmittedWaitShare * static_cast<double>(question.terms->left_ms)) {
    ++counters_.refused;
    return refusal(now, question);
  }
  const QueueEntryId number = ++last_queue_number_;
  if (selector_.engineCount(question.service) == 0 || !queue.enter(now, number, queue_entry)) {
    return placeAnywhere(now, question);
  }
  pending_placements_[number] = PendingPlacement{question};
  gateway.queued[question.number] = number;
  gateway.updated_at = now;
  ++counters_.queued_total;
  fleet::PlacementAnswer answer;
  answer.number = question.number;
  answer.position = static_cast<std::int64_t>(ahead);
  return answer;
}

void PlacementService::serveQueues(Instant now) {
  for (auto& [service, queue] : queues_) {
    if (queue.isEmpty()) continue;
    while (serveNext(now, queue)) continue;
    refuseLate(now, queue);
  }
}

bool PlacementService::serveNext(Instant now, ZoneQueue& queue) {
  std::size_t ahead = 0;
  std::map<std::optional<std::set<ZoneId>>, std::size_t> unplaced_by_zones;
  QueueEntryId served = 0;
  std::optional<EngineChoice> choice;
  queue.visit([&](QueueEntryId number) {
    const fleet::PlacementQuestion& question = pending_placements_.at(number).question;
    std::size_t& unplaced = unplaced_by_zones[question.zones];
    // Requests that are allowed in fewer zones find no slot either.
    if (unplaced >= kCandidatesPerSlot) return question.zones.has_value();
    const double waited_ms = toSeconds(queue.waited(now, number)) * 1000;
    choice = chooseFreeSlot(now, question, std::max(waited_ms, queueWaitMs(now, question.service, ahead++)));
    if (!choice) ++unplaced;
    served = number;
    return !choice;
  });
  if (!choice) return false;
  counters_.queue_wait.observe(queue.waited(now, served));
  queue.noteServed(served);
  ++counters_.placed_from_queue;
  answerQueued(served, [&](const PendingPlacement& pending) { return placeAt(now, pending.question, *choice); });
  return true;
}

void PlacementService::refuseLate(Instant now, ZoneQueue& queue) {
  const std::size_t before = queue.size();
  std::map<QueueEntryId, bool> may_be_refused;
  for (const QueueEntryId number : queue.late(now)) may_be_refused[number] = queue.at(number).may_be_refused;
  for (const auto& [number, refused] : may_be_refused) {
    counters_.queue_wait.observe(queue.waited(now, number));
    queue.leave(number);
    if (refused) ++counters_.refused_from_queue;
    answerQueued(number, [&, is_refused = refused](const PendingPlacement& pending) {
      return is_refused ? refusal(now, pending.question) : placeAnywhere(now, pending.question);
    });
  }
  if (may_be_refused.empty()) return;
  logEvent(LogLevel::kInfo, "line_left_late",
           {{"requests", may_be_refused.size()}, {"standing_before", before}, {"zone", zone_.value}});
}

void PlacementService::answerQueued(QueueEntryId number,
                                    const std::function<fleet::PlacementAnswer(const PendingPlacement&)>& answer) {
  const auto found = pending_placements_.find(number);
  const PendingPlacement waiting = std::move(found->second);
  pending_placements_.erase(found);
  Gateway& gateway = gateways_.at(waiting.question.node);
  gateway.queued.erase(waiting.question.number);
  const fleet::PlacementAnswer reply = answer(waiting);
  answer_(gateway.connection, reply);
}

void PlacementService::leaveQueue(Gateway& gateway, std::uint64_t number) {
  const auto entry = gateway.queued.find(number);
  if (entry == gateway.queued.end()) return;
  const auto waiting = pending_placements_.find(entry->second);
  queues_.at(waiting->second.question.service).leave(entry->second);
  pending_placements_.erase(waiting);
  gateway.queued.erase(entry);
  ++counters_.left_queue;
}

void PlacementService::tick(Instant now) {
  serveQueues(now);
  for (auto& [node, gateway] : gateways_) {
    if (gateway.queued.empty() || now < gateway.updated_at + kQueueUpdateInterval) continue;
    gateway.updated_at = now;
    const auto& [number, queue_number] = *gateway.queued.begin();
    fleet::PlacementAnswer update;
    update.number = number;
    const ZoneQueue& queue = queues_.at(pending_placements_.at(queue_number).question.service);
    update.position = static_cast<std::int64_t>(queue.aheadOf(queue_number));
    answer_(gateway.connection, update);
  }
}

}  // namespace hatchfork::store
