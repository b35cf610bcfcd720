#include <catch2/catch.hpp>

#include "connection/asio.hpp"
#include "executor_fixture.hpp"
#include "process/store/job_executor.hpp"

using namespace hatchfork;
using namespace hatchfork::store;

namespace {

/// Ends the last run after event `last_event`, as an engine that breaks off.
void breakRun(ExecutorFixture& fixture, std::uint64_t sequence, const std::string& text, std::uint64_t last_event) {
  RunNews news;
  news.number = fixture.lastOrder().number;
  news.sequence = sequence;
  news.text = text;
  news.last_event = last_event;
  news.ended = true;
  news.end = fleet::RunEnd::kBroken;
  fixture.executor().take(RunReport{kSelf, 1, {news}, {}});
  ExecutorFixture::waitUntil(connection::monotonicNow() + fromMillis(200));
  fixture.executor().tick(connection::monotonicNow());
}

}  // namespace

TEST_CASE("an item's text is continued by the build that began it", "[store][executor][build]") {
  ExecutorFixture fixture;
  fixture.setBuilds({"v1", "v2", "v3"});
  fixture.executor().setLeading(true, 1);
  const EngineBuild first = fixture.lastOrder().engine_build;
  REQUIRE_FALSE(first.empty());
  for (std::uint64_t event = 1; event <= 4; ++event) {
    breakRun(fixture, 1, "text", event);
    REQUIRE(fixture.orders() == event + 1);
    REQUIRE(fixture.lastOrder().engine_build == first);
    REQUIRE(fixture.lastOrder().last_event == event);
  }
}

TEST_CASE("an item begins anew once no engine of its build is left", "[store][executor][build]") {
  ExecutorFixture fixture;
  fixture.setBuilds({"v1"});
  fixture.executor().setLeading(true, 1);
  fixture.report(1, 1, "one", 1, false);
  fixture.executor().tick(connection::monotonicNow());
  fixture.endProposal(true);  // The progress up to event 1 is stored, with its build.
  REQUIRE(fixture.job().progress.at("i").build == EngineBuild("v1"));
  breakRun(fixture, 2, "\ntwo", 2);
  REQUIRE(fixture.lastOrder().last_event == 2);
  breakRun(fixture, 1, "\nthree", 3);
  fixture.setBuilds({"v2"});
  breakRun(fixture, 1, "\nfour", 4);
  REQUIRE(fixture.lastOrder().engine_build == EngineBuild("v2"));
  REQUIRE(fixture.lastOrder().last_event == 0);
  REQUIRE_FALSE(fixture.lastOrder().has_text);
  REQUIRE(fixture.executor().counters().texts_dropped == 1);
  fixture.report(1, 1, "ONE", 1, true);
  while (fixture.proposals() > 0) fixture.endProposal(true);
  REQUIRE(fixture.job().results.front().text == "ONE");
}

TEST_CASE("a new leader continues stored text only at its build", "[store][executor][build]") {
  ExecutorFixture fixture;
  ItemProgress progress{JobId("j"), "i", 0, 0, 2, 99, "one\ntwo", 0, {}, EngineBuild("v1")};
  SECTION("at an engine of the build that wrote it") {
    fixture.setBuilds({"v2", "v1"});
    fixture.apply(SaveProgress{{progress}});
    fixture.executor().setLeading(true, 1);
    REQUIRE(fixture.lastOrder().engine_build == EngineBuild("v1"));
    REQUIRE(fixture.lastOrder().last_event == 2);
  }
  SECTION("stored by a release that kept no build: from the beginning, while there are several") {
    fixture.setBuilds({"v2", "v1"});
    progress.build = EngineBuild();
    fixture.apply(SaveProgress{{progress}});
    fixture.executor().setLeading(true, 1);
    REQUIRE(fixture.lastOrder().last_event == 0);
  }
  SECTION("stored by such a release, and one build serves: it goes on") {
    fixture.setBuilds({"v1"});
    progress.build = EngineBuild();
    fixture.apply(SaveProgress{{progress}});
    fixture.executor().setLeading(true, 1);
    REQUIRE(fixture.lastOrder().last_event == 2);
  }
  SECTION("no engine at all: it waits for one") {
    fixture.setBuilds({});
    fixture.apply(SaveProgress{{progress}});
    fixture.executor().setLeading(true, 1);
    REQUIRE(fixture.orders() == 0);
    fixture.setBuilds({"v1"});
    fixture.executor().tick(connection::monotonicNow());
    REQUIRE(fixture.lastOrder().last_event == 2);
  }
}

TEST_CASE("items that wait for their build do not hold up the others, and begin anew in the end",
          "[store][executor][build]") {
  constexpr std::size_t kWaiting = 200;
  ExecutorFixture fixture(Duration::zero(), kWaiting + 2);
  fixture.setBuilds({"v1", "v2"}, 1);
  SaveProgress save;
  for (std::size_t i = 0; i < kWaiting; ++i) {
    const std::string item = "i" + std::to_string(i);
    save.items.push_back(ItemProgress{JobId("j"), item, 0, 0, 2, 99, "one\ntwo", 0, {}, EngineBuild("v1")});
  }
  fixture.apply(save);
  fixture.executor().setLeading(true, 1);
  const Instant give_up = connection::monotonicNow() + std::chrono::seconds(15);
  while (fixture.orders() < 2 && connection::monotonicNow() < give_up) {
    fixture.executor().tick(connection::monotonicNow());
  }
  REQUIRE(fixture.orders() == 2);
  REQUIRE(fixture.executor().running() == 2);
  while (fixture.executor().counters().texts_dropped == 0 && connection::monotonicNow() < give_up) {
    fixture.executor().tick(connection::monotonicNow());
  }
  REQUIRE(fixture.executor().counters().texts_dropped > 0);
}

TEST_CASE("a run that is adopted keeps the build that writes it", "[store][executor][build]") {
  ExecutorFixture fixture(std::chrono::seconds(1));
  fixture.setBuilds({"v1", "v2"});
  fixture.executor().setLeading(true, 1);
  fleet::OfferedRun offered;
  offered.number = 5;
  offered.job = JobId("j");
  offered.item = "i";
  offered.engine = EngineId("e-v1");
  offered.chain = 7;
  offered.text = "one";
  offered.has_text = true;
  offered.last_event = 1;
  offered.build = EngineBuild("v1");
  fixture.executor().take(fleet::RunOffer{kSelf, 1, {offered}});
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.proposedProgress().front().build == EngineBuild("v1"));
}
