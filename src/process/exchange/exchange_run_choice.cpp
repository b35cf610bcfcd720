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
    if (choice || tools_.crashes.judge(fingerprint_).crashes > 1) co_return choice;
  }
  co_return co_await chooseAmong(query_);
}

Awaitable<std::optional<EngineChoice>> ExchangeRun::chooseAmong(const EngineQuery& query) {
  place_ = 0;
  if (!tools_.selector.isSticky(query)) {
    std::vector<EngineId> unreachable = tools_.selector.ejectedEngines(monotonicNow(), query.service);
    const std::optional<PlacementClient::Place> place = co_await tools_.placement.place(query, std::move(unreachable));
    if (place) {
      const fleet::PlacementAnswer& answer = place->answer;
      std::optional<EngineChoice> choice = tools_.selector.describeChosen(monotonicNow(), answer.engine, query,
                                                                          answer.expected_first_ms, answer.running);
      if (choice) {
        place_ = place->number;
        co_return choice;
      }
      tools_.placement.noteEnded(place->number, EngineVerdict::kNeutral);
    }
  }
  co_return tools_.selector.choose(monotonicNow(), query);
}

bool ExchangeRun::rejectsEarly(const EngineChoice& choice) {
  if (runs_ + refusals_ > 0) return false;
  const Duration wait(static_cast<Duration::rep>(choice.expected_first_ms * 1000));
  // It waited here for what was kept for it, and is of use to its caller though it is late.
  if (monotonicNow() - received_at_ > route_.objective) return false;
  if (tools_.gate.admits(route_.objective, monotonicNow() - received_at_, wait)) return false;
  come_back_after_ = tools_.gate.comeBackAfter(wait);
  cause_ = "engines_full";
  ++tools_.counters.rejected_early;
  logEvent(LogLevel::kInfo, "request_rejected_early",
           {{"request", id_},
            {"expected_wait_ms", toMillis(wait)},
            {"objective_ms", toMillis(route_.objective)},
            {"engine", choice.engine.id.value},
            {"running", fmt::format("{:.1f}", choice.estimated_running)},
            {"load_age_ms", choice.load_age_ms},
            {"come_back_ms", toMillis(come_back_after_)}});
  return true;
}

}  // namespace hatchfork::exchange
