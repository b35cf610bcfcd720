#include <fmt/format.h>

#include <utility>

#include "common/log.hpp"
#include "process/exchange/exchange_run.hpp"

// Which engine a request goes to, and whether it goes to any.
namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;
using request::EngineChoice;
using request::EngineQuery;
using request::EngineVerdict;

bool ExchangeRun::isKeptFromEngines() {
  fleet::CrashWatch& crashes = tools_.crashes;
  if (crashes.isQuiet()) return false;
  const Instant now = monotonicNow();
  const request::CrashVerdict verdict = crashes.judge(fingerprint_);
  const bool is_refused = verdict.isRefused(now);
  if (!is_refused && !crashes.mustWait(now, fingerprint_)) return false;
  if (is_refused) come_back_after_ = verdict.refused_until - now;
  cause_ = fmt::format("{} engines ended while they ran such a request", verdict.crashes);
  crashes.noteRefused(now, fingerprint_, id_);
  return true;
}

/// A suspect goes to an engine without another one, so that the next end tells them apart; where there is none, only a
/// request that is likely to end its engine has to come back.
Awaitable<std::optional<EngineChoice>> ExchangeRun::chooseEngine() {
  const std::vector<EngineId> avoided =
      tools_.crashes.isQuiet() ? std::vector<EngineId>() : tools_.crashes.enginesToAvoid(monotonicNow(), fingerprint_);
  if (!avoided.empty()) {
    EngineQuery apart = query_;
    apart.excluded.insert(avoided.begin(), avoided.end());
    std::optional<EngineChoice> choice = co_await chooseAmong(apart);
    if (choice || refused_in_line_ || tools_.crashes.judge(fingerprint_).crashes > 1) co_return choice;
  }
  co_return co_await chooseAmong(query_);
}

Awaitable<std::optional<EngineChoice>> ExchangeRun::chooseAmong(const EngineQuery& query) {
  place_ = 0;
  if (!tools_.selector.isSticky(query)) {
    const std::optional<PlacementClient::Place> place = co_await askForPlace(query);
    if (caller_left_ || refused_in_line_) {
      if (place && place->number != 0) tools_.placement.noteEnded(place->number, EngineVerdict::kNeutral);
      co_return std::nullopt;
    }
    if (place && place->number != 0) {
      const fleet::PlacementAnswer& answer = place->answer;
      std::optional<EngineChoice> choice = tools_.selector.describeChosen(monotonicNow(), answer.engine, query,
                                                                          answer.expected_first_ms, answer.running);
      if (choice) {
        choice->slowness = answer.slowness;
        choice->pace_age_ms = answer.pace_age_ms;
        place_ = place->number;
        co_return choice;
      }
      tools_.placement.noteEnded(place->number, EngineVerdict::kNeutral);
    }
  }
  co_return tools_.selector.choose(monotonicNow(), query);
}

/// Where another store has come to place this zone's requests, who stood in line at the one before stands there once
/// more, with what is left of its time.
Awaitable<std::optional<PlacementClient::Place>> ExchangeRun::askForPlace(const EngineQuery& query) {
  constexpr int kMostStores = 2;
  std::optional<PlacementClient::Place> place;
  for (int store = 0; store < kMostStores && !caller_left_; ++store) {
    std::vector<EngineId> unreachable = tools_.selector.ejectedEngines(monotonicNow(), query.service);
    std::optional<PlacementClient::Wait> wait = waitForPlace();
    place = co_await tools_.placement.place(query, std::move(unreachable), std::move(wait));
    if (place && place->line != LineEnd::kNone) noteLine(*place);
    if (!place || place->line != LineEnd::kMoved) break;
  }
  co_return place;
}

/// A request that was sent to an engine before is not refused for lack of a place, and has what is left of its time.
std::optional<PlacementClient::Wait> ExchangeRun::waitForPlace() const {
  if (!tools_.stands_in_line) return std::nullopt;
  const Instant now = monotonicNow();
  const bool is_fresh = runs_ + refusals_ == 0;
  PlacementClient::Wait wait;
  wait.control = control_;
  if (tenant_ != nullptr) wait.terms.tenant = tenant_->id;
  wait.terms.priority = route_.priority;
  wait.terms.may_be_refused = is_fresh && route_.objective > Duration::zero();
  const Duration left = is_fresh ? tools_.gate.maxWait(route_.objective, now - received_at_) : route_.objective;
  // Without an objective a place is worth half of what is left until the caller gives up.
  const bool has_objective = route_.objective > Duration::zero();
  wait.terms.left_ms = toMillis(std::clamp(has_objective ? left : (deadline_ - now) / 2, Duration::zero(),
                                           std::max(Duration::zero(), deadline_ - now)));
  return wait;
}

void ExchangeRun::noteLine(const PlacementClient::Place& place) {
  constexpr std::string_view kNames[] = {"none", "placed", "refused", "store_silent", "store_changed", "caller_left"};
  refused_in_line_ = place.line == LineEnd::kRefused;
  const LineEnd end = caller_left_ ? LineEnd::kCallerLeft : place.line;
  logEvent(LogLevel::kInfo, "request_stood_in_line",
           {{"request", id_},
            {"outcome", kNames[static_cast<std::size_t>(end)]},
            {"stood_ms", toMillis(place.stood)},
            {"position", place.position},
            {"priority", route_.priority},
            {"objective_ms", toMillis(route_.objective)},
            {"line_ms", place.answer.refused_for_ms},
            {"after_ms", elapsedMs()}});
  if (!refused_in_line_) return;
  const Duration line = fromMillis(place.answer.refused_for_ms);
  come_back_after_ = tools_.gate.retryAfter(line);
  cause_ = "zone_full";
  ++tools_.counters.rejected_early;
}

bool ExchangeRun::rejectsEarly(const EngineChoice& choice) {
  if (runs_ + refusals_ > 0) return false;
  const Duration wait(static_cast<Duration::rep>(choice.expected_first_ms * 1000));
  // It waited here for what was kept for it, and is of use to its caller though it is late.
  if (monotonicNow() - received_at_ > route_.objective) return false;
  if (tools_.gate.admits(route_.objective, monotonicNow() - received_at_, wait)) return false;
  come_back_after_ = tools_.gate.retryAfter(wait);
  cause_ = "engines_full";
  ++tools_.counters.rejected_early;
  logEvent(LogLevel::kInfo, "request_rejected_early",
           {{"request", id_},
            {"expected_wait_ms", toMillis(wait)},
            {"objective_ms", toMillis(route_.objective)},
            {"engine", choice.engine.id.value},
            {"running", fmt::format("{:.1f}", choice.estimated_running)},
            {"load_age_ms", choice.load_age_ms},
            {"slowness", fmt::format("{:.2f}", choice.slowness)},
            {"pace_age_ms", choice.pace_age_ms},
            {"come_back_ms", toMillis(come_back_after_)}});
  return true;
}

}  // namespace hatchfork::exchange
