#include "process/batch/item_leases.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace hatchfork::batch {
namespace {

/// Attempt numbers in a term begin at term * 2^16, so they are higher than those of every earlier term as long as no
/// item is leased 65,536 times in one term.
constexpr unsigned kAttemptBitsPerTerm = 16;

WallMillis deadlineOrder(const JobSpec& spec) {
  return spec.deadline == 0 ? std::numeric_limits<WallMillis>::max() : spec.deadline;
}

bool canRun(const Job& job) {
  return job.sealSequence() != 0 && job.state() == JobState::kRunning;
}

}  // namespace

ItemLeases::ItemLeases(ItemLeasesOptions options)
    : options_(options), attempt_base_(static_cast<AttemptNumber>(options.term << kAttemptBitsPerTerm)) {}

control::LeaseItemsReply ItemLeases::lease(Instant now, const control::LeaseItemsRequest& request,
                                           const BatchStateMachine& machine) {
  const SessionKey session{request.gateway, request.session};
  control::LeaseItemsReply reply;
  reply.lease_ms = static_cast<std::uint32_t>(toMillis(options_.lease));
  const auto known = sessions_.find(session);
  if (known != sessions_.end()) known->second.last_request = now;
  enqueueSealedJobs(machine);
  renew(now, session, request, machine, reply);
  dropExpired(now, session, machine);
  const bool in_grace = now < options_.started + options_.grace;
  if (in_grace) return reply;
  LeaseGrant grant{now, session, machine, reply, 0, 0};
  for (const control::WantedItems& wanted : request.wanted) {
    const auto queue = queues_.find(wanted.service);
    if (queue == queues_.end()) continue;
    grant.wanted = wanted.most;
    serveService(grant, queue->second);
    if (queue->second.tenants.empty()) queues_.erase(queue);
  }
  return reply;
}

void ItemLeases::enqueueSealedJobs(const BatchStateMachine& machine) {
  for (const Job* job : machine.runningJobsAfter(seen_seal_sequence_)) {
    seen_seal_sequence_ = job->sealSequence();
    if (canRun(*job)) enqueue(*job);
  }
}

void ItemLeases::renew(Instant now, const SessionKey& session, const control::LeaseItemsRequest& request,
                       const BatchStateMachine& machine, control::LeaseItemsReply& reply) {
  for (const control::HeldItems& held : request.holding) {
    const Job* job = machine.findJob(held.job);
    if (job == nullptr || job->cancelled()) reply.cancelled.push_back(held.job);
    if (job == nullptr) continue;
    for (const ItemIndex index : held.items) renewItem(now, session, *job, index);
  }
}

void ItemLeases::renewItem(Instant now, const SessionKey& session, const Job& job, ItemIndex index) {
  if (index >= job.itemCount() || isTerminal(job.itemState(index))) return;
  const auto started = job.started().find(index);
  const bool is_started = started != job.started().end();
  if (is_started && SessionKey{started->second.gateway, started->second.session} != session) return;

  JobLeases& leases = jobs_[job.number()];
  const auto known = leases.leased.find(index);
  if (known == leases.leased.end()) {
    const auto freed = leases.freed.find(index);
    const AttemptNumber attempt = freed == leases.freed.end() ? attempt_base_ : freed->second;
    if (freed != leases.freed.end()) leases.freed.erase(freed);
    leases.leased.emplace(index, ItemLease{session, attempt, now});
  } else if (known->second.holder == session) {
    known->second.renewed_at = now;
  } else if (is_started) {
    // The committed start takes precedence over a lease granted to another session in the meantime.
    removeFromSession(known->second.holder, ItemKey{job.number(), index});
    known->second.holder = session;
    known->second.renewed_at = now;
  } else {
    return;
  }
  addToSession(now, session, ItemKey{job.number(), index});
}

