#include <fmt/format.h>

#include <algorithm>

#include "common/log.hpp"
#include "process/gateway/batch_ready_order.hpp"
#include "process/gateway/batch_runner.hpp"
#include "process/gateway/caller_request.hpp"

// What the batch groups lease to this gateway, and what it commits to them.
namespace hatchfork::gateway {

using connection::Awaitable;
using connection::monotonicNow;
using Stop = BatchItemRun::Stop;

namespace {

constexpr std::size_t kMostOutcomesPerCommit = 500;

}  // namespace

request::ServiceBatchLoad BatchRunner::loadOf(Instant now, const ServiceId& service,
                                              const ServiceTraffic& traffic) const {
  const auto found = ready_.find(service);
  const auto ready = found == ready_.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
  return request::ServiceBatchLoad{service, traffic.admission.room(now), traffic.admission.running(), ready};
}

/// Each busy group's part of what the services can take.
std::vector<control::WantedItems> BatchRunner::wantedItems(Instant now) const {
  std::vector<control::WantedItems> wanted;
  if (draining_ || !traffic_.leaseInForce(now)) return wanted;
  const auto busy = std::count_if(groups_.begin(), groups_.end(), [](const auto& entry) { return entry.second.busy; });
  const auto busy_groups = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(busy));
  for (const auto& [service, traffic] : traffic_.services()) {
    const std::uint32_t items = request::itemsToLease(loadOf(now, service, *traffic));
    if (items > 0) wanted.push_back(control::WantedItems{service, items / busy_groups + 1});
  }
  return wanted;
}

void BatchRunner::returnStranded(Instant now) {
  for (auto& [service, traffic] : traffic_.services()) {
    if (!stranded_[service].update(now, loadOf(now, service, *traffic))) continue;
    logEvent(LogLevel::kInfo, "batch_items_returned", {{"service", service.value}, {"cause", "no engine to place on"}});
    returnUnstarted(ready_[service]);
  }
}

void BatchRunner::returnUnstarted(std::deque<ItemPtr>& ready) {
  for (const ItemPtr& item : ready) {
    if (item->start_committed) continue;
    groups_[item->group].returned[item->job].push_back(item->leased.index);
    release(item);
  }
  std::erase_if(ready, [](const ItemPtr& item) { return !item->start_committed; });
}

control::LeaseItemsRequest BatchRunner::makeLeaseRequest(GroupId group,
                                                         std::vector<control::WantedItems> wanted) const {
  control::LeaseItemsRequest request;
  request.gateway = options_.gateway;
  request.session = options_.session;
  request.wanted = std::move(wanted);
  for (const auto& [job, items] : groups_.at(group).held) {
    request.holding.push_back(control::HeldItems{job, std::vector<ItemIndex>(items.begin(), items.end())});
  }
  return request;
}

Awaitable<void> BatchRunner::requestLeases(GroupId group, std::vector<control::WantedItems> wanted) {
  control::ControlRequest request(makeLeaseRequest(group, std::move(wanted)));
  const Instant sent_at = monotonicNow();
  control::ControlReply reply = co_await control_.callFrom(group, std::move(request), kControlTimeout);
  GroupState& state = groups_[group];
  const auto* leased = std::get_if<control::LeaseItemsReply>(&reply);
  if (leased == nullptr) {
    state.pacer.recordFailure(monotonicNow());
    co_return;
  }
  state.pacer.recordReply(monotonicNow(), !leased->bundles.empty());
  const Instant until = sent_at + fromMillis(leased->lease_ms);
  // A reply that took longer than the lease grants nothing.
  if (monotonicNow() >= until) co_return;
  state.lease_until = std::max(state.lease_until, until);
  takeLeases(group, *leased);
  dispatchReady();
}

