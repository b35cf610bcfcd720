#include <fmt/format.h>

#include <utility>

#include "common/log.hpp"
#include "process/exchange/exchange_run.hpp"

// Chooses the engine of a request, or rejects the request.
namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;
using request::EngineChoice;
using request::EngineQuery;
using request::EngineVerdict;

namespace {

/// A run that has not begun this long after its lease was granted asks again, so that it begins under its lease.
constexpr Duration kTrialStartLimit = fromMillis(500);
/// Time for which a request without an objective waits for the verdict on a part of its prompt.
constexpr Duration kVerdictWait = fromMillis(100);
constexpr Duration kVerdictPoll = fromMillis(15);

std::string_view nameOfSubject(const request::RequestFingerprint& subject) {
  return request::isPromptPart(subject) ? "prompt part" : "content";
}

}  // namespace

const request::CrashSubjects& ExchangeRun::crashSubjects() {
  if (!crash_subjects_) {
    crash_subjects_.emplace(fingerprint_, request::sharedPartsOf(query_.service, query_.prompt));
  }
  return *crash_subjects_;
}

/// Sound requests that share a part with the one that is tried are not turned away while its run is about to tell.
Awaitable<bool> ExchangeRun::rejectsQuarantined(LeaseUse lease_use) {
  fleet::CrashWatch& crashes = context_.crashes;
  if (crashes.isQuiet()) co_return false;
  const bool has_objective = route_.objective > Duration::zero();
  const Instant decide_by = monotonicNow() + (has_objective ? route_.objective / 4 : kVerdictWait);
  while (true) {
    const RunPermission permission = co_await requestPermission(lease_use);
    if (permission == RunPermission::kGranted) co_return false;
    const bool shares_part = request::isPromptPart(crashes.judge(crashSubjects()).decisive);
    const bool may_wait = permission == RunPermission::kUndecided && shares_part && !caller_left_;
    if (!may_wait || monotonicNow() + kVerdictPoll > decide_by) break;
    co_await connection::sleepFor(kVerdictPoll);
  }
  crashes.noteRefused(monotonicNow(), crashSubjects(), id_);
  co_return true;
}

Awaitable<ExchangeRun::RunPermission> ExchangeRun::requestPermission(LeaseUse lease_use) {
  fleet::CrashWatch& crashes = context_.crashes;
  const request::CrashSubjects& subjects = crashSubjects();
  const Instant now = monotonicNow();
  const bool may_obtain = lease_use == LeaseUse::kObtain && !crashes.mustWait(now, subjects);
  if (may_obtain && crashes.needsTrial(now, subjects)) {
    const bool has_trial = co_await obtainTrial(crashes.judge(subjects));
    if (!has_trial) co_return RunPermission::kUndecided;
  }
  // Another run may have crashed its engine during the wait for the lease.
  const request::CrashVerdict verdict = crashes.judge(subjects);
  const Instant decided_at = monotonicNow();
  const bool is_refused = verdict.isRefused(decided_at);
  if (!is_refused && !crashes.mustWait(decided_at, subjects)) co_return RunPermission::kGranted;
  if (is_refused) retry_after_ = verdict.refused_until - decided_at;
  cause_ = fmt::format("{} engines crashed while running a request with this {}", verdict.crashes,
                       nameOfSubject(verdict.decisive));
  co_return is_refused ? RunPermission::kRefused : RunPermission::kUndecided;
}

