// Guards against lost answers: items that failed at each run were sent again long after their attempts were used up.
// An engine answers 500 or 422, and the store that ran the item reports that only once; the report reaches a leader
// that has just lost its leadership, or that has already given the run up as lost or preempted; the answer is not
// counted, and the next leader orders the item again.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "connection/asio.hpp"
#include "store_pair.hpp"
#include "tests/connection/scripted_engine.hpp"

using namespace hatchfork;
using namespace hatchfork::store;
using connection::monotonicNow;

namespace {

constexpr std::size_t kMaxAttempts = 3;
/// Shorter than the time for which a new leader orders nothing.
constexpr Duration kBeforeFirstOrder = fromMillis(50);

std::string answerOf(unsigned status) {
  return fmt::format("HTTP/1.1 {} Failed\r\nX-Attempt-Id: i\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status);
}

/// Two stores, and one engine that gives each run the same answer.
class AnsweredStores : public StorePair {
 public:
  explicit AnsweredStores(unsigned status) : engine_(context(), answerOf(status)) {
    EngineRecord engine;
    engine.id = EngineId("e");
    engine.service = ServiceId("s");
    engine.address = fmt::format("127.0.0.1:{}", engine_.port());
    engine.slots = 8;
    setEngines({engine});
    // Long enough for the stores to take their view for the newest.
    runFor(fromMillis(1100));
  }

  /// Makes the leader preempt the run at the engine, as for an online request.
  void preempt() { leader().preemptAt(EngineId("e")); }
  /// Lets the leader have a report of each store, without which they carry out no order, and drops all later ones.
  void dropLaterReports() {
    runFor(kBeforeFirstOrder);
    setDropReports(true);
  }
  /// True if the engine has answered the given number of runs and none is in flight.
  bool isAnswered(std::size_t run) const { return runsAtEngine() >= run && runsInFlight() == 0; }
  std::size_t runsAtEngine() const { return engine_.requests().size(); }

 private:
  connection::ScriptedEngine engine_;
};

}  // namespace

TEST_CASE("leaders in series send an item that fails at each run no more often than its attempts allow",
          "[store][answers]") {
  AnsweredStores stores(500);
  for (std::size_t change = 0; change < 3 * kMaxAttempts && !stores.isListed(); ++change) {
    stores.changeLeader();
    const std::size_t before = stores.runsAtEngine();
    stores.runUntil([&] { return stores.runsAtEngine() > before || stores.isListed(); });
    // The store has the answer but has not reported it yet.
    stores.runUntil([&] { return stores.runsInFlight() == 0; });
  }
  stores.runUntil([&] { return stores.isListed(); });
  REQUIRE(stores.runsAtEngine() == kMaxAttempts);
  REQUIRE(stores.isListed());
  REQUIRE(stores.job().results.front().outcome == ItemOutcome::kErrored);
}

TEST_CASE("an answer is counted even if its report is lost", "[store][answers]") {
  AnsweredStores stores(422);
  stores.changeLeader();
  stores.dropLaterReports();
  REQUIRE(stores.runUntil([&] { return stores.isAnswered(1); }));
  const Instant later = monotonicNow() + fromMillis(60);
  stores.runUntil([&] { return monotonicNow() > later; });
  stores.setDropReports(false);
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.runsAtEngine() == 1);
}

TEST_CASE("an answer is counted even if its run was preempted for an online request", "[store][answers]") {
  AnsweredStores stores(422);
  stores.changeLeader();
  REQUIRE(stores.runUntil([&] { return stores.isAnswered(1); }));
  stores.preempt();
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.runsAtEngine() == 1);
}

TEST_CASE("a new leader orders no item again before each store has reported the answers of its engines",
          "[store][answers]") {
  AnsweredStores stores(422);
  stores.changeLeader();
  stores.dropLaterReports();
  REQUIRE(stores.runUntil([&] { return stores.isAnswered(1); }));
  stores.changeLeader();
  // Longer than the start delay of a new leader.
  const Instant later = monotonicNow() + fromMillis(400);
  stores.runUntil([&] { return monotonicNow() > later; });
  REQUIRE(stores.ordersSent() == 1);
  stores.setDropReports(false);
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.runsAtEngine() == 1);
  REQUIRE(stores.ordersSent() == 1);
}
