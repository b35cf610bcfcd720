#include "request/admission/retry_schedule.hpp"

#include <catch2/catch.hpp>

#include "process/fleet/limit_messages.hpp"
#include "request/admission/credit_request.hpp"
#include "request/limits/rate_limit_owner.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr double kRate = 100;
constexpr double kCapacity = 100;

Instant at(std::int64_t milliseconds) {
  return Instant(std::chrono::seconds(100) + fromMillis(milliseconds));
}

CreditRequestEntry askFor(std::uint64_t content) {
  return {content, 0, fromMillis(150), fromMillis(2500), fromMillis(1600)};
}

/// Records fresh requests at `rate` per second until `until` milliseconds.
void loadFresh(RetrySchedule& schedule, double rate, std::int64_t until) {
  for (std::int64_t time = 0; time < until; time += 10) schedule.noteArrivals(at(time), rate / 100);
}

TenantLimits limitOf(double rate, double burst) {
  TenantLimits limits;
  limits.online_requests_per_second = rate;
  limits.online_burst = burst;
  return limits;
}

RateLimitOptions withAppointments() {
  RateLimitOptions options;
  options.appointments = true;
  return options;
}

CreditRequest questionOf(std::vector<CreditRequestEntry> asks) {
  CreditRequest question{static_cast<double>(asks.size())};
  question.arrivals = static_cast<double>(asks.size());
  question.asks = std::move(asks);
  return question;
}

}  // namespace

TEST_CASE("a refused caller finds the credit reserved for it", "[admission][returns]") {
  RetrySchedule schedule;
  loadFresh(schedule, 1000, 1000);
  const CreditDecision sent = schedule.judge(at(1000), askFor(1), kRate, kCapacity, 0);
  REQUIRE(sent.outcome == CreditOutcome::kRetryReserved);
  REQUIRE(sent.after <= fromMillis(1600));
  const Instant due = at(1000) + sent.after;
  // From the due time on, no other request may use the reserved credit.
  REQUIRE(schedule.kept(due, kRate, kCapacity) == 1);
  REQUIRE(schedule.judge(due, askFor(2), kRate, kCapacity, 1).outcome != CreditOutcome::kGranted);
  REQUIRE(schedule.judge(due, askFor(1), kRate, kCapacity, 1).outcome == CreditOutcome::kGranted);
  REQUIRE(schedule.kept(due, kRate, kCapacity) == 0);
  REQUIRE(schedule.counters().used == 1);
}

TEST_CASE("a reservation is used once", "[admission][returns]") {
  RetrySchedule schedule;
  loadFresh(schedule, 1000, 1000);
  const CreditDecision sent = schedule.judge(at(1000), askFor(1), kRate, kCapacity, 0);
  const Instant due = at(1000) + sent.after;
  REQUIRE(schedule.judge(due, askFor(1), kRate, kCapacity, 1).outcome == CreditOutcome::kGranted);
  REQUIRE(schedule.judge(due, askFor(1), kRate, kCapacity, 0).outcome != CreditOutcome::kGranted);
}

TEST_CASE("the credit of an expired reservation becomes available to others", "[admission][returns]") {
  RetrySchedule schedule;
  loadFresh(schedule, 1000, 1000);
  const CreditDecision sent = schedule.judge(at(1000), askFor(1), kRate, kCapacity, 0);
  const Instant later = at(1000) + sent.after + RetryScheduleLimits{}.kept_for + fromMillis(1);
  REQUIRE(schedule.kept(later, kRate, kCapacity) == 0);
  REQUIRE(schedule.counters().lapsed == 1);
  REQUIRE(schedule.judge(later, askFor(2), kRate, kCapacity, 1).outcome == CreditOutcome::kGranted);
}

TEST_CASE("a caller that is early waits for its due time and keeps its reservation", "[admission][returns]") {
  RetrySchedule schedule;
  loadFresh(schedule, 1000, 1000);
  CreditDecision sent;
  for (std::uint64_t content = 1; content < 6; ++content) {
    sent = schedule.judge(at(1000), askFor(content), kRate, kCapacity, 0);
  }
  REQUIRE(sent.outcome == CreditOutcome::kRetryReserved);
  const Instant due = at(1000) + sent.after;
  const CreditDecision early = schedule.judge(due - fromMillis(200), askFor(5), kRate, kCapacity, 5);
  REQUIRE(early.outcome == CreditOutcome::kWait);
  REQUIRE(early.after == fromMillis(200));
  REQUIRE(schedule.judge(due, askFor(5), kRate, kCapacity, 5).outcome == CreditOutcome::kGranted);
}

