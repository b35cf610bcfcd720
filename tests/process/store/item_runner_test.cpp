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

/// A runner that is ordered about by the test, and the reports it sent.
class RunnerStage {
 public:
  explicit RunnerStage(const std::string& answer)
      : engine_(context_, answer),
        dialect_(platform::makePlatformDialect()),
        runner_(
            context_, *dialect_, kSelf,
            [this](const ReplicaId& to, const fleet::FleetMessage& message) {
              if (const auto* report = std::get_if<RunReport>(&message)) reports_.push_back(*report);
              if (const auto* offer = std::get_if<fleet::RunOffer>(&message)) offers_.emplace_back(to, *offer);
            },
            crashes_) {}

  void order(std::uint64_t term, std::uint64_t number, std::uint64_t last_event) {
    RunOrder made;
    made.from = kLeader;
    made.term = term;
    made.number = number;
    made.item = OpaqueItem{"item", "/x/1", {}, "body", 10};
    made.host = "a.example";
    made.engine = EngineId("e");
    made.engine_address = fmt::format("127.0.0.1:{}", engine_.port());
    made.last_event = last_event;
    made.has_text = last_event > 0;
    made.text = last_event > 0 ? "before" : "";
    made.chain = 5;
    runner_.take(std::move(made));
  }
  ItemRunner& runner() { return runner_; }
  const std::vector<std::pair<ReplicaId, fleet::RunOffer>>& offers() const { return offers_; }
  const std::vector<RunReport>& reports() const { return reports_; }
  const connection::ScriptedEngine& engine() const { return engine_; }

  /// Runs, with the runner's ticks at the given time, until that many news have come or five seconds are over.
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
  fleet::CrashWatch crashes_{"store"};
  ItemRunner runner_;
};

}  // namespace

TEST_CASE("a run reports its text and its end, and asks to go on after the given event", "[store][runner]") {
  RunnerStage stage(eventStream(/*whole=*/true));
  stage.order(1, 7, /*last_event=*/2);
  stage.waitForNews(1);
  std::string text;
  for (const RunNews& news : stage.news()) text += news.text;
  REQUIRE(text == "\nthree\nfour");
  const RunNews last = stage.news().back();
  REQUIRE(last.ended);
  REQUIRE(last.end == RunEnd::kWhole);
  REQUIRE(last.last_event == 4);
  REQUIRE(last.number == 7);
  REQUIRE(stage.engine().requests().front()->find("Last-Event-Id: 2\r\n") != std::string::npos);
  REQUIRE(stage.runner().running() == 0);
}

namespace {

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: item\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kStreamEnd = "0\r\n\r\n";

std::string textOf(const RunnerStage& stage) {
  std::string text;
  for (const RunNews& news : stage.news()) text += news.text;
  return text;
}

}  // namespace

TEST_CASE("a run fails where events are missing, or one has no place in the text", "[store][runner]") {
  const std::string three = chunk("id: 3\ndata: three\n\n");
  const bool is_gap = GENERATE(true, false);
  const std::string events = is_gap ? three + chunk("id: 5\ndata: five\n\n") : chunk("data: somewhere\n\n") + three;
  RunnerStage stage(kStreamHead + events + kStreamEnd);
  stage.order(1, 7, /*last_event=*/2);
  while (stage.news().empty() || !stage.news().back().ended) stage.run(fromMillis(20));
  REQUIRE(stage.news().back().end == RunEnd::kBroken);
  REQUIRE(stage.news().back().last_event == (is_gap ? 3 : 2));
  REQUIRE(textOf(stage) == (is_gap ? "\nthree" : ""));
}

TEST_CASE("an end mark without an identifier is part of the text, after which no run goes on", "[store][runner]") {
  RunnerStage stage(kStreamHead + chunk("id: 3\ndata: three\n\n") + chunk("data: [DONE]\n\n") + kStreamEnd);
  stage.order(1, 7, /*last_event=*/2);
  while (stage.news().empty() || !stage.news().back().ended) stage.run(fromMillis(20));
  REQUIRE(stage.news().back().end == RunEnd::kWhole);
  REQUIRE(stage.news().back().last_event == 0);
  REQUIRE(textOf(stage) == "\nthree\n[DONE]");
}

TEST_CASE("a run ends when no leader is heard for the lease, or when it is stopped", "[store][runner]") {
  RunnerStage stage(eventStream(/*whole=*/false));
  stage.order(1, 7, 0);
  stage.waitForNews(1);
  REQUIRE(stage.news().front().text == "three\nfour");
  REQUIRE(stage.runner().running() == 1);
  SECTION("silent") {
    stage.runner().tick(monotonicNow() + fromMillis(2000));
    REQUIRE(stage.runner().running() == 1);
    stage.runner().tick(monotonicNow() + fromMillis(3000));
    REQUIRE(stage.runner().running() == 0);
  }
  SECTION("stopped") {
    stage.runner().take(RunLease{kLeader, 1, {7}});
    REQUIRE(stage.runner().running() == 0);
  }
  SECTION("stopped by the next leader") {
    stage.runner().take(RunLease{ReplicaId("10.0.0.3"), 2, {7}});
    REQUIRE(stage.runner().running() == 0);
    // The leader of before is heard no more.
    stage.order(1, 8, 0);
    REQUIRE(stage.runner().running() == 0);
  }
  stage.run(fromMillis(50));
  const std::size_t told = stage.news().size();
  stage.run(fromMillis(50));
  REQUIRE(stage.news().size() == told);
}

