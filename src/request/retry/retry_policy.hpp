#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "common/error.hpp"
#include "common/time.hpp"

namespace hatchfork::request {

struct RetryOptions {
  /// Retries allowed per first attempt over the recent past. Bounds the load that retries add during a large outage.
  double budget_ratio = 0.2;
  /// Retries always allowed per second, so that a service with little traffic can retry at all.
  double budget_floor_per_second = 3.0;
  /// Half-life of the request and retry counts.
  Duration window = fromMillis(5000);
  /// Maximum number of attempts of one request, the first one included.
  std::uint32_t most_attempts = 3;
};

/// Limits the retries of one service on one traffic thread to a share of its requests.
class RetryBudget {
 public:
  explicit RetryBudget(RetryOptions options);
  void recordRequest(Instant now);
  /// Takes one retry from the budget; false if the budget is exhausted.
  bool tryRetry(Instant now);
  /// Returns the time after which the budget is expected to allow a retry.
  Duration untilAvailable() const;

 private:
  void decay(Instant now);
  RetryOptions options_;
  double requests_ = 0;
  double retries_ = 0;
  Instant updated_{};
  bool started_ = false;
};

/// How far an attempt got before it failed.
enum class FailurePoint : std::uint8_t {
  /// No byte of the request was sent, or the engine answered that it did not run the request.
  kNotRun,
  /// The request was sent, but no valid byte of the answer arrived: the engine may have run it.
  kNoAnswer,
  /// The stream broke, had events of another answer, or ended without its end mark after some tokens.
  kMidStream,
};

struct RequestTraits {
  /// False for requests marked as unrepeatable, which are run at most once.
  bool repeatable = true;
  /// True if engines of the service can resume a stream at a token offset.
  bool resumable = true;
  bool streaming = true;
  std::optional<Instant> deadline;
};

struct AttemptFailure {
  FailurePoint point = FailurePoint::kNotRun;
  /// Tokens already relayed to the caller (streaming) or buffered for it (not streaming).
  std::uint32_t tokens_relayed = 0;
  /// True if an earlier attempt of the same request may have run.
  bool maybe_run_before = false;
  /// Number of attempts so far, this one included.
  std::uint32_t attempts = 1;
  /// Cause of the failure, for the final answer.
  Error error;
};

/// Runs the request again from the first token, on another engine.
struct Retry {};
/// Continues the request on another engine at exactly this token offset.
struct Resume {
  std::uint32_t from_token = 0;
};
/// Answers the caller with `error`, without further attempts. `error.executed` is `kNo` only if that is certain.
struct GiveUp {
  Error error;
};
using RetryDecision = std::variant<Retry, Resume, GiveUp>;

/// Decides how to proceed after a failed attempt. There is no backoff within a request: a rejected caller receives a
/// retry time instead.
class RetryPolicy {
 public:
  explicit RetryPolicy(RetryOptions options);
  void recordRequest(Instant now) { budget_.recordRequest(now); }
  RetryDecision decide(Instant now, const RequestTraits& traits, const AttemptFailure& failure);

 private:
  RetryOptions options_;
  RetryBudget budget_;
};

}  // namespace hatchfork::request
