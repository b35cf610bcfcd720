// A text that the group has stored is continued only by runs whose text begins with it, whoever leads.
#include <catch2/catch.hpp>

#include "store_pair.hpp"
#include "tests/connection/stepped_engine.hpp"

using namespace hatchfork;
using namespace hatchfork::store;
using connection::SteppedEngine;

namespace {

/// Time within which what an engine has sent is known to the leader, and a new leader has read the texts of all runs.
constexpr Duration kSettleTime = fromMillis(400);

EngineRecord recordOf(const SteppedEngine& engine, const std::string& build) {
  EngineRecord record;
  record.id = EngineId("e-" + build);
  record.service = ServiceId("s");
  record.address = engine.address();
  record.slots = 8;
  record.build = EngineBuild(build);
  return record;
}

/// The engine sends the events from `first` to `last`, with their number and `mark` as data.
void sendEvents(SteppedEngine& engine, const std::string& mark, std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t event = first; event <= last; ++event) engine.send(event, mark + std::to_string(event));
}

/// An item of which the group has stored two events of build v1, and which runs anew at an engine of build v2, since
/// no engine of v1 is left.
class DroppedText : public StorePair {
 public:
  DroppedText() : old_engine_(context(), "i"), new_engine_(context(), "i") {
    setEngines({recordOf(old_engine_, "v1")});
    changeLeader();
    REQUIRE(runUntil([&] { return old_engine_.streams() == 1; }));
    sendEvents(old_engine_, "a", 1, 2);
    REQUIRE(runUntil([&] { return storedEvent() == 2; }));
    setEngines({recordOf(new_engine_, "v2")});
    old_engine_.breakOff();
    REQUIRE(runUntil([&] { return new_engine_.streams() == 1; }));
  }
  SteppedEngine& engine() { return new_engine_; }

 private:
  SteppedEngine old_engine_;
  SteppedEngine new_engine_;
};

}  // namespace

// Guards against texts joined from a dropped text and the run that began anew behind it.
TEST_CASE("the next leader does not add the text of a run that began anew to the dropped one",
          "[store][takeover][build]") {
  DroppedText stores;
  sendEvents(stores.engine(), "b", 1, 3);
  stores.runFor(kSettleTime);
  stores.changeLeader();
  stores.runFor(kSettleTime);
  SECTION("the run goes on to its end") {
    sendEvents(stores.engine(), "b", 4, 5);
  }
  SECTION("the run breaks, the next one resumes it, and a third leader takes over") {
    stores.engine().breakOff();
    REQUIRE(stores.runUntil([&] { return stores.engine().streams() == 2; }));
    sendEvents(stores.engine(), "b", 4, 4);
    stores.runFor(kSettleTime);
    stores.changeLeader();
    stores.runFor(kSettleTime);
    sendEvents(stores.engine(), "b", 5, 5);
  }
  stores.engine().end();
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.job().results.front().text == "b1\nb2\nb3\nb4\nb5");
}

TEST_CASE("a run that began anew and ends while there is no leader is listed with its own text",
          "[store][takeover][build]") {
  DroppedText stores;
  sendEvents(stores.engine(), "b", 1, 3);
  stores.runFor(kSettleTime);
  stores.setDropReports(true);
  stores.engine().end();
  REQUIRE(stores.runUntil([&] { return stores.runsInFlight() == 0; }));
  stores.changeLeader();
  stores.setDropReports(false);
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.job().results.front().text == "b1\nb2\nb3");
}

// Guards against texts joined from two runs of which the group stored one: no release of engines is needed for that.
TEST_CASE("a text that a leader read whole is not added by the next one to what the group has stored",
          "[store][takeover]") {
  StorePair stores;
  SteppedEngine engine(stores.context(), "i");
  stores.setEngines({recordOf(engine, "v1")});
  stores.changeLeader();
  REQUIRE(stores.runUntil([&] { return engine.streams() == 1; }));
  // Progress of another run, which a former leader proposed.
  stores.apply(SaveProgress{{ItemProgress{JobId("j"), "i", 0, 0, 1, 9, "x1", 0, {}, EngineBuild("v1")}}});
  sendEvents(engine, "a", 1, 3);
  stores.runFor(kSettleTime);
  stores.changeLeader();
  stores.runFor(kSettleTime);
  engine.breakOff();
  REQUIRE(stores.runUntil([&] { return engine.streams() == 2; }));
  sendEvents(engine, "a", 4, 4);
  stores.runFor(kSettleTime);
  stores.changeLeader();
  stores.runFor(kSettleTime);
  sendEvents(engine, "a", 5, 5);
  engine.end();
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.job().results.front().text == "a1\na2\na3\na4\na5");
}

TEST_CASE("a run that continues the stored text is read from where that ends", "[store][takeover]") {
  StorePair stores;
  SteppedEngine engine(stores.context(), "i");
  stores.setEngines({recordOf(engine, "v1")});
  stores.changeLeader();
  REQUIRE(stores.runUntil([&] { return engine.streams() == 1; }));
  sendEvents(engine, "a", 1, 2);
  REQUIRE(stores.runUntil([&] { return stores.storedEvent() == 2; }));
  sendEvents(engine, "a", 3, 3);
  stores.runFor(kSettleTime);
  stores.changeLeader();
  stores.runFor(kSettleTime);
  sendEvents(engine, "a", 4, 4);
  engine.end();
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.job().results.front().text == "a1\na2\na3\na4");
  REQUIRE(engine.streams() == 1);
}
