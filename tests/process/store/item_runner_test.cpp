#include "process/store/item_runner.hpp"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "platform/platform_dialect.hpp"
#include "tests/connection/scripted_engine.hpp"

using namespace hatchfork;
using namespace hatchfork::store;
using connection::monotonicNow;
using fleet::RunEnd;
using fleet::RunLease;
using fleet::RunNews;
using fleet::RunOrder;
using fleet::RunReport;

namespace {

const ReplicaId kSelf("10.0.0.2");
const ReplicaId kLeader("10.0.0.1");

std::string chunk(const std::string& text) {
  return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

/// A stream of events 3 and 4; without its end the engine stays silent after them.
std::string eventStream(bool whole) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: item\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n" +
         chunk("id: 3\ndata: three\n\n") + chunk("id: 4\ndata: four\n\n") + (whole ? "0\r\n\r\n" : "");
}

/// A runner that gets its orders from the test, and the reports that it sent.
class RunnerFixture {
 public:
  explicit RunnerFixture(const std::string& answer)
      : engine_(context_, answer),
        dialect_(platform::makePlatformDialect()),
        runner_(context_, *dialect_, kSelf, [this](const ReplicaId& to, const fleet::FleetMessage& message) {
          if (const auto* report = std::get_if<RunReport>(&message)) reports_.push_back(*report);
          if (const auto* offer = std::get_if<fleet::RunOffer>(&message)) offers_.emplace_back(to, *offer);
          if (const auto* sent = std::get_if<fleet::RunSummaries>(&message)) summaries_.push_back(*sent);
          if (const auto* sent = std::get_if<fleet::RunTexts>(&message)) texts_.push_back(*sent);
        }) {}

  void order(std::uint64_t term, std::uint64_t number, std::uint64_t last_event, std::uint64_t saved_event = 0,
             std::int64_t report_stamp = fleet::kUnstamped) {
    RunOrder made;
    made.from = kLeader;
    made.term = term;
    made.number = number;
    made.item = OpaqueItem{"item", "/x/1", {}, "body", 10};
    made.host = "a.example";
    made.engine = EngineId("e");
    made.engine_build = EngineBuild("v1");
    made.engine_address = fmt::format("127.0.0.1:{}", engine_.port());
    made.last_event = last_event;
    made.has_text = last_event > 0;
    made.text = last_event > 0 ? "before" : "";
    made.chain = 5;
    made.saved_event = saved_event;
    made.saved_chain = saved_event > 0 ? 4 : 0;
    made.report_stamp = report_stamp;
    runner_.take(std::move(made));
  }
  ItemRunner& runner() { return runner_; }
  const std::vector<std::pair<ReplicaId, fleet::RunOffer>>& offers() const { return offers_; }
  const std::vector<RunReport>& reports() const { return reports_; }
  const std::vector<fleet::RunSummaries>& summaries() const { return summaries_; }
  const std::vector<fleet::RunTexts>& texts() const { return texts_; }
  const connection::ScriptedEngine& engine() const { return engine_; }

  /// Handles events until `count` news were reported, or for five seconds.
  void waitForNews(std::size_t count) {
    const Instant give_up = monotonicNow() + std::chrono::seconds(5);
    while (news().size() < count && monotonicNow() < give_up) run(fromMillis(20));
  }
  void run(Duration time) {
    context_.restart();
    context_.run_for(time);
  }
  std::vector<RunNews> news() const {
    std::vector<RunNews> all;
    for (const RunReport& report : reports_) all.insert(all.end(), report.news.begin(), report.news.end());
    return all;
  }

 private:
  connection::asio::io_context context_;
  connection::ScriptedEngine engine_;
  std::unique_ptr<const Dialect> dialect_;
  std::vector<RunReport> reports_;
  std::vector<std::pair<ReplicaId, fleet::RunOffer>> offers_;
  std::vector<fleet::RunSummaries> summaries_;
  std::vector<fleet::RunTexts> texts_;
  ItemRunner runner_;
};

}  // namespace

TEST_CASE("a run reports its text and its end, and requests the events after the given one", "[store][runner]") {
  RunnerFixture fixture(eventStream(/*whole=*/true));
  fixture.order(1, 7, /*last_event=*/2);
  fixture.waitForNews(1);
  std::string text;
  for (const RunNews& news : fixture.news()) text += news.text;
  REQUIRE(text == "\nthree\nfour");
  const RunNews last = fixture.news().back();
  REQUIRE(last.ended);
  REQUIRE(last.end == RunEnd::kWhole);
  REQUIRE(last.last_event == 4);
  REQUIRE(last.number == 7);
  REQUIRE(fixture.engine().requests().front()->find("Last-Event-Id: 2\r\n") != std::string::npos);
  REQUIRE(fixture.runner().running() == 0);
}

