#include "request/exchange/arrival_gate.hpp"

#include <catch2/catch.hpp>

#include "request/exchange/engine_selector.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Duration kObjective = fromMillis(300);

EngineRecord engine() {
  EngineRecord made;
  made.id = EngineId("engine-0");
  made.service = ServiceId("llm");
  made.zone = ZoneId("z1");
  made.slots = 10;
  return made;
}

EngineQuery query() {
  EngineQuery made;
  made.service = ServiceId("llm");
  made.zone = ZoneId("z1");
  return made;
}

}  // namespace

TEST_CASE("a request is admitted only if it can meet its objective", "[gate]") {
  const ArrivalGate gate(1);
  REQUIRE(gate.admits(kObjective, fromMillis(0), fromMillis(0)));
  REQUIRE(gate.admits(kObjective, fromMillis(0), fromMillis(290)));
  REQUIRE_FALSE(gate.admits(kObjective, fromMillis(0), fromMillis(400)));
  REQUIRE_FALSE(gate.admits(kObjective, fromMillis(200), fromMillis(200)));
  // Without an objective nothing is rejected early.
  REQUIRE(gate.admits(Duration::zero(), fromMillis(0), fromMillis(9000)));
}

TEST_CASE("retry times of rejected callers are spread and within bounds", "[gate]") {
  ArrivalGate gate(1);
  Duration least = std::chrono::seconds(9);
  Duration most{};
  for (int i = 0; i < 200; ++i) {
    const Duration retry_after = gate.retryAfter(fromMillis(400));
    least = std::min(least, retry_after);
    most = std::max(most, retry_after);
  }
  REQUIRE(least >= fromMillis(300));
  REQUIRE(most <= fromMillis(1500));
  REQUIRE(most - least > fromMillis(500));
  REQUIRE(gate.retryAfter(Duration::zero()) == fromMillis(300));
}

TEST_CASE("no request is rejected early while an engine has a free slot", "[gate][selector]") {
  EngineSelector selector(1);
  const ArrivalGate gate(1);
  selector.takeEngines(kStart, wholeListOf({engine()}));
  const TicketId seen = selector.begin(kStart, EngineId("engine-0"), query());
  selector.noteFirstByte(kStart, seen);
  selector.end(kStart + fromMillis(700), seen, EngineVerdict::kGood);
  const auto waits = [&] {
    const auto choice = selector.choose(kStart, query());
    return Duration(static_cast<Duration::rep>(choice->expected_first_ms * 1000));
  };
  for (int i = 0; i < 10; ++i) {
    REQUIRE(gate.admits(kObjective, Duration::zero(), waits()));
    selector.noteFirstByte(kStart, selector.begin(kStart, EngineId("engine-0"), query()));
  }
  // Each further request waits for a tenth of the slot hold time.
  REQUIRE(waits() == fromMillis(70));
  for (int i = 0; i < 6; ++i) selector.noteFirstByte(kStart, selector.begin(kStart, EngineId("engine-0"), query()));
  REQUIRE_FALSE(gate.admits(kObjective, Duration::zero(), waits()));
}

TEST_CASE("no request is rejected for its wait before the slot hold time is known", "[gate][selector]") {
  EngineSelector selector(1);
  selector.takeEngines(kStart, wholeListOf({engine()}));
  for (int i = 0; i < 40; ++i) selector.noteFirstByte(kStart, selector.begin(kStart, EngineId("engine-0"), query()));
  REQUIRE(selector.choose(kStart, query())->expected_first_ms < 10);
}

TEST_CASE("the slot hold time is learned from online requests alone", "[gate][selector]") {
  EngineSelector selector(1);
  selector.takeEngines(kStart, wholeListOf({engine()}));
  const auto run = [&](bool background, Duration held) {
    EngineQuery engine_query = query();
    engine_query.background = background;
    const TicketId ticket = selector.begin(kStart, EngineId("engine-0"), engine_query);
    selector.noteFirstByte(kStart, ticket);
    selector.end(kStart + held, ticket, EngineVerdict::kGood);
  };
  for (int i = 0; i < 200; ++i) run(false, fromMillis(300));
  for (int i = 0; i < 200; ++i) run(true, std::chrono::seconds(9));
  for (int i = 0; i < 10; ++i) selector.begin(kStart, EngineId("engine-0"), query());
  REQUIRE(selector.choose(kStart, query())->expected_first_ms == Approx(30));
}