void ItemLeases::dropExpired(Instant now, const SessionKey& session, const BatchStateMachine& machine) {
  const auto held = sessions_.find(session);
  if (held == sessions_.end()) return;
  const std::set<ItemKey> items = held->second.items;
  for (const ItemKey& item : items) {
    const Job* job = machine.findJob(item.job);
    JobLeases& leases = jobs_.at(item.job);
    const auto lease = leases.leased.find(item.index);
    const bool ended = job == nullptr || isTerminal(job->itemState(item.index));
    const bool lapsed = now - lease->second.renewed_at >= options_.lease;
    if (!ended && !lapsed) continue;
    const AttemptNumber attempt = lease->second.attempt;
    leases.leased.erase(lease);
    removeFromSession(session, item);
    if (!ended) free(*job, item.index, attempt);
    const bool job_ended = job == nullptr || job->state() == JobState::kFinished;
    if (job_ended && leases.leased.empty()) jobs_.erase(item.job);
  }
}

void ItemLeases::serveService(LeaseGrant& grant, ServiceQueue& queue) {
  if (queue.tenants.empty()) return;
  const auto share = std::max<std::uint32_t>(1, grant.wanted / static_cast<std::uint32_t>(queue.tenants.size()));
  while (!grant.isFull() && !queue.tenants.empty()) {
    auto tenant = queue.tenants.upper_bound(queue.last_served);
    if (tenant == queue.tenants.end()) tenant = queue.tenants.begin();
    queue.last_served = tenant->first;
    serveTenant(grant, tenant->second, share);
    if (tenant->second.empty()) queue.tenants.erase(tenant);
  }
}

void ItemLeases::serveTenant(LeaseGrant& grant, JobQueue& queue, std::uint32_t share) {
  while (share > 0 && !grant.isFull() && !queue.empty()) {
    const JobNumber number = queue.begin()->job;
    const Job* job = grant.machine.findJob(number);
    if (job == nullptr || !canRun(*job)) {
      queue.erase(queue.begin());
      const auto leases = jobs_.find(number);
      if (leases != jobs_.end() && leases->second.leased.empty()) jobs_.erase(leases);
      continue;
    }
    const std::uint32_t given = serveJob(grant, *job, share);
    share -= given;
    // Stopped because the job has no more leasable items: dequeues the job until an item is freed.
    if (share > 0 && !grant.isFull()) queue.erase(queue.begin());
  }
}

std::uint32_t ItemLeases::serveJob(LeaseGrant& grant, const Job& job, std::uint32_t most) {
  control::LeasedBundle bundle;
  bundle.job = job.id();
  bundle.spec = job.spec();
  JobLeases& leases = jobs_[job.number()];
  while (bundle.items.size() < most && !grant.isFull()) {
    std::optional<LeasedItem> item = takeItem(grant, job, leases);
    if (!item) break;
    bundle.items.push_back(std::move(*item));
  }
  const auto given = static_cast<std::uint32_t>(bundle.items.size());
  if (given > 0) grant.reply.bundles.push_back(std::move(bundle));
  return given;
}

std::optional<LeasedItem> ItemLeases::takeItem(LeaseGrant& grant, const Job& job, JobLeases& leases) {
  LeasedItem item;
  bool found = false;
  while (!found && !leases.freed.empty()) {
    const auto first = leases.freed.begin();
    item.index = first->first;
    item.attempt = first->second + 1;
    leases.freed.erase(first);
    found = job.itemState(item.index) == ItemState::kPending;
  }
  while (!found && leases.cursor < job.itemCount()) {
    item.index = job.nextPending(leases.cursor);
    leases.cursor = std::min(item.index + 1, job.itemCount());
    if (item.index >= job.itemCount()) break;
    item.attempt = attempt_base_ + 1;
    found = !leases.leased.contains(item.index);
  }
  if (!found) return std::nullopt;
  item.item = job.item(item.index);
  leases.leased.emplace(item.index, ItemLease{grant.session, item.attempt, grant.now});
  addToSession(grant.now, grant.session, ItemKey{job.number(), item.index});
  --grant.wanted;
  grant.bytes += item.item.custom_id.size() + item.item.body.size();
  return item;
}