namespace {

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: item\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kStreamEnd = "0\r\n\r\n";

std::string textOf(const RunnerFixture& fixture) {
  std::string text;
  for (const RunNews& news : fixture.news()) text += news.text;
  return text;
}

}  // namespace

TEST_CASE("a run fails if events are missing, or if the position of an event in the text is unknown",
          "[store][runner]") {
  const std::string three = chunk("id: 3\ndata: three\n\n");
  const bool is_gap = GENERATE(true, false);
  const std::string events = is_gap ? three + chunk("id: 5\ndata: five\n\n") : chunk("data: somewhere\n\n") + three;
  RunnerFixture fixture(kStreamHead + events + kStreamEnd);
  fixture.order(1, 7, /*last_event=*/2);
  while (fixture.news().empty() || !fixture.news().back().ended) fixture.run(fromMillis(20));
  REQUIRE(fixture.news().back().end == RunEnd::kBroken);
  REQUIRE(fixture.news().back().last_event == (is_gap ? 3 : 2));
  REQUIRE(textOf(fixture) == (is_gap ? "\nthree" : ""));
}

TEST_CASE("an end mark without an identifier is part of the text, after which no run can resume", "[store][runner]") {
  RunnerFixture fixture(kStreamHead + chunk("id: 3\ndata: three\n\n") + chunk("data: [DONE]\n\n") + kStreamEnd);
  fixture.order(1, 7, /*last_event=*/2);
  while (fixture.news().empty() || !fixture.news().back().ended) fixture.run(fromMillis(20));
  REQUIRE(fixture.news().back().end == RunEnd::kWhole);
  REQUIRE(fixture.news().back().last_event == 0);
  REQUIRE(textOf(fixture) == "\nthree\n[DONE]");
}

TEST_CASE("a run ends when its lease expires without a heartbeat of a leader, or when it is stopped",
          "[store][runner]") {
  RunnerFixture fixture(eventStream(/*whole=*/false));
  fixture.order(1, 7, 0);
  fixture.waitForNews(1);
  REQUIRE(fixture.news().front().text == "three\nfour");
  REQUIRE(fixture.runner().running() == 1);
  SECTION("silent") {
    fixture.runner().tick(monotonicNow() + fromMillis(2000));
    REQUIRE(fixture.runner().running() == 1);
    fixture.runner().tick(monotonicNow() + fromMillis(3000));
    REQUIRE(fixture.runner().running() == 0);
  }
  SECTION("stopped") {
    fixture.runner().take(RunLease{kLeader, 1, {7}});
    REQUIRE(fixture.runner().running() == 0);
  }
  SECTION("stopped by the next leader") {
    fixture.runner().take(RunLease{ReplicaId("10.0.0.3"), 2, {7}});
    REQUIRE(fixture.runner().running() == 0);
    // Orders of the previous leader are ignored.
    fixture.order(1, 8, 0);
    REQUIRE(fixture.runner().running() == 0);
  }
  fixture.run(fromMillis(50));
  const std::size_t reported = fixture.news().size();
  fixture.run(fromMillis(50));
  REQUIRE(fixture.news().size() == reported);
}

TEST_CASE("a planned shutdown returns the runs with all events that were received", "[store][runner]") {
  RunnerFixture fixture(eventStream(/*whole=*/false));
  fixture.order(1, 7, 0);
  fixture.waitForNews(1);
  fixture.runner().abortAll();
  REQUIRE(fixture.news().back().ended);
  REQUIRE(fixture.news().back().end == RunEnd::kBroken);
  REQUIRE(fixture.news().back().last_event == 4);
  REQUIRE(fixture.news().back().sequence == fixture.news().size());
}

