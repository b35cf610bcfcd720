#include "process/exchange/start_gate.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace hatchfork;
using namespace hatchfork::exchange;
using connection::monotonicNow;

namespace {

/// A caller of which only matters whether it is still there.
class FakeCaller final : public connection::ResponseWriter {
 public:
  connection::Awaitable<bool> send(connection::HttpResponse) override { co_return true; }
  connection::Awaitable<bool> startStream(unsigned, std::vector<connection::HttpHeader>) override { co_return true; }
  connection::Awaitable<bool> writeChunk(std::string) override { co_return true; }
  connection::Awaitable<bool> finishStream() override { co_return true; }
  bool peerGone() const override { return false; }
  void watchPeer(std::function<void()> on_gone) override { on_gone_ = std::move(on_gone); }
  void abort() override {}

  void leave() {
    const std::function<void()> on_gone = std::move(on_gone_);
    if (on_gone) on_gone();
  }
  bool isWatched() const { return on_gone_ != nullptr; }

 private:
  std::function<void()> on_gone_;
};

/// A gate and the requests that wait at it.
struct Stage {
  struct Ended {
    int number = 0;
    StartGate::Outcome outcome = StartGate::Outcome::kOpen;
  };

  connection::asio::io_context context;
  request::PendingBudget budget{3, 1000};
  StartGate gate{context, budget, 7};
  bool is_open = false;
  std::vector<std::unique_ptr<FakeCaller>> callers;
  std::vector<Ended> ended;

  explicit Stage(bool may_hold = true) { gate.start(monotonicNow(), may_hold); }

  FakeCaller& arrive(std::size_t bytes = 100, Duration remaining = std::chrono::seconds(30)) {
    const int number = static_cast<int>(callers.size());
    callers.push_back(std::make_unique<FakeCaller>());
    FakeCaller& caller = *callers.back();
    auto run = [this, number, bytes, remaining, &caller]() -> connection::Awaitable<void> {
      std::function<bool()> open = [this] { return is_open; };
      const request::EarlyArrival arrival{monotonicNow(), remaining};
      const StartGate::Result passed = co_await gate.pass(std::move(open), arrival, bytes, caller);
      ended.push_back(Ended{number, passed.outcome});
    };
    connection::asio::co_spawn(context, std::move(run), connection::asio::detached);
    runReady();
    return caller;
  }
  void open() {
    is_open = true;
    gate.look();
    runReady();
  }
  void runReady() {
    context.restart();
    context.poll();
  }
};

}  // namespace

TEST_CASE("requests held at a start go on in the order in which they came", "[start_gate]") {
  Stage stage;
  for (int i = 0; i < 3; ++i) stage.arrive();
  CHECK(stage.ended.empty());
  CHECK(stage.budget.requests() == 3);
  CHECK(stage.budget.bytes() == 300);
  stage.open();
  REQUIRE(stage.ended.size() == 3);
  for (int i = 0; i < 3; ++i) {
    CHECK(stage.ended[i].number == i);
    CHECK(stage.ended[i].outcome == StartGate::Outcome::kOpen);
    CHECK_FALSE(stage.callers[i]->isWatched());
  }
  CHECK(stage.budget.requests() == 0);
  CHECK(stage.budget.bytes() == 0);
  CHECK(stage.gate.counters().served == 3);
}

TEST_CASE("a request that does not fit beside those held is refused at once", "[start_gate]") {
  Stage stage;
  stage.arrive(900);
  stage.arrive(200);
  REQUIRE(stage.ended.size() == 1);
  CHECK(stage.ended[0].outcome == StartGate::Outcome::kRefused);
  for (int i = 0; i < 2; ++i) stage.arrive(10);
  stage.arrive(10);
  REQUIRE(stage.ended.size() == 2);
  CHECK(stage.ended[1].number == 4);
  CHECK(stage.budget.requests() == 3);
}

TEST_CASE("a caller that leaves takes its held request along", "[start_gate]") {
  Stage stage;
  FakeCaller& caller = stage.arrive();
  stage.arrive();
  caller.leave();
  stage.runReady();
  REQUIRE(stage.ended.size() == 1);
  CHECK(stage.ended[0].outcome == StartGate::Outcome::kCallerLeft);
  CHECK(stage.budget.requests() == 1);
  CHECK(stage.gate.counters().caller_left == 1);
}

TEST_CASE("a held request whose time is over is refused, and not before", "[start_gate]") {
  Stage stage;
  stage.arrive(100, fromMillis(60));
  CHECK(stage.ended.empty());
  stage.context.restart();
  stage.context.run();
  REQUIRE(stage.ended.size() == 1);
  CHECK(stage.ended[0].outcome == StartGate::Outcome::kRefused);
  CHECK(stage.budget.requests() == 0);
}

TEST_CASE("where requests are not to wait, all that come early are refused at once", "[start_gate]") {
  Stage stage(/*may_hold=*/false);
  stage.arrive();
  REQUIRE(stage.ended.size() == 1);
  CHECK(stage.ended[0].outcome == StartGate::Outcome::kRefused);
  stage.open();
  stage.arrive();
  REQUIRE(stage.ended.size() == 2);
  CHECK(stage.ended[1].outcome == StartGate::Outcome::kOpen);
}
