#include "bench/experiment/batch_path.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::experiment {

using request::AttemptResult;
using request::Urgency;

namespace {

// The same figures as `gateway::BatchRunner`.
constexpr Duration kRetryPause = fromMillis(200);
constexpr Duration kItemLease = fromMillis(5000);
constexpr Duration kEngineTimeout = fromMillis(10000);
/// What a replica takes to answer a lease request, besides the way.
constexpr Duration kLeaseWork = fromMillis(1);

}  // namespace

BatchPath::BatchPath(FleetContext& context, GatewayId self, ZoneId zone, DecisionsList& decisions,
                     StreamReceiver& receiver)
    : context_(context),
      self_(std::move(self)),
      zone_(std::move(zone)),
      decisions_(decisions),
      receiver_(receiver),
      services_(decisions.size()) {}

void BatchPath::step(bool lease_in_force) {
  lease_in_force_ = lease_in_force;
  const Instant now = context_.now();
  for (std::size_t service = 0; service < services_.size(); ++service) {
    ServiceLeases& leases = services_[service];
    pause(service, decisions_[service]->admission.tick(now));
    if (leases.held > 0 && leases.lease_until < now) dropService(service);
    dispatchReady(service);
    const std::uint32_t wanted = wantedItems(service);
    if (leases.pacer.isDue(now, wanted > 0, leases.held > 0)) requestLeases(service, wanted);
  }
  std::vector<ItemPtr> silent;
  for (const auto& [attempt, item] : running_) {
    if (now - item->heard_at >= kEngineTimeout) silent.push_back(item);
  }
  for (const ItemPtr& item : silent) {
    sendCancel(context_, zone_, item->routed.engine, item->attempt);
    failAttempt(item);
  }
}

std::uint32_t BatchPath::wantedItems(std::size_t service) const {
  if (!lease_in_force_) return 0;
  const request::BatchAdmission& admission = decisions_[service]->admission;
  request::ServiceBatchLoad load;
  load.room = admission.room(context_.now());
  load.running = admission.running();
  load.ready = static_cast<std::uint32_t>(services_[service].ready.size());
  return request::itemsToLease(load);
}

void BatchPath::requestLeases(std::size_t service, std::uint32_t most) {
  const Instant sent_at = context_.now();
  services_[service].pacer.recordSent(sent_at, most > 0);
  const Duration way = context_.profile.network.between_zones;
  context_.events.after(way + kLeaseWork, [this, service, most, sent_at, way] {
    std::vector<LeasedItem> leased = context_.stores[service].lease(context_.now(), self_, most);
    context_.events.after(
        way, [this, service, sent_at, leased = std::move(leased)] { takeLeases(service, sent_at, leased); });
  });
}

void BatchPath::takeLeases(std::size_t service, Instant sent_at, const std::vector<LeasedItem>& leased) {
  const Instant now = context_.now();
  ServiceLeases& leases = services_[service];
  leases.pacer.recordReply(now, !leased.empty());
  const Instant until = sent_at + kItemLease;
  if (now >= until) return;
  leases.lease_until = std::max(leases.lease_until, until);
  for (const LeasedItem& entry : leased) {
    auto item = std::make_shared<Item>();
    item->service = service;
    item->leased = entry;
    leases.ready.push_back(std::move(item));
    ++leases.held;
  }
  dispatchReady(service);
}

void BatchPath::dropService(std::size_t service) {
  std::vector<ItemPtr> dropped;
  for (const auto& [attempt, item] : running_) {
    if (item->service == service) dropped.push_back(item);
  }
  for (const ItemPtr& item : dropped) {
    sendCancel(context_, zone_, item->routed.engine, item->attempt);
    endAttempt(item, AttemptResult::kCancelled);
  }
  services_[service].ready.clear();
  services_[service].held = 0;
}

