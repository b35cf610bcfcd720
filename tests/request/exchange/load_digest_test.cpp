#include "request/exchange/load_digest.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

EngineShare share(const std::string& engine, std::uint32_t in_flight, std::uint64_t unread = 0,
                  std::uint32_t avoid_ms = 0) {
  return EngineShare{EngineId(engine), in_flight, unread, avoid_ms};
}

std::vector<EngineShare> sorted(std::vector<EngineShare> shares) {
  std::sort(shares.begin(), shares.end(),
            [](const EngineShare& left, const EngineShare& right) { return left.engine < right.engine; });
  return shares;
}

/// Key index of the engines that a reader's process knows.
EngineKeys keysOf(const std::vector<std::string>& engines) {
  std::vector<EngineRecord> records;
  for (const std::string& engine : engines) records.push_back(EngineRecord{EngineId(engine)});
  EngineKeys keys;
  keys.take(wholeListOf(std::move(records)));
  return keys;
}

}  // namespace

TEST_CASE("a receiver subtracts its own shares from the totals", "[digest]") {
  LoadDigestWriter writer;
  const EngineKeys keys = keysOf({"a", "b", "c"});
  LoadDigestReader reader;
  REQUIRE(reader.take(writer.changes({share("a", 6, 5120), share("b", 1)}), false));
  REQUIRE(sorted(reader.others(keys, {})) == std::vector<EngineShare>{share("a", 6, 5120), share("b", 1)});
  REQUIRE(reader.others(keys, {share("a", 4, 2560), share("b", 1)}) == std::vector<EngineShare>{share("a", 2, 2560)});
  // Delayed totals may be less than the own load.
  REQUIRE(reader.others(keys, {share("a", 9, 9000), share("b", 3)}).empty());
}

TEST_CASE("a receiver ignores its own avoid time, but not that of another process", "[digest]") {
  LoadDigestWriter writer;
  const EngineKeys keys = keysOf({"a"});
  LoadDigestReader reader;
  REQUIRE(reader.take(writer.changes({share("a", 2, 0, 250)}), false));
  REQUIRE(reader.others(keys, {share("a", 1, 0, 250)}).front().avoid_ms == 0);
  REQUIRE(reader.others(keys, {share("a", 1, 0, 100)}).front().avoid_ms >= 250);
  REQUIRE(reader.others(keys, {share("a", 1)}).front().avoid_ms >= 250);
}

TEST_CASE("the size of a digest grows with the changes, not with the fleet", "[digest]") {
  LoadDigestWriter writer;
  std::vector<EngineShare> totals;
  for (int i = 0; i < 1000; ++i) totals.push_back(share("engine-" + std::to_string(i), 3));
  REQUIRE(writer.changes(totals).size() == 1000 * kDigestEntryBytes);
  REQUIRE(writer.changes(totals).empty());
  totals[7].in_flight = 4;
  totals.pop_back();
  REQUIRE(writer.changes(totals).size() == 2 * kDigestEntryBytes);
  REQUIRE(writer.all().size() == 999 * kDigestEntryBytes);
}

TEST_CASE("changes and whole digests lead to the same loads", "[digest]") {
  std::mt19937_64 random(11);
  LoadDigestWriter writer;
  const EngineKeys keys = keysOf({"a", "b", "c", "d"});
  LoadDigestReader early;
  for (int step = 0; step < 500; ++step) {
    std::vector<EngineShare> totals;
    for (const char* engine : {"a", "b", "c", "d"}) {
      if (random() % 3 == 0) continue;
      totals.push_back(share(engine, random() % 4 + 1, 256 * (random() % 3), 16 * (random() % 3)));
    }
    REQUIRE(early.take(writer.changes(totals), false));
    const EngineKeys keys = keysOf({"a", "b", "c", "d"});
    LoadDigestReader late;
    REQUIRE(late.take(writer.all(), true));
    REQUIRE(sorted(early.others(keys, {})) == totals);
    REQUIRE(sorted(late.others(keys, {})) == totals);
  }
}

TEST_CASE("with more changes than fit in a digest, every engine gets its turn", "[digest]") {
  LoadDigestWriter writer;
  std::vector<std::string> names;
  std::vector<EngineShare> totals;
  for (int i = 0; i < 100; ++i) {
    names.push_back("engine-" + std::to_string(i));
    totals.push_back(share(names.back(), 3));
  }
  const EngineKeys keys = keysOf(names);
  LoadDigestReader reader;
  for (int step = 0; step < 4; ++step) {
    // All loads change before each digest.
    for (EngineShare& total : totals) total.in_flight = 4 + static_cast<std::uint32_t>(step);
    const std::string digest = writer.changes(totals, 25);
    REQUIRE(digest.size() == 25 * kDigestEntryBytes);
    REQUIRE(reader.take(digest, false));
  }
  REQUIRE(reader.others(keys, {}).size() == 100);
  for (int step = 0; step < 4; ++step) REQUIRE(reader.take(writer.changes(totals, 25), false));
  REQUIRE(writer.changes(totals, 25).empty());
  for (const EngineShare& received : reader.others(keys, {})) REQUIRE(received.in_flight == 7);
}

TEST_CASE("malformed digests change nothing, and counts beyond their field are clamped", "[digest]") {
  LoadDigestWriter writer;
  const EngineKeys keys = keysOf({"a"});
  LoadDigestReader reader;
  REQUIRE(reader.take(writer.changes({share("a", 100000, 1u << 30, 1u << 20)}), false));
  REQUIRE(reader.others(keys, {}).front().in_flight == 255);
  REQUIRE(reader.others(keys, {}).front().unread_tokens == 255 * 256);
  REQUIRE_FALSE(reader.take("12345", true));
  REQUIRE(reader.others(keys, {}).size() == 1);
}

TEST_CASE("the key index follows single changes and whole lists of engines", "[digest]") {
  EngineKeys keys = keysOf({"a", "b"});
  keys.take(EngineChanges{false, {EngineRecord{EngineId("c")}}, {EngineId("a")}});
  REQUIRE(keys.size() == 2);
  REQUIRE(keys.find(engineKey(EngineId("a"))) == nullptr);
  REQUIRE(*keys.find(engineKey(EngineId("c"))) == EngineId("c"));
  keys.take(wholeListOf({EngineRecord{EngineId("d")}}));
  REQUIRE(keys.size() == 1);
}