TEST_CASE("a change of leader aborts no run: the run continues and is offered with its whole text", "[store][runner]") {
  RunnerFixture fixture(eventStream(/*whole=*/false));
  fixture.order(1, 7, /*last_event=*/2);
  fixture.waitForNews(1);
  const ReplicaId next("10.0.0.3");
  fixture.runner().take(RunLease{next, 2, {}});
  REQUIRE(fixture.runner().running() == 1);
  REQUIRE(fixture.offers().size() == 1);
  const auto& [to, offer] = fixture.offers().front();
  REQUIRE(to == next);
  REQUIRE(offer.term == 2);
  REQUIRE(offer.runs.size() == 1);
  const fleet::OfferedRun& run = offer.runs.front();
  REQUIRE(run.number == 7);
  REQUIRE(run.text == "before\nthree\nfour");
  REQUIRE(run.last_event == 4);
  REQUIRE(run.chain == 5);
  REQUIRE(run.sequence == fixture.news().size());
  REQUIRE_FALSE(run.ended);
  // None of its text is reported a second time, and the previous leader can no longer stop it.
  fixture.runner().take(RunLease{kLeader, 1, {7}});
  REQUIRE(fixture.runner().running() == 1);
}

TEST_CASE("an answer that counts against its item is reported until a leader confirms that it is stored",
          "[store][runner]") {
  const auto [answer, end] = GENERATE(std::pair<std::string, RunEnd>("500 Failed", RunEnd::kFailed),
                                      std::pair<std::string, RunEnd>("422 Impossible", RunEnd::kImpossible));
  RunnerFixture fixture("HTTP/1.1 " + answer + "\r\nX-Attempt-Id: item\r\nContent-Length: 0\r\n\r\n");
  fixture.order(1, 7, /*last_event=*/0);
  fixture.waitForNews(1);
  REQUIRE(fixture.runner().unconfirmedAnswers() == 1);
  // The answer is retained while the leader is silent and across a change of leader.
  fixture.runner().tick(monotonicNow() + fromMillis(9000));
  const std::size_t before = fixture.reports().size();
  fixture.runner().take(RunLease{ReplicaId("10.0.0.3"), 2, {}, {}});
  REQUIRE(fixture.reports().size() == before + 1);
  REQUIRE(fixture.reports().back().answers.size() == 1);
  fixture.runner().tick(monotonicNow() + fromMillis(9300));
  REQUIRE(fixture.reports().size() == before + 2);
  const RunReport& reported = fixture.reports().back();
  REQUIRE(reported.term == 2);
  REQUIRE(reported.answers.size() == 1);
  REQUIRE(reported.answers.front().number == 7);
  REQUIRE(reported.answers.front().item == "item");
  REQUIRE(reported.answers.front().end == end);
  fixture.runner().take(RunLease{ReplicaId("10.0.0.3"), 2, {}, {7}});
  REQUIRE(fixture.runner().unconfirmedAnswers() == 0);
  fixture.runner().tick(monotonicNow() + fromMillis(9600));
  REQUIRE(fixture.reports().size() == before + 2);
}

TEST_CASE("a new leader gets empty reports from a store that has nothing to report", "[store][runner]") {
  RunnerFixture fixture("HTTP/1.1 200 OK\r\n\r\n");
  fixture.runner().take(RunLease{kLeader, 1, {}, {}});
  REQUIRE(fixture.reports().size() == 1);
  REQUIRE(fixture.reports().back().term == 1);
  fixture.runner().tick(monotonicNow() + fromMillis(300));
  REQUIRE(fixture.reports().size() == 2);
  fixture.runner().tick(monotonicNow() + fromMillis(2000));
  REQUIRE(fixture.reports().size() == 2);
  REQUIRE(fixture.offers().empty());
}

TEST_CASE("a run that ended recently is offered too, since its leader may not have listed it", "[store][runner]") {
  RunnerFixture fixture(eventStream(/*whole=*/true));
  fixture.order(1, 7, /*last_event=*/0);
  fixture.waitForNews(1);
  REQUIRE(fixture.runner().running() == 0);
  fixture.runner().take(RunLease{ReplicaId("10.0.0.3"), 2, {}});
  REQUIRE(fixture.offers().size() == 1);
  const fleet::OfferedRun& run = fixture.offers().front().second.runs.front();
  REQUIRE(run.ended);
  REQUIRE(run.end == RunEnd::kWhole);
  REQUIRE(run.text == "three\nfour");
  REQUIRE(run.build == EngineBuild("v1"));
  fixture.runner().tick(monotonicNow() + fromMillis(9000));
  fixture.runner().take(RunLease{ReplicaId("10.0.0.4"), 3, {}});
  REQUIRE(fixture.offers().size() == 1);
}

namespace {

/// A lease of a leader that reads summaries.
RunLease summaryLease(std::uint64_t term) {
  RunLease lease;
  lease.from = ReplicaId("10.0.0.3");
  lease.term = term;
  lease.reads_summaries = true;
  return lease;
}

}  // namespace

