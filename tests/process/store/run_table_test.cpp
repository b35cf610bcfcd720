#include "process/store/run_table.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace hatchfork;
using namespace hatchfork::store;
using hatchfork::fleet::RunNews;
using hatchfork::fleet::RunReport;

namespace {

const ReplicaId kHere("10.0.0.1");
const ReplicaId kThere("10.0.0.2");
const ReplicaId kElsewhere("10.0.0.3");
const ZoneId kZone("z1");
const ZoneId kOtherZone("z2");

RunTableLimits limits(std::size_t local, std::size_t most) {
  RunTableLimits made;
  made.local_runs = local;
  made.max_runs = most;
  return made;
}

RunTable runTable(std::size_t local, std::size_t most) {
  RunTable made(kHere, limits(local, most));
  made.setRunners({{kHere, kZone}, {kThere, kZone}, {kElsewhere, kOtherZone}});
  return made;
}

RunNews news(std::uint64_t number, std::uint64_t sequence, bool ended = false) {
  RunNews made;
  made.number = number;
  made.sequence = sequence;
  made.ended = ended;
  return made;
}

Instant at(std::int64_t milliseconds) {
  return Instant(fromMillis(milliseconds));
}

}  // namespace

TEST_CASE("the leader keeps the first runs and spreads the rest evenly", "[store][runs]") {
  RunTable runs = runTable(2, 4);
  for (int i = 0; i < 12; ++i) {
    const auto runner = runs.chooseRunner(at(0), kZone);
    REQUIRE(runner);
    if (i < 2) REQUIRE(*runner == kHere);
    runs.begin(at(0), *runner);
  }
  REQUIRE(runs.runningAt(kHere) == 4);
  REQUIRE(runs.runningAt(kThere) == 4);
  REQUIRE(runs.runningAt(kElsewhere) == 4);
  REQUIRE_FALSE(runs.chooseRunner(at(0), kZone));
}

TEST_CASE("an unreachable store gets no orders for a while", "[store][runs]") {
  RunTable runs = runTable(0, 4);
  runs.avoid(at(0), kThere);
  for (int i = 0; i < 8; ++i) {
    const auto runner = runs.chooseRunner(at(10), kZone);
    REQUIRE(runner);
    REQUIRE(*runner != kThere);
    runs.begin(at(10), *runner);
  }
  REQUIRE_FALSE(runs.chooseRunner(at(10), kZone));
  REQUIRE(runs.chooseRunner(at(5000), kZone) == kThere);
}

TEST_CASE("news are accepted in order, and a run with a gap in its news is lost", "[store][runs]") {
  RunTable runs = runTable(0, 4);
  const std::uint64_t first = runs.begin(at(0), kThere);
  const std::uint64_t second = runs.begin(at(0), kThere);
  REQUIRE(runs.check(at(100), RunReport{kThere, 1, {news(first, 1), news(second, 1)}, {first, second}}).news.size() ==
          2);
  const CheckedReport gap = runs.check(at(300), RunReport{kThere, 1, {news(first, 3), news(second, 2, true)}, {first}});
  REQUIRE(gap.news.size() == 1);
  REQUIRE(gap.news.front().number == second);
  REQUIRE(gap.lost == std::vector<std::uint64_t>{first});
  // The store is ordered to abort the run, and its later news are ignored.
  REQUIRE(runs.takeLeases(at(300)).at(kThere).stopped == std::vector<std::uint64_t>{first});
  REQUIRE(runs.check(at(400), RunReport{kThere, 1, {news(first, 4, true)}, {}}).news.empty());
  REQUIRE(runs.running() == 0);
}

TEST_CASE("an order that the store does not report as running is lost, unless the order is too recent",
          "[store][runs]") {
  RunTable runs = runTable(0, 4);
  const std::uint64_t number = runs.begin(at(0), kThere);
  REQUIRE(runs.check(at(100), RunReport{kThere, 1, {}, {}}).lost.empty());
  REQUIRE(runs.check(at(900), RunReport{kThere, 1, {}, {}}).lost == std::vector<std::uint64_t>{number});
}