TEST_CASE(
    "while fresh requests use the whole limit, refused callers get the latest time they can use, and only a floor is "
    "reserved",
    "[admission][returns]") {
  RetrySchedule schedule;
  loadFresh(schedule, 1000, 1000);
  int promised = 0;
  int unkept = 0;
  for (std::uint64_t content = 1; content <= 100; ++content) {
    const CreditDecision reply = schedule.judge(at(1000), askFor(content), kRate, kCapacity, 0);
    if (reply.outcome == CreditOutcome::kRetryReserved) ++promised;
    if (reply.outcome != CreditOutcome::kRetryUnreserved) continue;
    ++unkept;
    REQUIRE(reply.after == fromMillis(1600));
  }
  // Reservations get 5 % (`floor_share`) of the limit of 100 requests per second: 8 in 1.6 s.
  REQUIRE(promised == 8);
  REQUIRE(unkept == 92);
}

TEST_CASE("a retried request takes nothing from fresh requests, and is refused at once", "[admission][returns]") {
  RetrySchedule schedule;
  loadFresh(schedule, 1000, 1000);
  for (std::uint64_t content = 1; content <= 20; ++content)
    schedule.judge(at(1000), askFor(content), kRate, kCapacity, 0);
  for (std::int64_t time = 1000; time < 2600; time += 10) schedule.noteArrivals(at(time), 10);
  REQUIRE(schedule.judge(at(2600), askFor(20), kRate, kCapacity, 9).outcome == CreditOutcome::kRefused);
  REQUIRE(schedule.counters().refused_again == 1);
}

TEST_CASE("after the surge retries are served, and retries without a credit wait in order for a late answer",
          "[admission][returns]") {
  RetrySchedule schedule;
  loadFresh(schedule, 1000, 1000);
  for (std::uint64_t content = 1; content <= 20; ++content)
    schedule.judge(at(1000), askFor(content), kRate, kCapacity, 0);
  REQUIRE(schedule.judge(at(2600), askFor(18), kRate, kCapacity, 9).outcome == CreditOutcome::kGranted);
  const CreditDecision first = schedule.judge(at(2600), askFor(19), kRate, kCapacity, 0);
  const CreditDecision second = schedule.judge(at(2600), askFor(20), kRate, kCapacity, 0);
  REQUIRE(first.outcome == CreditOutcome::kWait);
  REQUIRE(second.outcome == CreditOutcome::kWait);
  REQUIRE(second.after > first.after);
  REQUIRE(schedule.judge(at(2600) + first.after, askFor(19), kRate, kCapacity, 3).outcome == CreditOutcome::kGranted);
}

TEST_CASE("a lowered limit postpones a reservation, and is not exceeded", "[admission][returns]") {
  RetrySchedule schedule;
  loadFresh(schedule, 1000, 1000);
  const CreditDecision sent = schedule.judge(at(1000), askFor(1), kRate, kCapacity, 0);
  const Instant due = at(1000) + sent.after;
  const CreditDecision moved = schedule.judge(due, askFor(1), 2, 2, 0.5);
  REQUIRE(moved.outcome == CreditOutcome::kWait);
  REQUIRE(moved.after == fromMillis(250));
}

TEST_CASE("the number of remembered callers is bounded", "[admission][returns]") {
  RetryScheduleLimits limits;
  limits.max_expected = 50;
  RetrySchedule schedule(limits);
  loadFresh(schedule, 1000, 1000);
  for (std::uint64_t content = 1; content <= 500; ++content)
    schedule.judge(at(1000), askFor(content), kRate, kCapacity, 0);
  REQUIRE(schedule.expected() == 50);
}

TEST_CASE("an owner that has just taken over reserves no more than the floor", "[admission][returns]") {
  RateLimitOwner owner(withAppointments());
  const TenantId crew("crew");
  owner.noteTakeover(at(0));
  std::vector<CreditRequestEntry> asks;
  for (std::uint64_t content = 1; content <= 60; ++content) asks.push_back(askFor(content));
  const CreditResponse answer = owner.answer(at(10), crew, limitOf(kRate, kRate), questionOf(asks));
  int granted = 0;
  int promised = 0;
  for (const CreditDecision& reply : answer.replies) {
    if (reply.outcome == CreditOutcome::kGranted) ++granted;
    if (reply.outcome == CreditOutcome::kRetryReserved || reply.outcome == CreditOutcome::kWait) ++promised;
  }
  // The initial credits of a fifth of a second, and reservations for a twentieth of the limit over 1.6 s.
  REQUIRE(granted == 20);
  REQUIRE(promised == 8);
}

