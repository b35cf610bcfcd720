#include <catch2/catch.hpp>

#include "request/crash/crash_ledger.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

const ServiceId kService("llm");
const RequestFingerprint kShared = fingerprintOfPart(kService, 0x5c1e07a2);
const RequestFingerprint kBad = fingerprintOfPart(kService, 0xba0001);
const RequestFingerprint kOther = fingerprintOfPart(kService, 0x91bd3f06);
constexpr Duration kRan = fromMillis(60);

Instant at(std::int64_t milliseconds) {
  return Instant{} + std::chrono::hours(1) + fromMillis(milliseconds);
}

/// A request that no other one equals.
CrashSubjects requestWith(int number, std::vector<RequestFingerprint> parts) {
  return {RequestFingerprint("content" + std::to_string(number)), std::move(parts)};
}

/// Each request crashes an engine of its own, one after the other, 500 ms apart.
void crashEngines(CrashLedger& ledger, int first, int last, const std::vector<RequestFingerprint>& parts) {
  for (int number = first; number <= last; ++number) {
    const CrashSubjects crashing = requestWith(number, parts);
    const EngineId engine("e" + std::to_string(number));
    ledger.noteCrash(at(500 * number), kRan, crashing.content, engine);
    for (const RequestFingerprint& part : crashing.parts) ledger.noteCrash(at(500 * number), kRan, part, engine);
  }
}

}  // namespace

// Guards against requests that share a prompt part and nothing else, and crashed one engine after the other.
TEST_CASE("a prompt part is quarantined after three crashes, whatever else the requests contain", "[crash][parts]") {
  CrashLedger ledger;
  crashEngines(ledger, 1, 3, {kShared, kBad});
  ledger.noteCompleteAnswer(at(1600), kShared);
  REQUIRE(ledger.judge(requestWith(9, {kShared, kBad})).isRefused(at(1700)));
  REQUIRE(ledger.judge(requestWith(9, {kBad})).decisive == kBad);
  REQUIRE_FALSE(ledger.judge(requestWith(9, {kShared, kOther})).isSuspect());
}

TEST_CASE("a request with all parts of which one is the cause is refused, and one with some of them is tried",
          "[crash][parts]") {
  CrashLedger ledger;
  crashEngines(ledger, 1, 7, {kShared, kBad});
  REQUIRE(ledger.judge(requestWith(9, {kShared, kBad})).isRefused(at(3600)));
  REQUIRE(ledger.judge(requestWith(9, {kBad, kOther, kShared})).requires_lease);
  const CrashVerdict sound = ledger.judge(requestWith(9, {kShared, kOther}));
  REQUIRE_FALSE(sound.isRefused(at(3600)));
  REQUIRE_FALSE(sound.requires_lease);
  REQUIRE(sound.crashes == 7);
  // The answer to the request that was tried tells the parts apart.
  ledger.noteCompleteAnswer(at(3700), kShared);
  REQUIRE_FALSE(ledger.judge(requestWith(9, {kShared, kOther})).isSuspect());
  REQUIRE(ledger.judge(requestWith(9, {kBad})).isRefused(at(3800)));
}

TEST_CASE("a crash of the request that was tried tells the parts apart", "[crash][parts]") {
  CrashLedger ledger;
  crashEngines(ledger, 1, 3, {kShared, kBad});
  crashEngines(ledger, 4, 4, {kShared, kOther});
  REQUIRE(ledger.judge(requestWith(9, {kShared})).isRefused(at(2100)));
  REQUIRE_FALSE(ledger.judge(requestWith(9, {kBad})).isSuspect());
}

// Guards against a batch job whose items crashed all engines at once, then all of them again three seconds later.
TEST_CASE("a part that was in flight at several engines that crashed at once runs at one engine at a time",
          "[crash][parts]") {
  CrashLedger ledger;
  for (int number = 1; number <= 5; ++number) {
    ledger.noteCrash(at(1000 + number), kRan, kBad, EngineId("e" + std::to_string(number)));
  }
  REQUIRE(ledger.judge(requestWith(9, {kBad})).crashes == 2);
  REQUIRE_FALSE(ledger.judge(requestWith(9, {kBad})).isRefused(at(1100)));
  ledger.noteCrash(at(1500), kRan, kBad, EngineId("e6"));
  REQUIRE(ledger.judge(requestWith(9, {kBad})).isRefused(at(1600)));
}

TEST_CASE("a part that was in flight at a few engines that crashed at once is tried twice before it is refused",
          "[crash][parts]") {
  CrashLedger ledger;
  for (int number = 1; number <= 3; ++number) {
    ledger.noteCrash(at(1000 + number), kRan, kBad, EngineId("e" + std::to_string(number)));
  }
  ledger.noteCrash(at(1500), kRan, kBad, EngineId("e4"));
  REQUIRE_FALSE(ledger.judge(requestWith(9, {kBad})).isRefused(at(1600)));
  ledger.noteCrash(at(2000), kRan, kBad, EngineId("e5"));
  REQUIRE(ledger.judge(requestWith(9, {kBad})).isRefused(at(2100)));
}

TEST_CASE("a content and a part of it with the same crashes are told apart by another request with the part",
          "[crash][parts]") {
  CrashLedger ledger;
  const CrashSubjects repeated = requestWith(1, {kOther});
  for (int number = 1; number <= 3; ++number) {
    const EngineId engine("e" + std::to_string(number));
    ledger.noteCrash(at(500 * number), kRan, repeated.content, engine);
    ledger.noteCrash(at(500 * number), kRan, kOther, engine);
  }
  REQUIRE(ledger.judge(repeated).isRefused(at(1600)));
  REQUIRE_FALSE(ledger.judge(requestWith(2, {kOther})).isRefused(at(1600)));
  ledger.noteCompleteAnswer(at(1700), kOther);
  REQUIRE(ledger.judge(repeated).isRefused(at(1800)));
}

TEST_CASE("a part is named by its service and identifier, and no content has such a name", "[crash][parts]") {
  REQUIRE(fingerprintOfPart(kService, 1) == fingerprintOfPart(kService, 1));
  REQUIRE(fingerprintOfPart(kService, 1) != fingerprintOfPart(kService, 2));
  REQUIRE(fingerprintOfPart(kService, 1) != fingerprintOfPart(ServiceId("other"), 1));
  REQUIRE(isPromptPart(fingerprintOfPart(kService, 1)));
  REQUIRE_FALSE(isPromptPart(fingerprintOf({"tenant", "POST", "host", "/", "body"})));
}