TEST_CASE("a leader that reads summaries gets the text of a run when it asks, and only news from then on",
          "[store][runner][takeover]") {
  RunnerFixture fixture(eventStream(/*whole=*/false));
  fixture.order(1, 7, /*last_event=*/2);
  fixture.waitForNews(1);
  const std::size_t reported = fixture.news().size();
  fixture.runner().take(summaryLease(2));
  REQUIRE(fixture.offers().empty());
  REQUIRE(fixture.summaries().size() == 1);
  const fleet::RunSummary& summary = fixture.summaries().front().runs.front();
  REQUIRE(summary.number == 7);
  REQUIRE(summary.chain == 5);
  REQUIRE(summary.text_bytes == std::string("before\nthree\nfour").size());
  REQUIRE(summary.last_event == 4);
  REQUIRE(summary.build == EngineBuild("v1"));
  REQUIRE_FALSE(summary.ended);
  fixture.runner().tick(monotonicNow() + fromMillis(300));
  REQUIRE(fixture.reports().back().running == std::vector<std::uint64_t>{7});
  REQUIRE(fixture.news().size() == reported);
  RunLease lease = summaryLease(2);
  lease.wanted_texts = {{7, std::string("before").size(), fleet::textHashOf("before")}};
  fixture.runner().take(lease);
  // A second request finds nothing, since the text was sent.
  fixture.runner().take(lease);
  REQUIRE(fixture.texts().front().texts.size() == 1);
  REQUIRE(fixture.texts().back().texts.empty());
  const fleet::RunText& text = fixture.texts().front().texts.front();
  REQUIRE(text.offset == 6);
  REQUIRE(text.text == "\nthree\nfour");
  REQUIRE(text.last_event == 4);
  REQUIRE(text.sequence == summary.sequence);
  REQUIRE_FALSE(text.ended);
}

TEST_CASE("a leader gets the whole text of a run whose text does not begin with the bytes that it has",
          "[store][runner][takeover]") {
  RunnerFixture fixture(eventStream(/*whole=*/false));
  fixture.order(1, 7, /*last_event=*/2);
  fixture.waitForNews(1);
  fixture.runner().take(summaryLease(2));
  REQUIRE(fixture.summaries().front().compares_texts);
  RunLease lease = summaryLease(2);
  SECTION("other bytes") {
    lease.wanted_texts = {{7, 6, fleet::textHashOf("BEFORE")}};
  }
  SECTION("more bytes than the run has") {
    lease.wanted_texts = {{7, 600, fleet::textHashOf(std::string(600, 'x'))}};
  }
  fixture.runner().take(lease);
  const fleet::RunText& text = fixture.texts().front().texts.front();
  REQUIRE(text.offset == 0);
  REQUIRE(text.text == "before\nthree\nfour");
}

TEST_CASE("a leader of an older release, which sends no hash, gets the text from where it asks",
          "[store][runner][takeover][upgrade]") {
  RunnerFixture fixture(eventStream(/*whole=*/false));
  fixture.order(1, 7, /*last_event=*/2);
  fixture.waitForNews(1);
  fixture.runner().take(summaryLease(2));
  RunLease lease = summaryLease(2);
  lease.wanted_texts = {{7, 6, std::nullopt}};
  fixture.runner().take(lease);
  REQUIRE(fixture.texts().front().texts.front().offset == 6);
}

// Guards against leaders of an older release that add a run from the beginning to the text that was dropped before it.
TEST_CASE("a run from the beginning is offered as one that continues nothing, whatever its order names",
          "[store][runner][takeover][upgrade]") {
  RunnerFixture fixture(eventStream(/*whole=*/false));
  fixture.order(1, 7, /*last_event=*/0, /*saved_event=*/5);
  fixture.runner().take(summaryLease(2));
  REQUIRE(fixture.summaries().front().runs.front().saved_event == 0);
  REQUIRE(fixture.summaries().front().runs.front().saved_chain == 0);
}

