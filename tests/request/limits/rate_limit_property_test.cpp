#include <catch2/catch.hpp>
#include <deque>
#include <vector>

#include "request/limits/rate_limit_account.hpp"
#include "request/limits/rate_limit_owner.hpp"
#include "tests/process/batch/property.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

const TenantId kCrew("crew");

/// Simulates the rate limit of one tenant over several gateways in virtual time: callers exceed the limit, gateways
/// restart, the owner is unreachable or replaced. Counts the requests admitted in each window.
class LimitedFleet {
 public:
  LimitedFleet(std::size_t gateways, RateLimitOptions options, TenantLimits limits)
      : options_(options), limits_(limits), owner_(options) {
    for (std::size_t index = 0; index < gateways; ++index) accounts_.emplace_back(options);
  }

  void arrive(std::size_t gateway) {
    RateLimitAccount& account = accounts_[gateway % accounts_.size()];
    account.noteArrival(now_);
    if (account.tryTake(now_)) return admit();
    const auto credit_request = account.nextRequest(now_, 1);
    if (!credit_request) {
      if (account.isOwnerUnreachable(now_) && account.tryTakeLocalShare(now_)) admit();
      return;
    }
    if (owner_unreachable_) {
      account.noteNoResponse(now_, limits_);
      if (account.tryTakeLocalShare(now_)) admit();
      return;
    }
    account.noteResponse(now_, owner_.answer(now_, kCrew, limits_, *credit_request));
    if (account.tryTake(now_)) admit();
  }

  void advance(Duration time) {
    now_ += time;
    while (!admitted_.empty() && admitted_.front() <= now_ - options_.window) admitted_.pop_front();
  }
  void restart(std::size_t gateway) { accounts_[gateway % accounts_.size()] = RateLimitAccount(options_); }
  void replaceOwner() {
    owner_ = RateLimitOwner(options_);
    owner_.noteTakeover(now_);
  }
  void setOwnerUnreachable(bool lost) { owner_unreachable_ = lost; }
  /// Number of requests admitted in the window that ends now.
  std::size_t inWindow() const { return admitted_.size(); }
  /// Largest number of requests admitted in any window.
  std::size_t most() const { return most_; }
  std::size_t total() const { return total_; }

 private:
  void admit() {
    admitted_.push_back(now_);
    most_ = std::max(most_, admitted_.size());
    ++total_;
  }

  RateLimitOptions options_;
  TenantLimits limits_;
  RateLimitOwner owner_;
  std::vector<RateLimitAccount> accounts_;
  Instant now_{std::chrono::seconds(1000)};
  std::deque<Instant> admitted_;
  std::size_t most_ = 0;
  std::size_t total_ = 0;
  bool owner_unreachable_ = false;
};

double allowed(const RateLimitOptions& options, const TenantLimits& limits) {
  return 1.1 * (limits.online_requests_per_second * toSeconds(options.window) + limits.online_burst) + options.slack;
}

TenantLimits drawLimits() {
  TenantLimits limits;
  limits.online_requests_per_second = *rc::gen::inRange(1, 200);
  limits.online_burst = *rc::gen::inRange(0, static_cast<int>(limits.online_requests_per_second) + 1);
  return limits;
}

}  // namespace

TEST_CASE("admissions per window stay within limit and tolerance while gateways restart", "[limits][rate][property]") {
  const bool holds = hatchfork::testing::holds([] {
    const RateLimitOptions options{std::chrono::seconds(5), 20};
    const TenantLimits limits = drawLimits();
    LimitedFleet fleet(*rc::gen::inRange<std::size_t>(1, 60), options, limits);
    for (int step = 0; step < 1500; ++step) {
      fleet.advance(fromMillis(*rc::gen::inRange(1, 12)));
      const std::size_t arrivals = *rc::gen::inRange<std::size_t>(0, 8);
      for (std::size_t index = 0; index < arrivals; ++index) fleet.arrive(*rc::gen::arbitrary<std::uint16_t>());
      if (*rc::gen::inRange(0, 100) == 0) fleet.restart(*rc::gen::arbitrary<std::uint16_t>());
      RC_ASSERT(static_cast<double>(fleet.inWindow()) <= allowed(options, limits));
    }
  });
  REQUIRE(holds);
}

TEST_CASE("admissions per window stay within limit and tolerance when the owner is replaced",
          "[limits][rate][property]") {
  const bool holds = hatchfork::testing::holds([] {
    const RateLimitOptions options{std::chrono::seconds(5), 20};
    const TenantLimits limits = drawLimits();
    LimitedFleet fleet(*rc::gen::inRange<std::size_t>(1, 60), options, limits);
    const int replaced_at = *rc::gen::inRange(100, 1200);
    for (int step = 0; step < 1500; ++step) {
      fleet.advance(fromMillis(*rc::gen::inRange(1, 12)));
      if (step == replaced_at) fleet.replaceOwner();
      const std::size_t arrivals = *rc::gen::inRange<std::size_t>(0, 8);
      for (std::size_t index = 0; index < arrivals; ++index) fleet.arrive(*rc::gen::arbitrary<std::uint16_t>());
      RC_ASSERT(static_cast<double>(fleet.inWindow()) <= allowed(options, limits));
    }
  });
  REQUIRE(holds);
}

TEST_CASE("traffic below the limit is admitted for any number of gateways", "[limits][rate][property]") {
  const bool holds = hatchfork::testing::holds([] {
    const RateLimitOptions options{std::chrono::seconds(5), 20};
    TenantLimits limits = drawLimits();
    limits.online_requests_per_second += 9;
    limits.online_burst = limits.online_requests_per_second;
    LimitedFleet fleet(*rc::gen::inRange<std::size_t>(1, 60), options, limits);
    // Evenly spaced requests at 60 % of the limit.
    const Duration gap(static_cast<Duration::rep>(1e6 / (0.6 * limits.online_requests_per_second)));
    std::size_t sent = 0;
    for (; sent < 600; ++sent) {
      fleet.advance(gap);
      fleet.arrive(*rc::gen::arbitrary<std::uint16_t>());
    }
    RC_ASSERT(fleet.total() == sent);
  });
  REQUIRE(holds);
}

TEST_CASE("gateways together stay within the limit while the owner is unreachable", "[limits][rate][property]") {
  const RateLimitOptions options{std::chrono::seconds(5), 20};
  TenantLimits limits;
  limits.online_requests_per_second = 100;
  limits.online_burst = 100;
  LimitedFleet fleet(50, options, limits);
  std::size_t gateway = 0;
  const auto sendFor = [&](int milliseconds) {
    for (int step = 0; step < milliseconds; step += 2) {
      fleet.advance(fromMillis(2));
      fleet.arrive(gateway += 7);
    }
  };
  sendFor(8000);
  fleet.setOwnerUnreachable(true);
  sendFor(8000);
  fleet.setOwnerUnreachable(false);
  sendFor(8000);
  REQUIRE(static_cast<double>(fleet.most()) <= allowed(options, limits));
}