TEST_CASE("a planned stop hands runs back with all that has come", "[store][runner]") {
  RunnerStage stage(eventStream(/*whole=*/false));
  stage.order(1, 7, 0);
  stage.waitForNews(1);
  stage.runner().abortAll();
  REQUIRE(stage.news().back().ended);
  REQUIRE(stage.news().back().end == RunEnd::kBroken);
  REQUIRE(stage.news().back().last_event == 4);
  REQUIRE(stage.news().back().sequence == stage.news().size());
}

TEST_CASE("a change of leader breaks off no run: it goes on and is offered with its whole text", "[store][runner]") {
  RunnerStage stage(eventStream(/*whole=*/false));
  stage.order(1, 7, /*last_event=*/2);
  stage.waitForNews(1);
  const ReplicaId next("10.0.0.3");
  stage.runner().take(RunLease{next, 2, {}});
  REQUIRE(stage.runner().running() == 1);
  REQUIRE(stage.offers().size() == 1);
  const auto& [to, offer] = stage.offers().front();
  REQUIRE(to == next);
  REQUIRE(offer.term == 2);
  REQUIRE(offer.runs.size() == 1);
  const fleet::OfferedRun& run = offer.runs.front();
  REQUIRE(run.number == 7);
  REQUIRE(run.text == "before\nthree\nfour");
  REQUIRE(run.last_event == 4);
  REQUIRE(run.chain == 5);
  REQUIRE(run.sequence == stage.news().size());
  REQUIRE_FALSE(run.ended);
  // Nothing of it is reported a second time, and the leader of before can't stop it any more.
  stage.runner().take(RunLease{kLeader, 1, {7}});
  REQUIRE(stage.runner().running() == 1);
}

TEST_CASE("an answer that counts against its item is told until a leader has it kept", "[store][runner]") {
  const auto [answer, end] = GENERATE(std::pair<std::string, RunEnd>("500 Failed", RunEnd::kFailed),
                                      std::pair<std::string, RunEnd>("422 Impossible", RunEnd::kImpossible));
  RunnerStage stage("HTTP/1.1 " + answer + "\r\nX-Attempt-Id: item\r\nContent-Length: 0\r\n\r\n");
  stage.order(1, 7, /*last_event=*/0);
  stage.waitForNews(1);
  REQUIRE(stage.runner().unconfirmedAnswers() == 1);
  // Neither a silent leader nor a new one makes the store forget it.
  stage.runner().tick(monotonicNow() + fromMillis(9000));
  const std::size_t before = stage.reports().size();
  stage.runner().take(RunLease{ReplicaId("10.0.0.3"), 2, {}, {}});
  REQUIRE(stage.reports().size() == before + 1);
  REQUIRE(stage.reports().back().answers.size() == 1);
  stage.runner().tick(monotonicNow() + fromMillis(9300));
  REQUIRE(stage.reports().size() == before + 2);
  const RunReport& told = stage.reports().back();
  REQUIRE(told.term == 2);
  REQUIRE(told.answers.size() == 1);
  REQUIRE(told.answers.front().number == 7);
  REQUIRE(told.answers.front().item == "item");
  REQUIRE(told.answers.front().end == end);
  stage.runner().take(RunLease{ReplicaId("10.0.0.3"), 2, {}, {7}});
  REQUIRE(stage.runner().unconfirmedAnswers() == 0);
  stage.runner().tick(monotonicNow() + fromMillis(9600));
  REQUIRE(stage.reports().size() == before + 2);
}

TEST_CASE("a new leader hears of a store that has nothing to tell", "[store][runner]") {
  RunnerStage stage("HTTP/1.1 200 OK\r\n\r\n");
  stage.runner().take(RunLease{kLeader, 1, {}, {}});
  REQUIRE(stage.reports().size() == 1);
  REQUIRE(stage.reports().back().term == 1);
  stage.runner().tick(monotonicNow() + fromMillis(300));
  REQUIRE(stage.reports().size() == 2);
  stage.runner().tick(monotonicNow() + fromMillis(2000));
  REQUIRE(stage.reports().size() == 2);
  REQUIRE(stage.offers().empty());
}

TEST_CASE("a run that has ended lately is offered too, since its leader may not have listed it", "[store][runner]") {
  RunnerStage stage(eventStream(/*whole=*/true));
  stage.order(1, 7, /*last_event=*/0);
  stage.waitForNews(1);
  REQUIRE(stage.runner().running() == 0);
  stage.runner().take(RunLease{ReplicaId("10.0.0.3"), 2, {}});
  REQUIRE(stage.offers().size() == 1);
  const fleet::OfferedRun& run = stage.offers().front().second.runs.front();
  REQUIRE(run.ended);
  REQUIRE(run.end == RunEnd::kWhole);
  REQUIRE(run.text == "three\nfour");
  stage.runner().tick(monotonicNow() + fromMillis(9000));
  stage.runner().take(RunLease{ReplicaId("10.0.0.4"), 3, {}});
  REQUIRE(stage.offers().size() == 1);
}