Awaitable<bool> ExchangeRun::obtainTrial(request::CrashVerdict verdict) {
  const Instant now = monotonicNow();
  const bool is_granted = trial_granted_at_ && trial_subject_ == verdict.decisive;
  if (is_granted && now < *trial_granted_at_ + kTrialStartLimit) co_return true;
  if (trial_holder_.empty() || trial_subject_ != verdict.decisive) trial_holder_ = context_.crashes.newTrialHolder();
  trial_subject_ = verdict.decisive;
  const TrialAnswer answer = co_await context_.trials.request(trial_subject_, trial_holder_, id_);
  if (answer.is_granted) {
    // The lease runs from its grant at the leader, which is later than `now`.
    trial_granted_at_ = now;
    co_return true;
  }
  // Without a leader, a request with fewer crashes goes by what this gateway has heard of other runs.
  if (!answer.is_answered && !verdict.requires_lease) co_return true;
  retry_after_ = answer.ask_again;
  cause_ = fmt::format("{} engines crashed while running a request with this {}, and no trial of it may begin now",
                       verdict.crashes, nameOfSubject(verdict.decisive));
  co_return false;
}

/// The request may have queued for its engine while others crashed engines.
Awaitable<bool> ExchangeRun::mayAttempt(const std::optional<EngineChoice>& choice) {
  if (!choice && isBoundToBuild()) cause_ = "no engine of build " + query_.build->value + " may run it";
  if (caller_left_ || !choice || rejectsEarly(*choice)) co_return false;
  const bool is_rejected = co_await rejectsQuarantined(LeaseUse::kObtain);
  if (is_rejected) co_return false;
  const bool may_end_in_time = context_.stop.mayRun(received_at_, deadline_);
  if (!may_end_in_time) cause_ = "the gateway stops";
  co_return may_end_in_time && !caller_left_;
}

/// Sends a suspect to an engine that runs no other suspect, so that the next crash identifies the request that caused
/// it. If there is no such engine, a request with at most one crash goes to any engine and the others are refused.
Awaitable<std::optional<EngineChoice>> ExchangeRun::chooseEngine() {
  const std::vector<EngineId> avoided = context_.crashes.isQuiet()
                                            ? std::vector<EngineId>()
                                            : context_.crashes.enginesToAvoid(monotonicNow(), crashSubjects());
  if (!avoided.empty()) {
    EngineQuery apart = query_;
    apart.excluded.insert(avoided.begin(), avoided.end());
    std::optional<EngineChoice> choice = co_await chooseAmong(apart);
    if (choice || rejected_in_queue_ || context_.crashes.judge(crashSubjects()).crashes > 1) co_return choice;
  }
  co_return co_await chooseAmong(query_);
}

Awaitable<std::optional<EngineChoice>> ExchangeRun::chooseAmong(const EngineQuery& query) {
  placement_number_ = 0;
  // The placement store doesn't know of builds, and a stream that goes on must not wait behind new ones.
  if (!context_.selector.isSticky(query) && !isBoundToBuild()) {
    const std::optional<PlacementClient::Placement> place = co_await requestPlacement(query);
    if (caller_left_ || rejected_in_queue_) {
      if (place && place->number != 0) context_.placement.noteEnded(place->number, EngineVerdict::kNeutral);
      co_return std::nullopt;
    }
    if (place && place->number != 0) {
      const fleet::PlacementAnswer& answer = place->answer;
      std::optional<EngineChoice> choice = context_.selector.describeChosen(monotonicNow(), answer.engine, query,
                                                                            answer.expected_first_ms, answer.running);
      if (choice) {
        choice->slowness = answer.slowness;
        choice->pace_age_ms = answer.pace_age_ms;
        placement_number_ = place->number;
        co_return choice;
      }
      context_.placement.noteEnded(place->number, EngineVerdict::kNeutral);
    }
  }
  co_return context_.selector.choose(monotonicNow(), query);
}