TEST_CASE("a run that ends before its leader has asked for its text counts as running until then",
          "[store][runner][takeover]") {
  RunnerFixture fixture(eventStream(/*whole=*/true));
  fixture.order(1, 7, /*last_event=*/0);
  fixture.runner().take(summaryLease(2));
  REQUIRE(fixture.summaries().size() == 1);
  while (fixture.runner().running() > 0) fixture.run(fromMillis(20));
  fixture.runner().tick(monotonicNow() + fromMillis(300));
  REQUIRE(fixture.news().empty());
  REQUIRE(fixture.reports().back().running == std::vector<std::uint64_t>{7});
  RunLease lease = summaryLease(2);
  SECTION("asked for") {
    lease.wanted_texts = {{7, 0}};
    fixture.runner().take(lease);
    const fleet::RunText& text = fixture.texts().back().texts.front();
    REQUIRE(text.ended);
    REQUIRE(text.end == RunEnd::kWhole);
    REQUIRE(text.text == "three\nfour");
  }
  SECTION("stopped") {
    lease.stopped = {7};
    fixture.runner().take(lease);
  }
  fixture.runner().tick(monotonicNow() + fromMillis(600));
  REQUIRE(fixture.reports().back().running.empty());
}

TEST_CASE("an ended run is offered to no other leader once its result is listed", "[store][runner][takeover]") {
  RunnerFixture fixture(eventStream(/*whole=*/true));
  fixture.order(1, 7, /*last_event=*/0);
  fixture.waitForNews(1);
  while (fixture.runner().running() > 0) fixture.run(fromMillis(20));
  RunLease lease{kLeader, 1, {}};
  lease.listed = {7};
  fixture.runner().take(lease);
  fixture.runner().take(summaryLease(2));
  fixture.runner().take(RunLease{ReplicaId("10.0.0.4"), 3, {}});
  REQUIRE(fixture.summaries().empty());
  REQUIRE(fixture.offers().empty());
}

// Guards against a stop that leaves no trace because it overtakes its order on another connection.
TEST_CASE("a run that was stopped before its order arrived is not begun", "[store][runner]") {
  RunnerFixture fixture(eventStream(/*whole=*/true));
  fixture.runner().take(RunLease{kLeader, 1, {7}, {}});
  fixture.order(1, 7, /*last_event=*/2);
  fixture.order(1, 8, /*last_event=*/2);
  fixture.run(fromMillis(100));
  REQUIRE(fixture.engine().requests().size() == 1);
}

namespace {

std::int64_t stampOf(Duration age) {
  return toMillis((monotonicNow() - age).time_since_epoch());
}

/// Number of requests that the engine got within a while.
std::size_t requestsSoon(RunnerFixture& fixture) {
  fixture.run(fromMillis(100));
  return fixture.engine().requests().size();
}

}  // namespace

TEST_CASE("an order that may have been withdrawn while it waited is not carried out, and reported at once",
          "[store][runner]") {
  // Older than the lease; without any report before; of a machine that was started again since.
  const std::int64_t stamp = GENERATE(stampOf(fromMillis(2600)), std::int64_t{0}, stampOf(-std::chrono::seconds(5)));
  RunnerFixture fixture(eventStream(/*whole=*/true));
  fixture.order(1, 7, /*last_event=*/2, /*saved_event=*/0, stamp);
  REQUIRE(fixture.runner().running() == 0);
  REQUIRE(requestsSoon(fixture) == 0);
  REQUIRE(fixture.news().size() == 1);
  const RunNews news = fixture.news().front();
  REQUIRE(news.ended);
  REQUIRE(news.end == RunEnd::kBroken);
  REQUIRE(news.verdict == request::EngineVerdict::kNeutral);
  REQUIRE(news.sequence == 1);
}

TEST_CASE("an order on a recent report, or of a leader that knows no stamps, is carried out", "[store][runner]") {
  const std::int64_t stamp = GENERATE(stampOf(fromMillis(1500)), fleet::kUnstamped);
  RunnerFixture fixture(eventStream(/*whole=*/true));
  fixture.order(1, 7, /*last_event=*/2, /*saved_event=*/0, stamp);
  REQUIRE(requestsSoon(fixture) == 1);
}

TEST_CASE("a store without runs reports on its leader's heartbeats, so that orders can name its last report",
          "[store][runner]") {
  RunnerFixture fixture(eventStream(/*whole=*/true));
  fixture.runner().take(RunLease{kLeader, 1, {}, {}});
  REQUIRE(fixture.reports().size() == 1);
  const std::int64_t first = fixture.reports().back().stamp;
  REQUIRE(first > 0);
  // A new leader gets reports without asking for them, for a while.
  fixture.run(fromMillis(1600));
  fixture.runner().tick(monotonicNow());
  REQUIRE(fixture.reports().size() == 1);
  fixture.runner().take(RunLease{kLeader, 1, {}, {}});
  fixture.runner().tick(monotonicNow());
  REQUIRE(fixture.reports().size() == 2);
  REQUIRE(fixture.reports().back().stamp > first);
}
