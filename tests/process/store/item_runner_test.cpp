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
        runner_(context_, *dialect_, kSelf,
                [this](const ReplicaId&, RunReport report) { reports_.push_back(std::move(report)); }) {}

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
    runner_.take(std::move(made));
  }
  ItemRunner& runner() { return runner_; }
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

TEST_CASE("a run ends when its leader falls silent, is stopped, or is followed by another", "[store][runner]") {
  RunnerStage stage(eventStream(/*whole=*/false));
  stage.order(1, 7, 0);
  stage.waitForNews(1);
  REQUIRE(stage.news().front().text == "three\nfour");
  REQUIRE(stage.runner().running() == 1);
  SECTION("silent") {
    stage.runner().tick(monotonicNow() + fromMillis(1000));
    REQUIRE(stage.runner().running() == 1);
    stage.runner().tick(monotonicNow() + fromMillis(1500));
    REQUIRE(stage.runner().running() == 0);
  }
  SECTION("stopped") {
    stage.runner().take(RunLease{kLeader, 1, {7}});
    REQUIRE(stage.runner().running() == 0);
  }
  SECTION("a newer term") {
    stage.runner().take(RunLease{ReplicaId("10.0.0.3"), 2, {}});
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
  stage.runner().handBack();
  REQUIRE(stage.news().back().ended);
  REQUIRE(stage.news().back().end == RunEnd::kBroken);
  REQUIRE(stage.news().back().last_event == 4);
  REQUIRE(stage.news().back().sequence == stage.news().size());
}
