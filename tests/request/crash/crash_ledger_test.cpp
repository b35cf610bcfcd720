#include "request/crash/crash_ledger.hpp"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

RequestFingerprint content(const std::string& name) {
  return RequestFingerprint(name);
}
EngineId engine(int number) {
  return EngineId("e" + std::to_string(number));
}
/// Time that a request has been at its engine when the engine crashes.
constexpr Duration kRan = fromMillis(30);

Instant at(std::int64_t milliseconds) {
  return Instant{} + std::chrono::hours(1) + fromMillis(milliseconds);
}

}  // namespace

TEST_CASE("a request is quarantined after three crashes", "[crash]") {
  CrashLedger ledger;
  for (int number = 1; number <= 2; ++number)
    REQUIRE(ledger.noteCrash(at(1000 * number), kRan, content("p"), engine(number)));
  REQUIRE(ledger.judge(content("p")).crashes == 2);
  REQUIRE_FALSE(ledger.judge(content("p")).isRefused(at(2000)));
  ledger.noteCrash(at(3000), kRan, content("p"), engine(3));
  REQUIRE(ledger.judge(content("p")).isRefused(at(3000)));
  REQUIRE(ledger.judge(content("p")).isRefused(at(22900)));
  REQUIRE_FALSE(ledger.judge(content("p")).isRefused(at(23100)));
}

// Guards against a request that was refused and is let through again, since another request came to explain one of its
// crashes: it ran at eight gateways at once while the leader of the stores was being replaced.
TEST_CASE("a request with three crashes of its own requires a lease, also if others explain some of them", "[crash]") {
  CrashLedger ledger;
  for (int number = 1; number <= 3; ++number) ledger.noteCrash(at(1000 * number), kRan, content("p"), engine(number));
  REQUIRE(ledger.judge(content("p")).requires_lease);
  for (int number = 3; number <= 6; ++number) ledger.noteCrash(at(1000 * number), kRan, content("q"), engine(number));
  REQUIRE(ledger.judge(content("p")).crashes == 2);
  REQUIRE_FALSE(ledger.judge(content("p")).isRefused(at(3500)));
  REQUIRE(ledger.judge(content("p")).requires_lease);
  ledger.noteCompleteAnswer(at(9000), content("p"));
  REQUIRE_FALSE(ledger.judge(content("p")).requires_lease);
}

// Guards against requests whose two crashes each life of the fleet had to learn anew, at the cost of two engines.
TEST_CASE("crashes are kept from the second one of a request on, those of the worst requests first", "[crash]") {
  CrashLedger ledger;
  ledger.noteCrash(at(1000), kRan, content("once"), engine(1));
  REQUIRE(ledger.crashesToKeep(at(1000)).empty());
  for (int number = 2; number <= 3; ++number) ledger.noteCrash(at(1000 * number), kRan, content("a"), engine(number));
  REQUIRE(ledger.crashesToKeep(at(3000)).size() == 2);
  for (int number = 4; number <= 6; ++number) ledger.noteCrash(at(1000 * number), kRan, content("b"), engine(number));
  const std::vector<CrashRecord> kept = ledger.crashesToKeep(at(6000));
  REQUIRE(kept.size() == 5);
  REQUIRE(kept.front().content == content("b"));
  ledger.noteCompleteAnswer(at(7000), content("a"));
  REQUIRE(ledger.crashesToKeep(at(7000)).size() == 3);
  REQUIRE(ledger.isCleared(at(3000), content("a")));
  REQUIRE_FALSE(ledger.isCleared(at(7100), content("a")));
  REQUIRE_FALSE(ledger.isCleared(at(6000), content("b")));
}

// Guards against proposals without end of crashes that the store group evicts at once.
TEST_CASE("no more requests are kept than the store group holds, the newest ones", "[crash]") {
  CrashLedger ledger;
  for (int number = 0; number < 1500; ++number) {
    const RequestFingerprint request = content("r" + std::to_string(number));
    ledger.noteCrash(at(1000 + number), kRan, request, engine(2 * number));
    ledger.noteCrash(at(5000 + number), kRan, request, engine(2 * number + 1));
  }
  const std::vector<CrashRecord> kept = ledger.crashesToKeep(at(7000));
  REQUIRE(kept.size() == 2 * CrashLedgerLimits().max_kept_requests);
  REQUIRE(kept.front().content == content("r1499"));
}

TEST_CASE("each further crash extends the quarantine of a request", "[crash]") {
  CrashLedger ledger;
  for (int number = 1; number <= 4; ++number) ledger.noteCrash(at(1000 * number), kRan, content("p"), engine(number));
  REQUIRE(ledger.judge(content("p")).isRefused(at(4000 + 199000)));
  REQUIRE_FALSE(ledger.judge(content("p")).isRefused(at(4000 + 201000)));
}

TEST_CASE("a crash that is reported twice counts once", "[crash]") {
  CrashLedger ledger;
  REQUIRE(ledger.noteCrash(at(0), kRan, content("p"), engine(1)));
  REQUIRE_FALSE(ledger.noteCrash(at(7), kRan, content("p"), engine(1)));
  REQUIRE(ledger.judge(content("p")).crashes == 1);
}

TEST_CASE("a complete answer clears a request of all earlier crashes", "[crash]") {
  CrashLedger ledger;
  for (int number = 1; number <= 3; ++number) ledger.noteCrash(at(100 * number), kRan, content("i"), engine(number));
  REQUIRE(ledger.noteCompleteAnswer(at(500), content("i")));
  REQUIRE_FALSE(ledger.judge(content("i")).isSuspect());
  // An old record that arrives late changes nothing.
  REQUIRE_FALSE(ledger.noteCrash(at(4), kRan, content("i"), engine(4)));
}