TEST_CASE("a gateway of an earlier release takes no credit reserved for others", "[admission][returns]") {
  RateLimitOwner owner(withAppointments());
  const TenantId crew("crew");
  const TenantLimits limits = limitOf(kRate, 10);
  owner.answer(at(0), crew, limits, CreditRequest{10});
  std::vector<CreditRequestEntry> asks;
  for (std::uint64_t content = 1; content <= 5; ++content) asks.push_back(askFor(content));
  const CreditResponse current = owner.answer(at(0), crew, limits, questionOf(asks));
  REQUIRE(current.replies.size() == 5);
  REQUIRE(owner.promised() == 5);
  const CreditResponse earlier = owner.answer(at(200), crew, limits, CreditRequest{100});
  REQUIRE(earlier.granted >= 4);
  REQUIRE(earlier.granted <= 9);
}

TEST_CASE("questions and answers are readable by both releases", "[admission][returns][frames]") {
  fleet::CreditQuestionFrame question{TenantId("crew"), questionOf({askFor(0xfedcba9876543210ULL)})};
  const nlohmann::json sent = question;
  REQUIRE(sent.get<fleet::CreditQuestionFrame>().question.asks == question.question.asks);
  REQUIRE(sent.get<fleet::CreditQuestionFrame>().question.arrivals == 1);
  // An earlier release sends, and reads of the current frame, only the first fields.
  const nlohmann::json old_question = nlohmann::json::parse(R"(["crew",3.0])");
  REQUIRE(old_question.get<fleet::CreditQuestionFrame>().question.asks.empty());
  REQUIRE(sent.at(0) == "crew");
  REQUIRE(sent.at(1) == 1.0);

  fleet::CreditAnswerFrame answer{TenantId("crew"), true, {}};
  answer.answer.granted = 2;
  answer.answer.wait = fromMillis(7);
  answer.answer.supports_scheduled_retries = true;
  answer.answer.is_scarce = true;
  answer.answer.replies = {{0xfedcba9876543210ULL, CreditOutcome::kRetryReserved, fromMillis(900)}};
  const nlohmann::json sent_answer = answer;
  const auto read = sent_answer.get<fleet::CreditAnswerFrame>();
  REQUIRE(read.answer.supports_scheduled_retries);
  REQUIRE(read.answer.is_scarce);
  REQUIRE(read.answer.replies == answer.answer.replies);
  REQUIRE(sent_answer.at(5) == 7000);
  const nlohmann::json old_answer = nlohmann::json::parse(R"(["crew",true,2.0,40.0,0.5,7000])");
  REQUIRE_FALSE(old_answer.get<fleet::CreditAnswerFrame>().answer.supports_scheduled_retries);
  const nlohmann::json newer_answer =
      nlohmann::json::parse(R"(["crew",true,2.0,40.0,0.5,7000,true,[[5,9,1000]],"more"])");
  REQUIRE(newer_answer.get<fleet::CreditAnswerFrame>().answer.replies.at(0).outcome == CreditOutcome::kRefused);
}

TEST_CASE("no request gets a retry time that it cannot use", "[admission][returns]") {
  const CreditRequestEntry fresh = creditRequestFor(fromMillis(300), fromMillis(5000), fromMillis(5000));
  REQUIRE(fresh.max_timely_wait == fromMillis(150));
  REQUIRE(fresh.max_useful_wait == fromMillis(2500));
  REQUIRE(fresh.away < fromMillis(1667));
  REQUIRE(fresh.away > fromMillis(1600));
  const CreditRequestEntry hurried = creditRequestFor(fromMillis(300), fromMillis(100), fromMillis(100));
  REQUIRE(hurried.max_timely_wait <= fromMillis(50));
  const CreditRequestEntry over = creditRequestFor(fromMillis(300), fromMillis(-5), fromMillis(-5));
  REQUIRE(over.away == Duration::zero());
}

TEST_CASE("equal contents have equal hashes, and each part matters", "[admission][returns]") {
  const RequestContent content{"crew", "POST", "a.example", "/x/1", "body"};
  RequestContent other = content;
  REQUIRE(contentHash(content) == contentHash(other));
  other.body = "bodz";
  REQUIRE(contentHash(content) != contentHash(other));
  // The boundaries between parts matter as well.
  other = content;
  other.host = "a.example/";
  other.target = "x/1";
  REQUIRE(contentHash(content) != contentHash(other));
}
