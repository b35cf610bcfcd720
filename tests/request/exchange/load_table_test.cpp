#include "request/exchange/load_table.hpp"

#include <catch2/catch.hpp>
#include <random>

#include "common/codec.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {
constexpr Instant kStart{std::chrono::seconds(100)};
EngineShare share(const std::string& engine, std::uint32_t in_flight, std::uint64_t unread) {
  return EngineShare{EngineId(engine), in_flight, unread};
}
}  // namespace

TEST_CASE("the last reports of all processes are summed", "[board]") {
  LoadTable table;
  table.report(kStart, "g1", {share("a", 3, 100), share("b", 1, 0)});
  table.report(kStart, "g2", {share("a", 2, 50)});
  table.report(kStart, "g1", {share("a", 4, 10)});
  REQUIRE(table.totals() == std::vector<EngineShare>{share("a", 6, 60)});
  table.report(kStart, "g1", {});
  REQUIRE(table.totals() == std::vector<EngineShare>{share("a", 2, 50)});
}

TEST_CASE("the avoid time that one process reports appears in the totals until it is withdrawn", "[board]") {
  LoadTable table;
  EngineShare against = share("a", 1, 0);
  against.avoid_ms = 250;
  table.report(kStart, "g1", {against});
  table.report(kStart, "g2", {share("a", 2, 50)});
  REQUIRE(table.totals().front().avoid_ms == 250);
  table.report(kStart, "g1", {share("a", 1, 0)});
  REQUIRE(table.totals().front().avoid_ms == 0);
}

TEST_CASE("the last report of a process expires", "[board]") {
  LoadTable table;
  table.report(kStart, "g1", {share("a", 3, 100)});
  table.report(kStart + fromMillis(900), "g2", {share("a", 2, 50)});
  table.expire(kStart + fromMillis(1500));
  REQUIRE(table.processes() == 1);
  REQUIRE(table.totals() == std::vector<EngineShare>{share("a", 2, 50)});
}

TEST_CASE("sums stay exact over many reports that replace each other", "[board]") {
  std::mt19937_64 random(7);
  LoadTable table;
  std::map<std::string, std::vector<EngineShare>> latest;
  for (int step = 0; step < 2000; ++step) {
    const std::string process = "g" + std::to_string(random() % 9);
    std::vector<EngineShare> shares;
    for (const char* engine : {"a", "b", "c"}) {
      if (random() % 2 == 0) continue;
      EngineShare made = share(engine, random() % 5 + 1, random() % 1000);
      made.avoid_ms = random() % 3 == 0 ? random() % 500 : 0;
      shares.push_back(made);
    }
    latest[process] = shares;
    table.report(kStart, process, shares);
    std::map<EngineId, EngineShare> expected;
    for (const auto& [process_name, reported] : latest) {
      for (const EngineShare& share_of_process : reported) {
        EngineShare& sum = expected[share_of_process.engine];
        sum.engine = share_of_process.engine;
        sum.in_flight += share_of_process.in_flight;
        sum.unread_tokens += share_of_process.unread_tokens;
        sum.avoid_ms = std::max(sum.avoid_ms, share_of_process.avoid_ms);
      }
    }
    std::vector<EngineShare> list;
    for (const auto& [engine, sum] : expected) list.push_back(sum);
    REQUIRE(table.totals() == list);
  }
}

TEST_CASE("a share is encoded without field names, and a malformed one is an error", "[board]") {
  const EngineShare sent{EngineId("i-7f3a91c2dd"), 3, 4000, 20};
  const std::string bytes = encodeStruct(sent);
  REQUIRE(bytes.size() < 24);
  REQUIRE(valueOf(decodeStruct<EngineShare>(bytes)) == sent);
  REQUIRE_FALSE(isOk(decodeStruct<EngineShare>(encodeCbor(nlohmann::json::array({"i", 1})))));
}
