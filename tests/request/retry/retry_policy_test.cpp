#include "request/retry/retry_policy.hpp"

#include <catch2/catch.hpp>

namespace hatchfork::request {
namespace {

Instant at(std::int64_t milliseconds) {
  return Instant(fromMillis(milliseconds));
}

AttemptFailure makeFailure(FailurePoint point, std::uint32_t tokens) {
  AttemptFailure failure;
  failure.point = point;
  failure.tokens_relayed = tokens;
  failure.error = Error{ErrorKind::kUpstreamFailed, "engine failed", "retry later", Executed::kUnknown, {}};
  return failure;
}

TEST_CASE("an unrepeatable request is retried only if it certainly did not run", "[retry]") {
  RetryPolicy policy(RetryOptions{});
  RequestTraits traits;
  traits.repeatable = false;
  CHECK(std::holds_alternative<Retry>(policy.decide(at(0), traits, makeFailure(FailurePoint::kNotRun, 0))));
  for (const FailurePoint point : {FailurePoint::kNoAnswer, FailurePoint::kMidStream}) {
    const RetryDecision decision = policy.decide(at(0), traits, makeFailure(point, 0));
    REQUIRE(std::holds_alternative<GiveUp>(decision));
    CHECK(std::get<GiveUp>(decision).error.kind == ErrorKind::kOutcomeUnknown);
    CHECK(std::get<GiveUp>(decision).error.executed == Executed::kUnknown);
  }
}

TEST_CASE("a broken stream resumes at the exact offset or ends, and never restarts", "[retry]") {
  RetryPolicy policy(RetryOptions{});
  RequestTraits traits;
  const RetryDecision resumed = policy.decide(at(0), traits, makeFailure(FailurePoint::kMidStream, 17));
  REQUIRE(std::holds_alternative<Resume>(resumed));
  CHECK(std::get<Resume>(resumed).from_token == 17);
  const RetryDecision refused = policy.decide(at(0), traits, makeFailure(FailurePoint::kNotRun, 17));
  CHECK(std::holds_alternative<Resume>(refused));
  traits.resumable = false;
  CHECK(std::holds_alternative<GiveUp>(policy.decide(at(0), traits, makeFailure(FailurePoint::kMidStream, 17))));
  CHECK(std::holds_alternative<Retry>(policy.decide(at(0), traits, makeFailure(FailurePoint::kNoAnswer, 0))));
}

TEST_CASE("a failed request is reported as not run only if no attempt can have run", "[retry]") {
  RetryPolicy policy(RetryOptions{});
  AttemptFailure failure = makeFailure(FailurePoint::kNotRun, 0);
  failure.attempts = 3;
  RetryDecision decision = policy.decide(at(0), RequestTraits{}, failure);
  REQUIRE(std::holds_alternative<GiveUp>(decision));
  CHECK(std::get<GiveUp>(decision).error.executed == Executed::kNo);
  CHECK(std::get<GiveUp>(decision).error.retry_after);
  failure.maybe_run_before = true;
  decision = policy.decide(at(0), RequestTraits{}, failure);
  REQUIRE(std::holds_alternative<GiveUp>(decision));
  CHECK(std::get<GiveUp>(decision).error.executed == Executed::kUnknown);
}

TEST_CASE("nothing is retried past the deadline", "[retry]") {
  RetryPolicy policy(RetryOptions{});
  RequestTraits traits;
  traits.deadline = at(100);
  const RetryDecision late = policy.decide(at(100), traits, makeFailure(FailurePoint::kNotRun, 0));
  REQUIRE(std::holds_alternative<GiveUp>(late));
  CHECK(std::get<GiveUp>(late).error.kind == ErrorKind::kDeadlineExceeded);
}

TEST_CASE("retries stay a bounded share of the requests while everything fails", "[retry][storm]") {
  RetryOptions options;
  RetryPolicy policy(options);
  int retries = 0;
  const int requests = 10000;
  for (int request = 0; request < requests; ++request) {
    const Instant now = at(request);
    policy.recordRequest(now);
    AttemptFailure failure = makeFailure(FailurePoint::kNotRun, 0);
    while (!std::holds_alternative<GiveUp>(policy.decide(now, RequestTraits{}, failure))) {
      ++retries;
      ++failure.attempts;
    }
  }
  CHECK(retries > 0);
  CHECK(retries < requests * (options.budget_ratio + 0.05));
}

}  // namespace
}  // namespace hatchfork::request