TEST_CASE("the newest report of a store is known by its stamp until the term ends", "[store][runs]") {
  RunTable runs = runTable(0, 4);
  runs.startTerm(at(0), 1);
  REQUIRE(runs.reportStampOf(kThere) == 0);
  for (const std::int64_t stamp : {50, 70, 20}) {
    RunReport report{kThere, 1, {}, {}};
    report.stamp = stamp;
    runs.check(at(100), report);
    REQUIRE(runs.reportStampOf(kThere) == stamp);
  }
  REQUIRE(runs.reportStampOf(kElsewhere) == 0);
  runs.startTerm(at(200), 2);
  REQUIRE(runs.reportStampOf(kThere) == 0);
}

TEST_CASE("the runs of a store that falls silent are lost", "[store][runs]") {
  RunTable runs = runTable(1, 4);
  runs.begin(at(0), kHere);
  const std::uint64_t there = runs.begin(at(0), kThere);
  const std::uint64_t elsewhere = runs.begin(at(0), kElsewhere);
  runs.check(at(900), RunReport{kElsewhere, 1, {news(elsewhere, 1)}, {elsewhere}});
  REQUIRE(runs.takeLost(at(900)).empty());
  REQUIRE(runs.takeLost(at(1500)) == std::vector<std::uint64_t>{there});
  REQUIRE(runs.takeLost(at(1500)).empty());
  REQUIRE(runs.running() == 2);
}

TEST_CASE("stores with runs get a lease in each interval, and orders to stop at once", "[store][runs]") {
  RunTable runs = runTable(0, 4);
  const std::uint64_t number = runs.begin(at(0), kThere);
  REQUIRE(runs.takeLeases(at(300)).size() == 1);
  REQUIRE(runs.takeLeases(at(400)).empty());
  runs.stop(number);
  REQUIRE(runs.takeLeases(at(410)).at(kThere).stopped == std::vector<std::uint64_t>{number});
  REQUIRE(runs.takeLeases(at(900)).empty());
}

TEST_CASE("a run goes to a store in its engine's zone while that has not many more runs than others", "[store][runs]") {
  RunTable runs = runTable(0, 100);
  std::size_t there = 0;
  for (int i = 0; i < 30; ++i) {
    const auto runner = runs.chooseRunner(at(0), kOtherZone);
    REQUIRE(runner);
    if (*runner == kElsewhere) ++there;
    runs.begin(at(0), *runner);
  }
  // The only store of that zone has more than its even share of ten, but not all runs.
  REQUIRE(there > 12);
  REQUIRE(there < 25);
  REQUIRE(runs.chooseRunner(at(0), kZone) != kElsewhere);
}

TEST_CASE("run numbers are unique across terms, and within a term that begins again", "[store][runs]") {
  RunTable runs = runTable(0, 100);
  std::set<std::uint64_t> numbers;
  for (const std::uint64_t term : {1, 2, 2, 5, 5, 6}) {
    runs.startTerm(at(0), term);
    for (int i = 0; i < 3; ++i) numbers.insert(runs.begin(at(0), kThere));
  }
  REQUIRE(numbers.size() == 18);
}

TEST_CASE("a run that a store reports and the leader has not in its table is stopped there", "[store][runs]") {
  RunTable runs = runTable(0, 100);
  runs.startTerm(at(0), 2);
  runs.check(at(100), RunReport{kThere, 2, {}, {77}});
  REQUIRE(runs.takeLeases(at(100)).at(kThere).stopped == std::vector<std::uint64_t>{77});
}

TEST_CASE("a store receives confirmations of the answers that are stored", "[store][runs]") {
  RunTable runs = runTable(0, 100);
  runs.startTerm(at(0), 2);
  runs.takeLeases(at(5000));
  runs.acknowledgeAnswer(kThere, 77);
  REQUIRE(runs.takeLeases(at(5010)).at(kThere).kept_answers == std::vector<std::uint64_t>{77});
  REQUIRE(runs.takeLeases(at(5020)).empty());
}

TEST_CASE("a new leader announces itself to all stores often at first, and once a second later on", "[store][runs]") {
  RunTable runs = runTable(0, 100);
  runs.startTerm(at(0), 2);
  REQUIRE(runs.takeLeases(at(0)).size() == 3);
  REQUIRE(runs.takeLeases(at(60)).size() == 3);
  REQUIRE(runs.takeLeases(at(1450)).size() == 3);
  REQUIRE(runs.takeLeases(at(1500)).size() == 3);
  REQUIRE(runs.takeLeases(at(2200)).empty());
  REQUIRE(runs.takeLeases(at(2500)).size() == 3);
  REQUIRE(runs.takeLeases(at(3200)).empty());
  REQUIRE(runs.takeLeases(at(3500)).size() == 3);
}