void BatchRunner::takeLeases(GroupId group, const control::LeaseItemsReply& reply) {
  for (const JobId& job : reply.cancelled) stopJob(job, batch::ItemState::kCancelled);
  GroupState& state = groups_[group];
  for (const control::LeasedBundle& bundle : reply.bundles) {
    const PolicyDecision advice = traffic_.policies().advise(bundle.spec.tenant, bundle.spec.service, WorkKind::kBatch);
    for (const batch::LeasedItem& leased : bundle.items) {
      if (!state.held[bundle.job].insert(leased.index).second) continue;
      auto item = std::make_shared<BatchItemRun>();
      item->group = group;
      item->job = bundle.job;
      item->spec = bundle.spec;
      item->leased = leased;
      item->request_id = fmt::format("{}-{}", bundle.job.value, leased.index);
      item->path = pathOfItemBody(leased.item.body);
      item->urgency = advice.urgency;
      // The limit of accepted work was checked when it was submitted; here it is only given to items that name none.
      static_cast<void>(limitTokens(item->leased.item.body, advice.limits.max_tokens));
      if (draining_) {
        state.returned[item->job].push_back(leased.index);
        release(item);
        continue;
      }
      pushByUrgency(ready_[bundle.spec.service], std::move(item));
    }
  }
}

void BatchRunner::stopJob(const JobId& job, batch::ItemState state) {
  for (const auto& [attempt, item] : running_) {
    if (item->job != job) continue;
    item->stop = Stop::kCancelJob;
    if (item->attempt) item->attempt->cancel();
  }
  for (auto& [service, ready] : ready_) {
    for (const ItemPtr& item : ready) {
      if (item->job == job) report(item, state, "");
    }
    std::erase_if(ready, [&](const ItemPtr& item) { return item->job == job; });
  }
}

void BatchRunner::dropGroup(GroupId group) {
  logEvent(LogLevel::kWarning, "batch_lease_lost", {{"group", group}});
  for (const auto& [attempt, item] : running_) {
    if (item->group != group) continue;
    item->stop = Stop::kDrop;
    if (item->attempt) item->attempt->cancel();
  }
  for (auto& [service, ready] : ready_) {
    std::erase_if(ready, [&](const ItemPtr& item) { return item->group == group; });
  }
  groups_[group].held.clear();
}

Awaitable<void> BatchRunner::commitOutcomes(GroupId group) {
  GroupState& state = groups_[group];
  while (!state.outcomes.empty() || !state.returned.empty()) {
    control::CompleteItemsRequest complete;
    complete.gateway = options_.gateway;
    complete.session = options_.session;
    complete.now = connection::wallNow();
    complete.job = !state.outcomes.empty() ? state.outcomes.begin()->first : state.returned.begin()->first;
    const auto outcomes = state.outcomes.find(complete.job);
    if (outcomes != state.outcomes.end()) {
      std::vector<batch::ItemOutcome>& waiting = outcomes->second;
      const std::size_t count = std::min(waiting.size(), kMostOutcomesPerCommit);
      complete.outcomes.assign(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count));
    }
    const auto returned = state.returned.find(complete.job);
    if (returned != state.returned.end()) {
      complete.returned = returned->second;
      state.returned.erase(returned);
    }
    const std::vector<batch::ItemOutcome> sent = complete.outcomes;
    const JobId job = complete.job;
    const control::ControlReply reply = co_await control_.callFrom(group, std::move(complete), kControlTimeout);
    if (!std::holds_alternative<control::CompleteItemsReply>(reply)) {
      const auto* refused = std::get_if<control::ErrorReply>(&reply);
      logEvent(LogLevel::kWarning, "batch_commit_failed",
               {{"job", job.value}, {"cause", refused ? refused->error.message : std::string("unexpected reply")}});
      const bool final = refused != nullptr && refused->error.kind == ErrorKind::kNotFound;
      if (!final) {
        co_await connection::sleepFor(kRetryPause);
        continue;
      }
    }
    std::vector<batch::ItemOutcome>& waiting = state.outcomes[job];
    waiting.erase(waiting.begin(),
                  waiting.begin() + static_cast<std::ptrdiff_t>(std::min(sent.size(), waiting.size())));
    if (waiting.empty()) state.outcomes.erase(job);
    const auto held = state.held.find(job);
    if (held == state.held.end()) continue;
    for (const batch::ItemOutcome& outcome : sent) held->second.erase(outcome.index);
    if (held->second.empty()) state.held.erase(held);
  }
  state.commit_in_flight = false;
}

}  // namespace hatchfork::gateway
