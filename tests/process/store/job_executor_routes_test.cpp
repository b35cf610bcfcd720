#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "connection/asio.hpp"
#include "executor_fixture.hpp"
#include "process/store/job_executor.hpp"

// What a leader decides on items whose route it does not know, or knows from an outdated view.
using namespace hatchfork;
using namespace hatchfork::store;

namespace {

constexpr Duration kProofInterval = fromMillis(300);
constexpr int kRetentionS = 60;
constexpr std::int64_t kPastRetentionMs = 70000;

std::string routeOf(const std::string& prefix, int most_attempts, int retention_s) {
  return fmt::format(R"({{"Name":"r{0}","Host":"a.example","PathPrefix":"/{0}/","Type":"batch","TimeoutMs":1000,
      "TargetLatencyMs":100,"CompletionTargetMs":10000,"RetentionS":{1},"Priority":1,"Service":"s","MaxAttempts":{2}}})",
                     prefix, retention_s, most_attempts);
}

/// A configuration with one route for each prefix.
std::string documentOf(int version, const std::vector<std::string>& prefixes, int most_attempts = 3,
                       int retention_s = kRetentionS) {
  std::string routes;
  for (const std::string& prefix : prefixes) {
    routes += (routes.empty() ? "" : ",") + routeOf(prefix, most_attempts, retention_s);
  }
  return fmt::format(R"({{"Version":{},"Routes":[{}],
      "Services":[{{"Name":"s","HealthPath":"/h","MaxConnections":10,"Protocol":"h1","Tls":false}}],
      "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}})",
                     version, routes);
}

JobSubmission jobOn(const std::string& prefix, const std::string& id, std::uint64_t configuration_version) {
  JobSubmission job;
  job.id = JobId(id);
  job.host = "a.example";
  job.path = "/" + prefix + "/";
  job.submitted_at = connection::wallNow();
  job.configuration_version = configuration_version;
  job.items.push_back(OpaqueItem{id + "-item", "/" + prefix + "/1", {}, "body", 10});
  return job;
}

/// A leader over some time, which the test moves on.
class LeaderFixture : public ExecutorFixture {
 public:
  explicit LeaderFixture(const std::string& document, std::int64_t age_ms = 0, std::size_t more_items = 0,
                         Duration start_delay = Duration::zero())
      : ExecutorFixture(start_delay, more_items, {}, age_ms, document) {}

  /// Lets time pass while the control processes prove the view.
  void passProved(Duration time) { pass(time, true); }
  /// Lets time pass while no control process can be reached.
  void passUnproved(Duration time) { pass(time, false); }
  void submit(JobSubmission job) {
    const JobId id = job.id;
    apply(SubmitJob{std::move(job)});
    executor().noteChange(id);
  }
  /// Applies all proposals.
  void settle() {
    while (proposals() > 0) endProposal(true);
  }
  bool isGivenUp() {
    settle();
    return !job().results.empty();
  }
  /// Ends the last run with a failure of its item.
  void failLastRun() {
    RunNews news;
    news.number = lastOrder().number;
    news.sequence = 1;
    news.ended = true;
    news.end = fleet::RunEnd::kFailed;
    executor().take(RunReport{kSelf, executor().term(), {news}, {}});
    settle();
  }
  Instant now() const { return now_; }

 private:
  void pass(Duration time, bool is_proved) {
    for (const Instant end = now_ + time; now_ < end; now_ += kProofInterval) {
      if (is_proved) prove(now_);
      executor().tick(now_);
    }
  }

  Instant now_ = connection::monotonicNow();
};

}  // namespace

// Guards against accepted items that a store lists as errored because it has just started and knows no configuration.
TEST_CASE("a leader that knows no configuration gives up no item, and runs it once it does",
          "[store][executor][routes]") {
  LeaderFixture fixture("");
  fixture.executor().setLeading(true, 1);
  fixture.passUnproved(std::chrono::seconds(30));
  REQUIRE_FALSE(fixture.isGivenUp());
  REQUIRE(fixture.orders() == 0);
  fixture.takeDocument(fixture.now(), documentOf(1, {"x"}));
  REQUIRE(fixture.orders() == 1);
}

