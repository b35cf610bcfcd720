#include "request/admission/startup_admission.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "request/admission/pending_budget.hpp"

namespace hatchfork::request {
namespace {

constexpr std::size_t kGateways = 77;
constexpr double kArrivalsPerSecond = 30;
constexpr Duration kReplayLength = fromMillis(2000);
constexpr Duration kCallerDeadline = fromMillis(1500);

/// One request of the replay and its outcome.
struct Replayed {
  Instant received_at{};
  bool served = false;
  /// When it was served or refused.
  Instant ended_at{};
  Duration come_back_after{};
};

/// Replays requests to one gateway, one after the other from its start on; the configuration is in force
/// `configured_after` its start, or never. Returns the requests received before then.
std::vector<Replayed> replayGateway(std::uint64_t seed, std::optional<Duration> configured_after, PendingBudget& budget,
                                    std::size_t& most_buffered) {
  const Instant started_at{std::chrono::seconds(10)};
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(kArrivalsPerSecond);
  StartupAdmission admission(started_at, seed);
  const Instant in_force = configured_after ? started_at + *configured_after : Instant::max();
  std::vector<Replayed> requests;
  std::vector<Instant> end_times;
  Instant now = started_at;
  while (true) {
    now += Duration(static_cast<Duration::rep>(gap(random) * 1e6));
    if (now >= started_at + kReplayLength || now >= in_force) break;
    std::erase_if(end_times, [&](Instant at) {
      if (at > now) return false;
      budget.leave(1000);
      return true;
    });
    const StartupDecision decision = admission.decide(now, EarlyArrival{now, kCallerDeadline});
    Replayed request{now, false, now, decision.come_back_after};
    if (decision.until && budget.tryEnter(1000)) {
      request.ended_at = std::min(*decision.until, in_force);
      request.served = in_force <= *decision.until;
      end_times.push_back(request.ended_at);
    }
    most_buffered = std::max(most_buffered, budget.requests());
    requests.push_back(request);
  }
  return requests;
}

struct Replay {
  std::size_t requests = 0;
  std::size_t served = 0;
  Duration longest_wait{};
  std::size_t most_buffered = 0;
  std::vector<Instant> retries;
};

Replay replayFleet(std::optional<Duration> configured_after) {
  Replay replay;
  for (std::size_t gateway = 1; gateway <= kGateways; ++gateway) {
    PendingBudget budget(64, 1 << 20);
    for (const Replayed& request : replayGateway(gateway, configured_after, budget, replay.most_buffered)) {
      ++replay.requests;
      if (request.served) ++replay.served;
      if (!request.served) replay.retries.push_back(request.ended_at + request.come_back_after);
      replay.longest_wait = std::max(replay.longest_wait, request.ended_at - request.received_at);
    }
  }
  return replay;
}

}  // namespace

TEST_CASE("all requests to a fleet that starts quickly are buffered and served", "[start_hold]") {
  const Replay replay = replayFleet(fromMillis(150));
  REQUIRE(replay.requests > 200);
  CHECK(replay.served == replay.requests);
  CHECK(replay.longest_wait <= fromMillis(150));
  CHECK(replay.most_buffered <= 20);
}

TEST_CASE("if startup takes its usual time, requests of its last 400 ms are served", "[start_hold]") {
  const Replay replay = replayFleet(fromMillis(600));
  REQUIRE(replay.requests > 1000);
  CHECK(static_cast<double>(replay.served) >= 0.6 * static_cast<double>(replay.requests));
  CHECK(replay.longest_wait <= fromMillis(400));
  // Refused callers come back to a fleet that serves.
  const Instant started_at{std::chrono::seconds(10)};
  for (const Instant at : replay.retries) CHECK(at >= started_at + fromMillis(600));
}

TEST_CASE("if startup does not end, callers are soon refused at once and their retries are spread", "[start_hold]") {
  const Replay replay = replayFleet(std::nullopt);
  REQUIRE(replay.requests > 4000);
  CHECK(replay.served == 0);
  CHECK(replay.longest_wait <= fromMillis(400));
  StartupAdmission admission(Instant{}, 1);
  const Instant late{fromMillis(700)};
  CHECK_FALSE(admission.decide(late, EarlyArrival{late, std::nullopt}).until);
  // No interval of 100 ms gets more than a tenth of the retries.
  std::map<std::int64_t, std::size_t> retries_by_interval;
  for (const Instant at : replay.retries) ++retries_by_interval[toMillis(at.time_since_epoch()) / 100];
  for (const auto& [interval, count] : retries_by_interval) CHECK(count * 10 <= replay.retries.size());
}

TEST_CASE("a request is buffered no longer than its caller can use, and a refusal gives a retry time after the startup",
          "[start_hold]") {
  const auto holds = [](std::uint16_t after_start, std::uint16_t remaining) {
    const Instant started_at{std::chrono::seconds(10)};
    const Instant now = started_at + fromMillis(after_start % 2000);
    StartupAdmission admission(started_at, after_start + 1);
    const StartupDecision decision = admission.decide(now, EarlyArrival{now, fromMillis(remaining)});
    if (decision.until) {
      RC_ASSERT(*decision.until > now);
      RC_ASSERT(*decision.until - now <= fromMillis(remaining) / 2);
      RC_ASSERT(*decision.until - now <= fromMillis(400));
    }
    const Instant refused_at = decision.until.value_or(now);
    RC_ASSERT(refused_at + decision.come_back_after >= started_at + fromMillis(600));
    RC_ASSERT(decision.come_back_after >= fromMillis(250));
    RC_ASSERT(decision.come_back_after <= fromMillis(1100));
  };
  CHECK(rc::check(holds));
}

}  // namespace hatchfork::request
