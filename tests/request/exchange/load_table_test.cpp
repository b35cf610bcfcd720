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

TEST_CASE("the board adds up what all have in flight, by their last reports", "[board]") {
  LoadTable board;
  board.report(kStart, "g1", {share("a", 3, 100), share("b", 1, 0)});
  board.report(kStart, "g2", {share("a", 2, 50)});
  board.report(kStart, "g1", {share("a", 4, 10)});
  REQUIRE(board.totals() == std::vector<EngineShare>{share("a", 6, 60)});
  board.report(kStart, "g1", {});
  REQUIRE(board.totals() == std::vector<EngineShare>{share("a", 2, 50)});
}

TEST_CASE("the word of one process against an engine reaches the others", "[board]") {
  LoadTable board;
  EngineShare against = share("a", 1, 0);
  against.avoid_ms = 250;
  board.report(kStart, "g1", {against});
  board.report(kStart, "g2", {share("a", 2, 50)});
  REQUIRE(board.totals().front().avoid_ms == 250);
  board.report(kStart, "g1", {share("a", 1, 0)});
  REQUIRE(board.totals().front().avoid_ms == 0);
}

TEST_CASE("a process that reports no more counts no more", "[board]") {
  LoadTable board;
  board.report(kStart, "g1", {share("a", 3, 100)});
  board.report(kStart + fromMillis(900), "g2", {share("a", 2, 50)});
  board.expire(kStart + fromMillis(1500));
  REQUIRE(board.processes() == 1);
  REQUIRE(board.totals() == std::vector<EngineShare>{share("a", 2, 50)});
}

TEST_CASE("sums stay right over many reports that replace each other", "[board]") {
  std::mt19937_64 random(7);
  LoadTable board;
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
    board.report(kStart, process, shares);
    std::map<EngineId, EngineShare> expected;
    for (const auto& [who, held] : latest) {
      for (const EngineShare& one : held) {
        EngineShare& sum = expected[one.engine];
        sum.engine = one.engine;
        sum.in_flight += one.in_flight;
        sum.unread_tokens += one.unread_tokens;
        sum.avoid_ms = std::max(sum.avoid_ms, one.avoid_ms);
      }
    }
    std::vector<EngineShare> list;
    for (const auto& [engine, sum] : expected) list.push_back(sum);
    REQUIRE(board.totals() == list);
  }
}

TEST_CASE("a share travels without field names, and a malformed one is an error", "[board]") {
  const EngineShare sent{EngineId("i-7f3a91c2dd"), 3, 4000, 20};
  const std::string bytes = encodeStruct(sent);
  REQUIRE(bytes.size() < 24);
  REQUIRE(valueOf(decodeStruct<EngineShare>(bytes)) == sent);
  REQUIRE_FALSE(isOk(decodeStruct<EngineShare>(encodeCbor(nlohmann::json::array({"i", 1})))));
}