// Guards against items given up by a leader that has not heard yet of the configuration that added their route.
TEST_CASE("a job that was accepted under a newer configuration than the leader's waits for that configuration",
          "[store][executor][routes]") {
  LeaderFixture fixture(documentOf(1, {"x"}));
  fixture.executor().setLeading(true, 1);
  fixture.report(1, 1, "text", 1, /*whole=*/true);
  fixture.submit(jobOn("new", "k", /*configuration_version=*/2));
  fixture.passProved(std::chrono::seconds(30));
  fixture.settle();
  REQUIRE(fixture.executor().counters().errored == 0);
  REQUIRE(fixture.orders() == 1);
  fixture.takeDocument(fixture.now(), documentOf(2, {"x", "new"}));
  REQUIRE(fixture.orders() == 2);
  REQUIRE(fixture.lastOrder().job == JobId("k"));
}

// Guards against items given up because of what an outdated view says of their route.
TEST_CASE("no item is given up by a view that is not proved to be the newest", "[store][executor][routes]") {
  SECTION("its route is missing") {
    LeaderFixture fixture(documentOf(1, {"other"}));
    fixture.executor().setLeading(true, 1);
    fixture.passUnproved(std::chrono::seconds(30));
    REQUIRE_FALSE(fixture.isGivenUp());
    fixture.takeDocument(fixture.now(), documentOf(2, {"x"}));
    REQUIRE(fixture.orders() == 1);
  }
  SECTION("its retention has passed, which a newer configuration may have raised") {
    LeaderFixture fixture("", kPastRetentionMs);
    fixture.executor().setLeading(true, 1);
    fixture.takeDocument(fixture.now() - std::chrono::seconds(5), documentOf(2, {"x"}));
    fixture.failLastRun();
    fixture.passUnproved(std::chrono::seconds(10));
    REQUIRE_FALSE(fixture.isGivenUp());
    fixture.takeDocument(fixture.now(), documentOf(3, {"x"}, 3, 2 * kRetentionS));
    fixture.passProved(std::chrono::seconds(10));
    REQUIRE_FALSE(fixture.isGivenUp());
  }
}

TEST_CASE("an item whose retention has passed is given up once the view is proved", "[store][executor][routes]") {
  LeaderFixture fixture(documentOf(1, {"other"}), kPastRetentionMs);
  fixture.executor().setLeading(true, 1);
  fixture.takeDocument(fixture.now(), documentOf(2, {"x"}));
  fixture.failLastRun();
  fixture.passProved(std::chrono::seconds(2));
  REQUIRE(fixture.isGivenUp());
  REQUIRE(fixture.job().results.front().outcome == ItemOutcome::kErrored);
}

TEST_CASE("the items of a removed route are given up once its removal has been proved for a while",
          "[store][executor][routes]") {
  LeaderFixture fixture(documentOf(2, {"other"}));
  fixture.executor().setLeading(true, 1);
  SECTION("proved all the time") {
    fixture.passProved(std::chrono::seconds(3));
    REQUIRE_FALSE(fixture.isGivenUp());
    fixture.passProved(std::chrono::seconds(5));
    REQUIRE(fixture.isGivenUp());
    REQUIRE(fixture.job().results.front().outcome == ItemOutcome::kErrored);
  }
  SECTION("the time begins anew after a while without proofs") {
    fixture.passProved(std::chrono::seconds(3));
    fixture.passUnproved(std::chrono::seconds(3));
    fixture.passProved(std::chrono::seconds(3));
    REQUIRE_FALSE(fixture.isGivenUp());
    fixture.passProved(std::chrono::seconds(5));
    REQUIRE(fixture.isGivenUp());
  }
  SECTION("the time begins anew with each leadership") {
    fixture.passProved(std::chrono::seconds(3));
    fixture.executor().setLeading(false, 2);
    fixture.passProved(std::chrono::seconds(3));
    fixture.executor().setLeading(true, 3);
    fixture.passProved(std::chrono::seconds(2));
    REQUIRE_FALSE(fixture.isGivenUp());
  }
  SECTION("a route that comes back keeps its items") {
    fixture.passProved(std::chrono::seconds(3));
    fixture.takeDocument(fixture.now(), documentOf(3, {"x"}));
    REQUIRE(fixture.orders() == 1);
    fixture.passProved(std::chrono::seconds(10));
    REQUIRE_FALSE(fixture.isGivenUp());
  }
}

