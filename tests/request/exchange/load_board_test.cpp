#include "request/exchange/load_board.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {
constexpr Instant kStart{std::chrono::seconds(100)};
EngineShare share(const std::string& engine, std::uint32_t in_flight, std::uint64_t unread) {
  return EngineShare{EngineId(engine), in_flight, unread};
}
}  // namespace

TEST_CASE("the board adds up what the others have under way", "[board]") {
  LoadBoard board;
  board.report(kStart, "g1", {share("a", 3, 100), share("b", 1, 0)});
  board.report(kStart, "g2", {share("a", 2, 50)});
  board.report(kStart, "g1", {share("a", 4, 10)});
  REQUIRE(board.others("g3") == std::vector<EngineShare>{share("a", 6, 60)});
  REQUIRE(board.others("g1") == std::vector<EngineShare>{share("a", 2, 50)});
}

TEST_CASE("the word of one process against an engine reaches the others", "[board]") {
  LoadBoard board;
  EngineShare against = share("a", 1, 0);
  against.avoid_ms = 250;
  board.report(kStart, "g1", {against});
  board.report(kStart, "g2", {share("a", 2, 50)});
  REQUIRE(board.others("g3").front().avoid_ms == 250);
  REQUIRE(board.others("g1").front().avoid_ms == 0);
}

TEST_CASE("a process that reports no more counts no more", "[board]") {
  LoadBoard board;
  board.report(kStart, "g1", {share("a", 3, 100)});
  board.report(kStart + fromMillis(900), "g2", {share("a", 2, 50)});
  board.expire(kStart + fromMillis(1500));
  REQUIRE(board.processes() == 1);
  REQUIRE(board.others("") == std::vector<EngineShare>{share("a", 2, 50)});
}
