#include "process/exchange/start_gate.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace hatchfork;
using namespace hatchfork::exchange;
using connection::monotonicNow;

namespace {

/// A response writer that only simulates the caller leaving.
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

/// Fixture with a gate and the requests that wait at it.
struct Fixture {
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

  explicit Fixture(bool may_hold = true) { gate.start(monotonicNow(), may_hold); }

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
    gate.recheck();
    runReady();
  }
  void runReady() {
    context.restart();
    context.poll();
  }
};

}  // namespace

TEST_CASE("requests parked at start-up proceed in order of arrival", "[start_gate]") {
  Fixture fixture;
  for (int i = 0; i < 3; ++i) fixture.arrive();
  CHECK(fixture.ended.empty());
  CHECK(fixture.budget.requests() == 3);
  CHECK(fixture.budget.bytes() == 300);
  fixture.open();
  REQUIRE(fixture.ended.size() == 3);
  for (int i = 0; i < 3; ++i) {
    CHECK(fixture.ended[i].number == i);
    CHECK(fixture.ended[i].outcome == StartGate::Outcome::kOpen);
    CHECK_FALSE(fixture.callers[i]->isWatched());
  }
  CHECK(fixture.budget.requests() == 0);
  CHECK(fixture.budget.bytes() == 0);
  CHECK(fixture.gate.counters().served == 3);
}

TEST_CASE("a request that exceeds the pending budget is refused at once", "[start_gate]") {
  Fixture fixture;
  fixture.arrive(900);
  fixture.arrive(200);
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].outcome == StartGate::Outcome::kRefused);
  for (int i = 0; i < 2; ++i) fixture.arrive(10);
  fixture.arrive(10);
  REQUIRE(fixture.ended.size() == 2);
  CHECK(fixture.ended[1].number == 4);
  CHECK(fixture.budget.requests() == 3);
}

TEST_CASE("a parked request is removed when its caller leaves", "[start_gate]") {
  Fixture fixture;
  FakeCaller& caller = fixture.arrive();
  fixture.arrive();
  caller.leave();
  fixture.runReady();
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].outcome == StartGate::Outcome::kCallerLeft);
  CHECK(fixture.budget.requests() == 1);
  CHECK(fixture.gate.counters().caller_left == 1);
}

TEST_CASE("a parked request is refused at its time limit, not before", "[start_gate]") {
  Fixture fixture;
  fixture.arrive(100, fromMillis(60));
  CHECK(fixture.ended.empty());
  fixture.context.restart();
  fixture.context.run();
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].outcome == StartGate::Outcome::kRefused);
  CHECK(fixture.budget.requests() == 0);
}

TEST_CASE("early requests are refused at once if parking is disabled", "[start_gate]") {
  Fixture fixture(/*may_hold=*/false);
  fixture.arrive();
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].outcome == StartGate::Outcome::kRefused);
  fixture.open();
  fixture.arrive();
  REQUIRE(fixture.ended.size() == 2);
  CHECK(fixture.ended[1].outcome == StartGate::Outcome::kOpen);
}

TEST_CASE("a gateway that stops refuses its parked requests at once, and later ones", "[start_gate][stop]") {
  Fixture fixture;
  fixture.arrive();
  fixture.gate.stop();
  fixture.runReady();
  REQUIRE(fixture.ended.size() == 1);
  CHECK(fixture.ended[0].outcome == StartGate::Outcome::kRefused);
  fixture.arrive();
  REQUIRE(fixture.ended.size() == 2);
  CHECK(fixture.ended[1].outcome == StartGate::Outcome::kRefused);
  CHECK(fixture.budget.requests() == 0);
}