void BatchPath::dispatchReady(std::size_t service) {
  const Instant now = context_.now();
  ServiceLeases& leases = services_[service];
  if (!lease_in_force_ || leases.lease_until <= now) return;
  std::size_t position = 0;
  while (position < leases.ready.size()) {
    const ItemPtr item = leases.ready[position];
    if (item->not_before > now) {
      ++position;
      continue;
    }
    const request::AttemptId attempt = context_.nextAttempt(Urgency::kBatch);
    const std::optional<EngineId> engine = decisions_[service]->admission.admit(now, attempt, item->paused);
    if (!engine && !item->paused) return;
    if (!engine) {
      ++position;
      continue;
    }
    leases.ready.erase(leases.ready.begin() + static_cast<std::ptrdiff_t>(position));
    item->attempt = attempt;
    run(item, *engine);
  }
}

void BatchPath::run(const ItemPtr& item, const EngineId& engine) {
  const Instant now = context_.now();
  item->heard_at = now;
  item->paused.reset();
  item->routed = decisions_[item->service]->router.beginAttempt(now, engine, Urgency::kBatch, request::RouteRequest{});
  running_[item->attempt] = item;
  EngineCall sent;
  sent.attempt = item->attempt;
  sent.work = item->leased.work;
  sent.urgency = Urgency::kBatch;
  sent.item = *item->leased.item;
  sent.resume_from = item->tokens;
  sent.receiver = &receiver_;
  sendCall(context_, zone_, engine, std::move(sent));
}

void BatchPath::receive(const StreamDelivery& delivery) {
  const auto found = running_.find(delivery.attempt);
  if (found == running_.end()) return;
  const ItemPtr item = found->second;
  item->heard_at = context_.now();
  const bool token_fits = delivery.kind != DeliveryKind::kToken || delivery.token_index == item->tokens;
  const bool cut = delivery.kind == DeliveryKind::kCut || delivery.kind == DeliveryKind::kRefused;
  if (cut) return failAttempt(item);
  if (delivery.work != item->leased.work || !token_fits) {
    sendCancel(context_, zone_, item->routed.engine, item->attempt);
    return failAttempt(item);
  }
  if (delivery.kind == DeliveryKind::kToken) return passToken(*item, delivery);
  endAttempt(item, AttemptResult::kSucceeded);
  context_.stores[item->service].complete(item->leased.work);
  --services_[item->service].held;
  dispatchReady(item->service);
}

void BatchPath::passToken(Item& item, const StreamDelivery& delivery) {
  ++item.tokens;
  if (decisions_[item.service]->admission.recordBatchToken(item.attempt, item.tokens)) dispatchReady(item.service);
  const bool is_new = context_.stores[item.service].noteToken(item.leased.work, delivery.token_index);
  if (is_new) context_.recorders[item.service].recordBatchToken(context_.now(), delivery.idle_share);
}

void BatchPath::endAttempt(const ItemPtr& item, AttemptResult result) {
  request::ServiceDecisions& decisions = *decisions_[item->service];
  decisions.router.endAttempt(context_.now(), item->routed, result);
  decisions.admission.endBatch(context_.now(), item->attempt);
  running_.erase(item->attempt);
}

void BatchPath::failAttempt(const ItemPtr& item) {
  endAttempt(item, AttemptResult::kFailed);
  item->not_before = context_.now() + kRetryPause;
  services_[item->service].ready.push_front(item);
  dispatchReady(item->service);
}

void BatchPath::pause(std::size_t service, const std::vector<request::AttemptId>& attempts) {
  for (const request::AttemptId attempt : attempts) {
    const auto found = running_.find(attempt);
    if (found == running_.end()) continue;
    const ItemPtr item = found->second;
    ++pauses_;
    sendCancel(context_, zone_, item->routed.engine, attempt);
    endAttempt(item, AttemptResult::kCancelled);
    item->paused = request::PausedPlacement{item->routed.engine, context_.now()};
    services_[service].ready.push_front(item);
  }
  if (!attempts.empty()) dispatchReady(service);
}

}  // namespace hatchfork::experiment