// Guards against urgent items that run last because their leader took them up before it knew their due times.
TEST_CASE("items that a leader took up before its first configuration run in the order of their due times",
          "[store][executor][routes]") {
  LeaderFixture fixture("");
  JobSubmission urgent = jobOn("x", "z", 1);
  urgent.submitted_at -= 5000;
  fixture.apply(SubmitJob{urgent});
  fixture.executor().setLeading(true, 1);
  fixture.takeDocument(fixture.now(), documentOf(1, {"x"}));
  REQUIRE(fixture.orders() == 1);
  REQUIRE(fixture.lastOrder().job == JobId("z"));
}

// Guards against items of a route that is gone which keep all later items from running.
TEST_CASE("items without a route hold up no others", "[store][executor][routes]") {
  constexpr std::size_t kMoreItems = 200;
  constexpr Duration kStartDelay = fromMillis(40);
  LeaderFixture fixture(documentOf(1, {"x", "other"}), 0, kMoreItems, kStartDelay);
  fixture.executor().setLeading(true, 1);
  fixture.submit(jobOn("other", "k", 1));
  fixture.takeDocument(fixture.now(), documentOf(2, {"other"}));
  ExecutorFixture::waitUntil(connection::monotonicNow() + kStartDelay + fromMillis(5));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.orders() == 1);
  REQUIRE(fixture.lastOrder().job == JobId("k"));
  REQUIRE(fixture.executor().waiting() == kMoreItems + 1);
  fixture.takeDocument(fixture.now(), documentOf(3, {"x", "other"}));
  fixture.report(1, 1, "text", 1, /*whole=*/true);
  REQUIRE(fixture.orders() == 2);
  REQUIRE(fixture.lastOrder().job == JobId("j"));
}

namespace {

constexpr Duration kLongerThanRetryDelay = fromMillis(200);

SaveProgress failuresOf(const std::string& item, std::uint32_t failures) {
  ItemProgress progress;
  progress.job = JobId("j");
  progress.item = item;
  progress.failures = failures;
  return SaveProgress{{progress}};
}

}  // namespace

// Guards against items listed as errored although a newer configuration allows them more attempts.
TEST_CASE("an item whose attempts are used up by an outdated view is neither run nor given up by it",
          "[store][executor][routes]") {
  LeaderFixture fixture("");
  fixture.executor().setLeading(true, 1);
  fixture.takeDocument(fixture.now() - std::chrono::seconds(5), documentOf(1, {"x"}, /*most_attempts=*/1));
  REQUIRE(fixture.orders() == 1);
  fixture.failLastRun();
  ExecutorFixture::waitUntil(connection::monotonicNow() + kLongerThanRetryDelay);
  fixture.passUnproved(std::chrono::seconds(10));
  REQUIRE_FALSE(fixture.isGivenUp());
  REQUIRE(fixture.orders() == 1);
  SECTION("a newer configuration allows more") {
    fixture.takeDocument(fixture.now(), documentOf(2, {"x"}, /*most_attempts=*/3));
    REQUIRE(fixture.orders() == 2);
    fixture.passProved(std::chrono::seconds(5));
    REQUIRE_FALSE(fixture.isGivenUp());
  }
  SECTION("the view is proved to be the newest") {
    fixture.passProved(std::chrono::seconds(5));
    REQUIRE(fixture.isGivenUp());
    REQUIRE(fixture.job().results.front().outcome == ItemOutcome::kErrored);
    REQUIRE(fixture.orders() == 1);
  }
}

// Guards against a further run of an item by each leader that is lost between its last failure and its result.
TEST_CASE("a new leader gives up an item whose attempts are used up without running it again",
          "[store][executor][routes]") {
  LeaderFixture fixture(documentOf(1, {"x"}));
  fixture.apply(failuresOf("i", 3));
  fixture.executor().setLeading(true, 1);
  fixture.passProved(std::chrono::seconds(5));
  REQUIRE(fixture.orders() == 0);
  REQUIRE(fixture.isGivenUp());
}
