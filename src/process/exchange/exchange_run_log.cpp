#include <fmt/format.h>

#include "common/log.hpp"
#include "process/exchange/exchange_run.hpp"

// Log events of a request's run.
namespace hatchfork::exchange {

using connection::monotonicNow;
using request::EngineChoice;

std::int64_t ExchangeRun::elapsedMs() const {
  return toMillis(monotonicNow() - received_at_);
}

std::string_view ExchangeRun::shownLastEventId() const {
  constexpr std::size_t kMaxShownLength = 24;
  return last_event_id_.empty() ? std::string_view("-") : std::string_view(last_event_id_).substr(0, kMaxShownLength);
}

void ExchangeRun::logAttempt(const EngineChoice& choice) const {
  logEvent(LogLevel::kInfo, "attempt_sent",
           {{"request", id_},
            {"engine", choice.engine.id.value},
            {"build", choice.engine.build.value},
            {"text_build", position_.build() ? std::string_view(position_.build()->value) : std::string_view("-")},
            {"placed_by", placement_number_ == 0 ? "gateway" : "store"},
            {"cost_ms", fmt::format("{:.0f}", choice.cost_ms)},
            {"in_flight", choice.in_flight},
            {"running", fmt::format("{:.1f}", choice.estimated_running)},
            {"load_age_ms", choice.load_age_ms},
            {"expected_first_ms", fmt::format("{:.0f}", choice.expected_first_ms)},
            {"slowness", fmt::format("{:.2f}", choice.slowness)},
            {"pace_age_ms", choice.pace_age_ms},
            {"cached", choice.expects_cached_prefix},
            {"candidates", choice.candidates},
            {"caller_has", shownLastEventId()},
            {"resume_after", position_.last().value_or(0)},
            {"left_ms", toMillis(deadline_ - monotonicNow())}});
}

void ExchangeRun::logAttemptEnd(AttemptEnd end, const std::string& cause) const {
  constexpr std::string_view kNames[] = {"answered", "declined", "not_sent", "broken", "stream_broken", "caller_left"};
  constexpr std::string_view kReachability[] = {"no", "yes", "unknown"};
  if (end == AttemptEnd::kAnswered) return;
  logEvent(LogLevel::kInfo, "attempt_ended",
           {{"request", id_},
            {"engine", engine_.value},
            {"outcome", kNames[static_cast<std::size_t>(end)]},
            {"cause", cause},
            {"engine_ended", kReachability[static_cast<std::size_t>(engine_state_)]},
            {"content", fingerprint_.value},
            {"caller", request_.peer},
            {"events", events_},
            {"last_event", position_.last().value_or(0)},
            {"repeated", repeated_},
            {"after_ms", elapsedMs()}});
}

void ExchangeRun::logEnd(std::string_view outcome, unsigned status) const {
  if (first_byte_at_) context_.counters.first_byte.observe(*first_byte_at_ - received_at_);
  context_.counters.whole.observe(monotonicNow() - received_at_);
  const std::int64_t first = first_byte_at_ ? toMillis(*first_byte_at_ - received_at_) : -1;
  const std::optional<Instant> stop_began_at = context_.stop.beganAt();
  const std::int64_t stopping_ms = stop_began_at ? toMillis(monotonicNow() - *stop_began_at) : -1;
  const bool is_cut = outcome == "stream_cut" || (outcome == "caller_left" && stop_began_at);
  logEvent(is_cut ? LogLevel::kWarning : LogLevel::kInfo, "request_ended",
           {{"request", id_},
            {"tenant", tenant_ == nullptr ? std::string_view("-") : std::string_view(tenant_->id.value)},
            {"route", route_.name},
            {"version", routes_->version()},
            {"service", query_.service.value},
            {"outcome", outcome},
            {"status", status},
            {"cause", cause_.empty() ? std::string_view("-") : std::string_view(cause_)},
            {"engine", engine_.value},
            {"runs", runs_},
            {"refusals", refusals_},
            {"prompt_tokens", query_.prompt.prompt_tokens},
            {"caller_has", shownLastEventId()},
            {"build", engine_build_.value},
            {"first_event", first_event_.value_or(0)},
            {"last_event", position_.last().value_or(0)},
            {"events", events_},
            {"repeated", repeated_},
            {"first_ms", first},
            {"stopping_ms", stopping_ms},
            {"after_ms", elapsedMs()}});
}

}  // namespace hatchfork::exchange
