#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "request/limits/rate_limit_owner.hpp"
#include "tests/process/batch/property.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

const TenantId kCrew("crew");
const RateLimitOptions kOptions{std::chrono::seconds(5), 20, true};

TenantLimits drawLimits() {
  TenantLimits limits;
  limits.online_requests_per_second = *rc::gen::inRange(1, 200);
  limits.online_burst = *rc::gen::inRange(0, static_cast<int>(limits.online_requests_per_second) + 1);
  return limits;
}

double allowed(const TenantLimits& limits) {
  return 1.1 * (limits.online_requests_per_second * toSeconds(kOptions.window) + limits.online_burst) + kOptions.slack;
}

/// Limits of a window in which one limit replaced the other.
TenantLimits greaterOf(const TenantLimits& first, const TenantLimits& second) {
  TenantLimits limits;
  limits.online_requests_per_second = std::max(first.online_requests_per_second, second.online_requests_per_second);
  limits.online_burst = std::max(first.online_burst, second.online_burst);
  return limits;
}

/// Load over one limit. Each request retries until it is refused for good: refused callers come back at their due time,
/// early, or never.
class LoadedOwner {
 public:
  explicit LoadedOwner(TenantLimits limits) : limits_(limits), owner_(kOptions) {}

  void advance(Duration time) {
    now_ += time;
    while (!granted_.empty() && granted_.front() <= now_ - kOptions.window) granted_.pop_front();
  }

  void arriveFresh() { sendRequest(++last_content_, false); }

  void retryDue() {
    while (!retries_.empty() && retries_.begin()->first <= now_) {
      const std::uint64_t content = retries_.begin()->second;
      retries_.erase(retries_.begin());
      sendRequest(content, true);
    }
  }

  void takeAhead(double credits) {
    const CreditResponse answer = owner_.answer(now_, kCrew, limits_, CreditRequest{credits});
    note(answer.granted);
  }

  void replaceOwner() {
    owner_ = RateLimitOwner(kOptions);
    owner_.noteTakeover(now_);
    reserved_.clear();
  }

  void setLimits(TenantLimits limits) { limits_ = limits; }
  std::size_t inWindow() const { return granted_.size(); }
  bool brokeReservation() const { return broke_reservation_; }

 private:
  void note(double credits) {
    for (int index = 0; index < static_cast<int>(credits); ++index) granted_.push_back(now_);
  }

  void sendRequest(std::uint64_t content, bool may_be_reserved) {
    CreditRequest question{1};
    question.arrivals = 1;
    question.asks = {{content, 0, fromMillis(150), fromMillis(1000), fromMillis(1600)}};
    const CreditResponse answer = owner_.answer(now_, kCrew, limits_, question);
    note(answer.granted);
    const CreditDecision& reply = answer.replies.at(0);
    const bool was_reserved = reserved_.erase(content) > 0;
    if (reply.outcome == CreditOutcome::kGranted) return note(1);
    if (may_be_reserved && was_reserved) broke_reservation_ = true;
    const bool is_reserved = reply.outcome == CreditOutcome::kRetryReserved || reply.outcome == CreditOutcome::kWait;
    if (is_reserved) reserved_.insert(content);
    const bool retries = reply.outcome != CreditOutcome::kRefused && *rc::gen::inRange(0, 10) != 0;
    if (retries) retries_.emplace(now_ + reply.after, content);
  }

  TenantLimits limits_;
  RateLimitOwner owner_;
  Instant now_{std::chrono::seconds(1000)};
  std::uint64_t last_content_ = 0;
  std::deque<Instant> granted_;
  std::multimap<Instant, std::uint64_t> retries_;
  std::set<std::uint64_t> reserved_;
  bool broke_reservation_ = false;
};

}  // namespace

TEST_CASE("no window grants more than the limit for any reservations, over a change of owner and of limit",
          "[admission][returns][property]") {
  const bool holds = hatchfork::testing::holds([] {
    const TenantLimits first = drawLimits();
    const TenantLimits second = drawLimits();
    LoadedOwner owner(first);
    const int replaced_at = *rc::gen::inRange(100, 1200);
    const int changed_at = *rc::gen::inRange(100, 1200);
    Duration since_change{};
    for (int step = 0; step < 1200; ++step) {
      const Duration passed = fromMillis(*rc::gen::inRange(1, 12));
      owner.advance(passed);
      if (step == replaced_at) owner.replaceOwner();
      if (step == changed_at) owner.setLimits(second);
      if (step > changed_at) since_change += passed;
      const bool holds_both = step >= changed_at && since_change < kOptions.window;
      const TenantLimits limits = holds_both ? greaterOf(first, second) : step < changed_at ? first : second;
      owner.retryDue();
      const int arrivals = *rc::gen::inRange(0, 8);
      for (int index = 0; index < arrivals; ++index) owner.arriveFresh();
      if (*rc::gen::inRange(0, 20) == 0) owner.takeAhead(*rc::gen::inRange(0, 20));
      RC_ASSERT(static_cast<double>(owner.inWindow()) <= allowed(limits));
    }
  });
  REQUIRE(holds);
}

TEST_CASE("a reserved credit is available when its caller retries, whatever others take",
          "[admission][returns][property]") {
  const bool holds = hatchfork::testing::holds([] {
    TenantLimits limits = drawLimits();
    limits.online_requests_per_second += 5;
    limits.online_burst = limits.online_requests_per_second;
    LoadedOwner owner(limits);
    for (int step = 0; step < 1200; ++step) {
      owner.advance(fromMillis(*rc::gen::inRange(1, 12)));
      owner.retryDue();
      const int arrivals = *rc::gen::inRange(0, 8);
      for (int index = 0; index < arrivals; ++index) owner.arriveFresh();
      if (*rc::gen::inRange(0, 20) == 0) owner.takeAhead(*rc::gen::inRange(0, 20));
      RC_ASSERT_FALSE(owner.brokeReservation());
    }
  });
  REQUIRE(holds);
}