/// If another store takes over placement for this zone while the request is queued, the request queues there again for
/// the rest of its allowed wait.
Awaitable<std::optional<PlacementClient::Placement>> ExchangeRun::requestPlacement(const EngineQuery& query) {
  constexpr int kMaxStores = 2;
  std::optional<PlacementClient::Placement> place;
  for (int store = 0; store < kMaxStores && !caller_left_; ++store) {
    std::vector<EngineId> unreachable = context_.selector.ejectedEngines(monotonicNow(), query.service);
    std::optional<PlacementClient::QueueTerms> wait = placementWait();
    place = co_await context_.placement.place(query, std::move(unreachable), std::move(wait));
    if (place && place->queue_outcome != QueueOutcome::kNotQueued) recordQueueOutcome(*place);
    if (!place || place->queue_outcome != QueueOutcome::kStoreChanged) break;
  }
  co_return place;
}

/// A request that was already sent to an engine is not rejected for lack of a slot.
std::optional<PlacementClient::QueueTerms> ExchangeRun::placementWait() const {
  if (!context_.queues_at_store) return std::nullopt;
  const Instant now = monotonicNow();
  const bool is_fresh = runs_ + refusals_ == 0;
  PlacementClient::QueueTerms wait;
  wait.control = control_;
  if (tenant_ != nullptr) wait.terms.tenant = tenant_->id;
  wait.terms.priority = route_.priority;
  wait.terms.may_be_refused = is_fresh && route_.objective > Duration::zero();
  const Duration left = is_fresh ? context_.gate.maxWait(route_.objective, now - received_at_) : route_.objective;
  // Without an objective, the request may queue for half of the time until its deadline.
  const bool has_objective = route_.objective > Duration::zero();
  wait.terms.left_ms = toMillis(std::clamp(has_objective ? left : (deadline_ - now) / 2, Duration::zero(),
                                           std::max(Duration::zero(), deadline_ - now)));
  return wait;
}

void ExchangeRun::recordQueueOutcome(const PlacementClient::Placement& place) {
  constexpr std::string_view kNames[] = {"none", "placed", "refused", "store_silent", "store_changed", "caller_left"};
  rejected_in_queue_ = place.queue_outcome == QueueOutcome::kRejected;
  const QueueOutcome end = caller_left_ ? QueueOutcome::kCallerLeft : place.queue_outcome;
  logEvent(LogLevel::kInfo, "request_stood_in_line",
           {{"request", id_},
            {"outcome", kNames[static_cast<std::size_t>(end)]},
            {"stood_ms", toMillis(place.queued_for)},
            {"position", place.position},
            {"priority", route_.priority},
            {"objective_ms", toMillis(route_.objective)},
            {"line_ms", place.answer.refused_for_ms},
            {"after_ms", elapsedMs()}});
  if (!rejected_in_queue_) return;
  const Duration line = fromMillis(place.answer.refused_for_ms);
  retry_after_ = context_.gate.retryAfter(line);
  cause_ = "zone_full";
  ++context_.counters.rejected_early;
}

bool ExchangeRun::rejectsEarly(const EngineChoice& choice) {
  if (runs_ + refusals_ > 0 || isBoundToBuild()) return false;
  const Duration wait(static_cast<Duration::rep>(choice.expected_first_ms * 1000));
  // A request that waited at this gateway, for example for a reserved credit, is still useful to its caller when late.
  if (monotonicNow() - received_at_ > route_.objective) return false;
  if (context_.gate.admits(route_.objective, monotonicNow() - received_at_, wait)) return false;
  retry_after_ = context_.gate.retryAfter(wait);
  cause_ = "engines_full";
  ++context_.counters.rejected_early;
  logEvent(LogLevel::kInfo, "request_rejected_early",
           {{"request", id_},
            {"expected_wait_ms", toMillis(wait)},
            {"objective_ms", toMillis(route_.objective)},
            {"engine", choice.engine.id.value},
            {"running", fmt::format("{:.1f}", choice.estimated_running)},
            {"load_age_ms", choice.load_age_ms},
            {"slowness", fmt::format("{:.2f}", choice.slowness)},
            {"pace_age_ms", choice.pace_age_ms},
            {"come_back_ms", toMillis(retry_after_)}});
  return true;
}

}  // namespace hatchfork::exchange