void ItemLeases::addToSession(Instant now, const SessionKey& session, ItemKey item) {
  SessionState& state = sessions_[session];
  state.items.insert(item);
  state.last_request = now;
}

void ItemLeases::free(const Job& job, ItemIndex index, AttemptNumber attempt) {
  // Started items are never leased again: the outcome from their holder or `expire` makes them terminal.
  if (job.itemState(index) != ItemState::kPending) return;
  jobs_[job.number()].freed.insert_or_assign(index, attempt);
  enqueue(job);
}

void ItemLeases::enqueue(const Job& job) {
  if (!canRun(job)) return;
  queues_[job.spec().service].tenants[job.spec().tenant].insert(JobOrder{deadlineOrder(job.spec()), job.number()});
}

void ItemLeases::removeFromSession(const SessionKey& session, ItemKey item) {
  const auto held = sessions_.find(session);
  if (held == sessions_.end()) return;
  held->second.items.erase(item);
  if (held->second.items.empty()) sessions_.erase(held);
}

void ItemLeases::giveBack(const GatewayId& gateway, std::uint64_t session_number, const JobId& job_id,
                          const std::vector<ItemIndex>& returned, const BatchStateMachine& machine) {
  const SessionKey session{gateway, session_number};
  const Job* job = machine.findJob(job_id);
  if (job == nullptr || !jobs_.contains(job->number())) return;
  JobLeases& leases = jobs_.at(job->number());
  for (const ItemIndex index : returned) {
    const auto lease = leases.leased.find(index);
    if (lease == leases.leased.end() || lease->second.holder != session) continue;
    const AttemptNumber attempt = lease->second.attempt;
    leases.leased.erase(lease);
    removeFromSession(session, ItemKey{job->number(), index});
    free(*job, index, attempt);
  }
}

std::vector<control::CompleteItemsRequest> ItemLeases::expire(Instant now, const BatchStateMachine& machine) {
  std::vector<SessionKey> silent;
  for (const auto& [session, state] : sessions_) {
    if (now - state.last_request >= options_.lease) silent.push_back(session);
  }
  for (const SessionKey& session : silent) dropExpired(now, session, machine);

  std::erase_if(reported_, [&](const auto& entry) { return now - entry.second >= options_.lease; });
  std::vector<control::CompleteItemsRequest> reports;
  // Sessions of the former leader may list the items that they hold until the grace period ends.
  if (now < options_.started + options_.grace) return reports;
  for (const Job* job : machine.jobsWithStartedItems()) reportLostStarts(now, *job, reports);
  return reports;
}

bool ItemLeases::holderIsLive(Instant now, const Job& job, ItemIndex index, const StartRecord& record) const {
  const auto leases = jobs_.find(job.number());
  if (leases == jobs_.end()) return false;
  const auto lease = leases->second.leased.find(index);
  if (lease == leases->second.leased.end()) return false;
  const bool holds = lease->second.holder == SessionKey{record.gateway, record.session};
  return holds && now - lease->second.renewed_at < options_.lease;
}

void ItemLeases::reportLostStarts(Instant now, const Job& job, std::vector<control::CompleteItemsRequest>& reports) {
  for (const auto& [index, record] : job.started()) {
    const ItemKey item{job.number(), index};
    if (holderIsLive(now, job, index, record) || reported_.contains(item)) continue;
    reported_.emplace(item, now);
    const bool same_sender = !reports.empty() && reports.back().job == job.id() &&
                             reports.back().gateway == record.gateway && reports.back().session == record.session;
    if (!same_sender) {
      control::CompleteItemsRequest report;
      report.gateway = record.gateway;
      report.session = record.session;
      report.job = job.id();
      reports.push_back(std::move(report));
    }
    reports.back().outcomes.push_back(ItemOutcome{index, record.attempt, ItemState::kOutcomeUnknown, {}});
  }
}

std::size_t ItemLeases::leasedItems() const {
  std::size_t items = 0;
  for (const auto& [session, held] : sessions_) items += held.items.size();
  return items;
}

}  // namespace hatchfork::batch
