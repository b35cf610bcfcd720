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

/// A tenant's limit over some gateways on virtual time: callers press beyond the limit, gateways restart, answers are
/// lost or late, the owner is replaced. Counts what is admitted in every window.
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
    if (owner_lost_) {
      account.noteNoResponse(now_, limits_);
      if (account.tryTakeLocalShare(now_)) admit();
      return;
    }
    account.noteResponse(now_, owner_.answer(now_, kCrew, limits_, *credit_request));
    if (account.tryTake(now_)) admit();
  }

  void pass(Duration time) {
    now_ += time;
    while (!admitted_.empty() && admitted_.front() <= now_ - options_.window) admitted_.pop_front();
  }
  void restart(std::size_t gateway) { accounts_[gateway % accounts_.size()] = RateLimitAccount(options_); }
  void replaceOwner() {
    owner_ = RateLimitOwner(options_);
    owner_.noteTakeover(now_);
  }
  void loseOwner(bool lost) { owner_lost_ = lost; }
  std::size_t inWindow() const { return admitted_.size(); }
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
  bool owner_lost_ = false;
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

TEST_CASE("no window sees more than the limit and its tolerance while gateways restart", "[limits][rate][property]") {
  const bool holds = hatchfork::testing::holds([] {
    const RateLimitOptions options{std::chrono::seconds(5), 20};
    const TenantLimits limits = drawLimits();
    LimitedFleet fleet(*rc::gen::inRange<std::size_t>(1, 60), options, limits);
    for (int step = 0; step < 1500; ++step) {
      fleet.pass(fromMillis(*rc::gen::inRange(1, 12)));
      const std::size_t arrivals = *rc::gen::inRange<std::size_t>(0, 8);
      for (std::size_t index = 0; index < arrivals; ++index) fleet.arrive(*rc::gen::arbitrary<std::uint16_t>());
      if (*rc::gen::inRange(0, 100) == 0) fleet.restart(*rc::gen::arbitrary<std::uint16_t>());
      RC_ASSERT(static_cast<double>(fleet.inWindow()) <= allowed(options, limits));
    }
  });
  REQUIRE(holds);
}

TEST_CASE("no window sees more than the limit and its tolerance when an owner is replaced",
          "[limits][rate][property]") {
  const bool holds = hatchfork::testing::holds([] {
    const RateLimitOptions options{std::chrono::seconds(5), 20};
    const TenantLimits limits = drawLimits();
    LimitedFleet fleet(*rc::gen::inRange<std::size_t>(1, 60), options, limits);
    const int replaced_at = *rc::gen::inRange(100, 1200);
    for (int step = 0; step < 1500; ++step) {
      fleet.pass(fromMillis(*rc::gen::inRange(1, 12)));
      if (step == replaced_at) fleet.replaceOwner();
      const std::size_t arrivals = *rc::gen::inRange<std::size_t>(0, 8);
      for (std::size_t index = 0; index < arrivals; ++index) fleet.arrive(*rc::gen::arbitrary<std::uint16_t>());
      RC_ASSERT(static_cast<double>(fleet.inWindow()) <= allowed(options, limits));
    }
  });
  REQUIRE(holds);
}

TEST_CASE("what lies below the limit is admitted, however few or many the gateways", "[limits][rate][property]") {
  const bool holds = hatchfork::testing::holds([] {
    const RateLimitOptions options{std::chrono::seconds(5), 20};
    TenantLimits limits = drawLimits();
    limits.online_requests_per_second += 9;
    limits.online_burst = limits.online_requests_per_second;
    LimitedFleet fleet(*rc::gen::inRange<std::size_t>(1, 60), options, limits);
    // Six tenths of the limit, one request after the other.
    const Duration gap(static_cast<Duration::rep>(1e6 / (0.6 * limits.online_requests_per_second)));
    std::size_t sent = 0;
    for (; sent < 600; ++sent) {
      fleet.pass(gap);
      fleet.arrive(*rc::gen::arbitrary<std::uint16_t>());
    }
    RC_ASSERT(fleet.total() == sent);
  });
  REQUIRE(holds);
}

TEST_CASE("gateways without their owner stay within the limit together", "[limits][rate][property]") {
  const RateLimitOptions options{std::chrono::seconds(5), 20};
  TenantLimits limits;
  limits.online_requests_per_second = 100;
  limits.online_burst = 100;
  LimitedFleet fleet(50, options, limits);
  std::size_t gateway = 0;
  const auto press = [&](int milliseconds) {
    for (int step = 0; step < milliseconds; step += 2) {
      fleet.pass(fromMillis(2));
      fleet.arrive(gateway += 7);
    }
  };
  press(8000);
  fleet.loseOwner(true);
  press(8000);
  fleet.loseOwner(false);
  press(8000);
  REQUIRE(static_cast<double>(fleet.most()) <= allowed(options, limits));
}
