#include "process/gateway/batch_runner.hpp"

#include <algorithm>

#include "common/log.hpp"
#include "process/gateway/batch_ready_order.hpp"
#include "process/gateway/caller_request.hpp"
#include "process/gateway/completion_json.hpp"

namespace hatchfork::gateway {

using connection::AttemptEnd;
using connection::AttemptOutcome;
using connection::Awaitable;
using connection::monotonicNow;
using request::FailurePoint;
using request::Urgency;
using Stop = BatchItemRun::Stop;

namespace {

constexpr Duration kLoopInterval = fromMillis(10);
/// Broken answers after which an item is taken to break engines by itself.
constexpr std::uint32_t kMostBrokenAnswers = 20;

}  // namespace

std::string pathOfItemBody(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  const bool is_chat = json.is_object() && json.contains("messages");
  return is_chat ? "/v1/chat/completions" : "/v1/completions";
}

BatchRunner::BatchRunner(BatchRunnerOptions options, TrafficState& traffic, connection::HttpClient& client,
                         connection::ControlClient& control)
    : options_(std::move(options)), traffic_(traffic), client_(client), control_(control) {
  for (GroupId group = 1; group <= options_.batch_groups; ++group) groups_[group];
}

void BatchRunner::startDraining() {
  draining_ = true;
  for (auto& [service, ready] : ready_) returnUnstarted(ready);
}

void BatchRunner::setBusyGroups(const std::vector<GroupId>& groups) {
  for (auto& [group, state] : groups_) {
    const bool busy = std::find(groups.begin(), groups.end(), group) != groups.end();
    if (busy && !state.busy) state.pacer.requestImmediately();
    state.busy = busy;
  }
}

void BatchRunner::noteSealed(GroupId group) {
  GroupState& state = groups_[group];
  state.busy = true;
  state.pacer.requestImmediately();
}

bool BatchRunner::isDrained() const {
  const bool committed = std::all_of(groups_.begin(), groups_.end(), [](const auto& entry) {
    const GroupState& state = entry.second;
    return state.outcomes.empty() && state.returned.empty() && !state.commit_in_flight;
  });
  return committed && heldItems() == 0 && running_.empty();
}

std::size_t BatchRunner::heldItems() const {
  std::size_t held = 0;
  for (const auto& [group, state] : groups_) {
    for (const auto& [job, items] : state.held) held += items.size();
  }
  return held;
}

void BatchRunner::pause(const std::vector<request::AttemptId>& attempts) {
  for (const request::AttemptId attempt : attempts) {
    const auto found = running_.find(attempt);
    if (found == running_.end()) continue;
    const ItemPtr item = found->second;
    // The run of an unrepeatable item can't be taken up elsewhere, so it is let finish.
    if (item->spec.unrepeatable) continue;
    ++traffic_.counters().batch_pauses;
    if (item->stop == Stop::kNone) item->stop = Stop::kPause;
    item->paused = request::PausedPlacement{item->routed.engine, monotonicNow()};
    if (item->attempt) item->attempt->cancel();
  }
}

Awaitable<void> BatchRunner::run() {
  while (true) {
    const Instant now = monotonicNow();
    for (auto& [service, traffic] : traffic_.services()) pause(traffic->admission.tick(now));
    dispatchReady();
    returnStranded(now);
    const std::vector<control::WantedItems> wanted = wantedItems(now);
    for (auto& [group, state] : groups_) {
      if (state.lease_until < now && !state.held.empty()) dropGroup(group);
      if (!state.commit_in_flight && (!state.outcomes.empty() || !state.returned.empty())) {
        state.commit_in_flight = true;
        connection::asio::co_spawn(client_.context(), commitOutcomes(group), connection::asio::detached);
      }
      const bool asks = state.busy && !wanted.empty();
      if (!state.pacer.isDue(now, asks, !state.held.empty())) continue;
      state.pacer.recordSent(now, asks);
      connection::asio::co_spawn(client_.context(), requestLeases(group, wanted), connection::asio::detached);
    }
    co_await connection::sleepFor(kLoopInterval);
  }
}

void BatchRunner::dispatchReady() {
  if (dispatching_) return;
  dispatching_ = true;
  for (auto& [service, ready] : ready_) dispatchService(service, ready);
  dispatching_ = false;
}

void BatchRunner::dispatchService(const ServiceId& service, std::deque<ItemPtr>& ready) {
  const Instant now = monotonicNow();
  ServiceTraffic* traffic = traffic_.service(service);
  if (traffic == nullptr || !traffic_.leaseInForce(now)) return;
  std::size_t position = 0;
  while (position < ready.size()) {
    const ItemPtr item = ready[position];
    const bool placeable = groups_[item->group].lease_until > now && item->not_before <= now;
    const request::AttemptId attempt = ++last_attempt_;
    const std::optional<EngineId> engine =
        placeable ? traffic->admission.admit(now, attempt, item->paused) : std::nullopt;
    // An item that waits for its engine does not hold up those behind it.
    if (!engine && placeable && !item->paused) return;
    if (!engine) {
      ++position;
      continue;
    }
    ready.erase(ready.begin() + static_cast<std::ptrdiff_t>(position));
    item->attempt_id = attempt;
    item->paused.reset();
    item->stop = Stop::kNone;
    running_[attempt] = item;
    item->routed = traffic->router.beginAttempt(now, *engine, Urgency::kBatch, request::RouteRequest{});
    connection::asio::co_spawn(client_.context(), runItem(item, *engine), connection::asio::detached);
  }
}

/// Commits the start; false when the item may not be run by this gateway now.
Awaitable<bool> BatchRunner::startUnrepeatable(ItemPtr item) {
  if (item->start_committed) co_return true;
  control::StartItemsRequest start;
  start.gateway = options_.gateway;
  start.session = options_.session;
  start.job = item->job;
  start.items.push_back(item->leased.index);
  start.attempts.push_back(item->leased.attempt);
  const control::ControlReply reply = co_await control_.callFrom(item->group, std::move(start), kControlTimeout);
  const auto* started = std::get_if<control::StartItemsReply>(&reply);
  if (started == nullptr) co_return false;
  item->start_committed = !started->granted.empty();
  if (!item->start_committed) item->stop = Stop::kDrop;
  co_return item->start_committed;
}

Awaitable<void> BatchRunner::runItem(ItemPtr item, EngineId engine) {
  const ServiceId service_id = item->spec.service;
  AttemptEnd end;
  end.outcome = AttemptOutcome::kCancelled;
  bool may_run = true;
  if (item->spec.unrepeatable) may_run = co_await startUnrepeatable(item);
  const Instant now = monotonicNow();
  const std::optional<connection::Endpoint> endpoint = traffic_.endpointOf(engine);
  ServiceTraffic* traffic = traffic_.service(service_id);
  // Checked right before dispatch: this process may have been frozen since the item was admitted.
  const bool leased = groups_[item->group].lease_until > now && traffic_.leaseInForce(now);
  const bool engine_there = traffic != nullptr && endpoint && traffic->router.mayDispatch(engine);
  if (may_run && leased && engine_there && item->stop == Stop::kNone) {
    continueAtBuild(*item, traffic->router.buildOf(engine));
    connection::EngineCall call;
    call.endpoint = *endpoint;
    call.path = item->path;
    call.body = item->leased.item.body;
    call.request_id = item->request_id;
    call.urgency = Urgency::kBatch;
    call.resume_from = item->tokens;
    call.silence_limit = options_.engine_timeout;
    item->attempt = std::make_shared<connection::EngineAttempt>(client_, std::move(call));
    item->sent = true;
    auto on_token = [this, item](connection::EngineToken token) -> Awaitable<bool> {
      item->text += token.text;
      ++item->tokens;
      ++traffic_.counters().batch_tokens;
      ServiceTraffic* service = traffic_.service(item->spec.service);
      if (service != nullptr && service->admission.recordBatchToken(item->attempt_id, item->tokens)) dispatchReady();
      co_return item->stop == Stop::kNone;
    };
    end = co_await item->attempt->run(on_token);
    item->attempt.reset();
  } else if (item->stop == Stop::kNone) {
    item->stop = Stop::kPause;
    item->not_before = now + kRetryPause;
  }
  running_.erase(item->attempt_id);
  traffic = traffic_.service(service_id);
  if (traffic != nullptr) {
    request::AttemptResult result = request::AttemptResult::kFailed;
    if (end.outcome == AttemptOutcome::kWhole || end.outcome == AttemptOutcome::kRejected) {
      result = request::AttemptResult::kSucceeded;
    }
    if (end.outcome == AttemptOutcome::kCancelled) result = request::AttemptResult::kCancelled;
    traffic->router.endAttempt(monotonicNow(), item->routed, result);
    traffic->admission.endBatch(monotonicNow(), item->attempt_id);
  }
  if (end.outcome == AttemptOutcome::kFailed) item->failed_engines.push_back(engine);
  finishItem(item, end);
  dispatchReady();
}

void BatchRunner::finishItem(const ItemPtr& item, const AttemptEnd& end) {
  if (end.outcome == AttemptOutcome::kWhole) {
    ++traffic_.counters().batch_items_run;
    const CompletionHead head{item->request_id, item->spec.service.value, item->path == "/v1/chat/completions"};
    const CompletionUsage usage{end.prompt_tokens, item->tokens};
    report(item, batch::ItemState::kCompleted, wholeCompletion(head, item->text, end.finish_reason, usage).dump());
    return;
  }
  if (end.outcome == AttemptOutcome::kRejected) {
    report(item, batch::ItemState::kFailed, nlohmann::json(end.error).dump());
    return;
  }
  const bool maybe_run = item->sent && end.point != FailurePoint::kNotRun;
  if (item->stop == Stop::kDrop) return;
  if (item->stop == Stop::kCancelJob) {
    report(item, batch::ItemState::kCancelled, "");
    return;
  }
  if (item->spec.unrepeatable && maybe_run) {
    report(item, batch::ItemState::kOutcomeUnknown, nlohmann::json(end.error).dump());
    return;
  }
  if (end.outcome == AttemptOutcome::kFailed) {
    logEvent(LogLevel::kWarning, "batch_attempt_failed", {{"item", item->request_id}, {"cause", end.error.message}});
    item->not_before = monotonicNow() + kRetryPause;
    if (maybe_run && ++item->failures >= kMostBrokenAnswers) {
      report(item, batch::ItemState::kFailed, nlohmann::json(end.error).dump());
      return;
    }
  }
  requeue(item);
}

void BatchRunner::requeue(const ItemPtr& item) {
  if (draining_ && !item->start_committed) {
    groups_[item->group].returned[item->job].push_back(item->leased.index);
    release(item);
    return;
  }
  pushBackToFront(ready_[item->spec.service], item);
}

void BatchRunner::report(const ItemPtr& item, batch::ItemState state, std::string result) {
  batch::ItemOutcome outcome;
  outcome.index = item->leased.index;
  outcome.attempt = item->leased.attempt;
  outcome.state = state;
  outcome.result = std::move(result);
  groups_[item->group].outcomes[item->job].push_back(std::move(outcome));
}

void BatchRunner::release(const ItemPtr& item) {
  auto& held = groups_[item->group].held;
  const auto found = held.find(item->job);
  if (found == held.end()) return;
  found->second.erase(item->leased.index);
  if (found->second.empty()) held.erase(found);
}

}  // namespace hatchfork::gateway