TEST_CASE("a request that only shared engines with a crashing request is not refused", "[crash]") {
  CrashLedger ledger;
  for (int number = 1; number <= 4; ++number) ledger.noteCrash(at(100 * number), kRan, content("p"), engine(number));
  for (int number = 1; number <= 3; ++number) ledger.noteCrash(at(100 * number), kRan, content("i"), engine(number));
  REQUIRE(ledger.judge(content("p")).isRefused(at(500)));
  REQUIRE_FALSE(ledger.judge(content("i")).isSuspect());
}

TEST_CASE("crashes during overlapping runs of the same content count once", "[crash]") {
  CrashLedger ledger;
  // Many callers send this content; their requests have been running for some time when five engines crash.
  for (int number = 1; number <= 5; ++number) {
    ledger.noteCrash(at(100 * number), fromMillis(100 * number + 50), content("popular"), engine(number));
  }
  REQUIRE(ledger.judge(content("popular")).crashes == 1);
  // The request that causes the crashes is sent again after each one.
  for (int number = 1; number <= 3; ++number) ledger.noteCrash(at(100 * number), kRan, content("p"), engine(number));
  REQUIRE(ledger.judge(content("p")).isRefused(at(600)));
  REQUIRE_FALSE(ledger.judge(content("popular")).isRefused(at(600)));
}

TEST_CASE("two requests with exactly the same engines are not refused until they can be distinguished", "[crash]") {
  CrashLedger ledger;
  for (int number = 1; number <= 3; ++number) {
    ledger.noteCrash(at(100 * number), kRan, content("p"), engine(number));
    ledger.noteCrash(at(100 * number), kRan, content("i"), engine(number));
  }
  REQUIRE_FALSE(ledger.judge(content("p")).isRefused(at(400)));
  REQUIRE(ledger.judge(content("p")).crashes == 3);
  ledger.noteCrash(at(500), kRan, content("p"), engine(4));
  REQUIRE(ledger.judge(content("p")).isRefused(at(600)));
  REQUIRE_FALSE(ledger.judge(content("i")).isSuspect());
}

TEST_CASE("two requests that share five crashes are both refused", "[crash]") {
  CrashLedger ledger;
  for (int number = 1; number <= 5; ++number) {
    ledger.noteCrash(at(100 * number), kRan, content("p"), engine(number));
    ledger.noteCrash(at(100 * number), kRan, content("q"), engine(number));
  }
  REQUIRE(ledger.judge(content("p")).isRefused(at(600)));
  REQUIRE(ledger.judge(content("q")).isRefused(at(600)));
}

TEST_CASE("records expire, and memory is bounded", "[crash]") {
  CrashLedgerLimits limits;
  limits.max_requests = 10;
  CrashLedger ledger(limits);
  for (int number = 0; number < 3; ++number) ledger.noteCrash(at(30 * number), kRan, content("p"), engine(number));
  for (int number = 0; number < 50; ++number) {
    ledger.noteCrash(at(100 + number), kRan, content("i" + std::to_string(number)), engine(100 + number));
  }
  REQUIRE(ledger.requests() == 10);
  REQUIRE(ledger.judge(content("p")).crashes == 3);
  ledger.expire(at(0) + std::chrono::minutes(11));
  REQUIRE(ledger.isEmpty());
}

TEST_CASE("ledgers with the same records in any order agree", "[crash][property]") {
  rc::check("verdicts and digests are equal", [] {
    struct Event {
      int content;
      int engine;
      int at_ms;
      bool is_innocent;
    };
    const auto count = *rc::gen::inRange<std::size_t>(1, 40);
    std::vector<Event> events;
    for (std::size_t i = 0; i < count; ++i) {
      events.push_back({*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 8), 100 * *rc::gen::inRange(0, 100),
                        *rc::gen::inRange(0, 6) == 0});
    }
    // An engine crashes once, at one time.
    for (Event& event : events) {
      if (!event.is_innocent) event.at_ms = 700 * event.engine;
    }
    std::vector<Event> shuffled = events;
    std::mt19937 order(*rc::gen::inRange(0, 1000));
    std::shuffle(shuffled.begin(), shuffled.end(), order);
    const auto play = [](const std::vector<Event>& played) {
      CrashLedger ledger;
      // Each content gets a first crash, because an answer to a content without records has no effect.
      for (int name = 0; name < 4; ++name) ledger.noteCrash(at(-1000), kRan, content(std::to_string(name)), engine(99));
      for (const Event& event : played) {
        if (event.is_innocent) {
          ledger.noteCompleteAnswer(at(event.at_ms), content(std::to_string(event.content)));
        } else {
          ledger.noteCrash(at(event.at_ms), kRan, content(std::to_string(event.content)), engine(event.engine));
        }
      }
      return ledger;
    };
    CrashLedger first = play(events);
    CrashLedger second = play(shuffled);
    RC_ASSERT(first.digest() == second.digest());
    for (int name = 0; name < 4; ++name) {
      const CrashVerdict left = first.judge(content(std::to_string(name)));
      const CrashVerdict right = second.judge(content(std::to_string(name)));
      RC_ASSERT(left.crashes == right.crashes);
      RC_ASSERT(left.refused_until == right.refused_until);
    }
  });
}
