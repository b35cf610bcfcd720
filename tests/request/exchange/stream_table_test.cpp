#include "request/exchange/stream_table.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

StreamRecord record(const std::string& stream, const std::string& build) {
  return StreamRecord{StreamKey(stream), ServiceId("llm"), EngineBuild(build)};
}

}  // namespace

TEST_CASE("a stream's key tells contents and first requests apart", "[stream]") {
  const RequestFingerprint content("abc");
  REQUIRE(streamKeyOf(content, "r1") == streamKeyOf(content, "r1"));
  REQUIRE(streamKeyOf(content, "r1") != streamKeyOf(content, "r2"));
  REQUIRE(streamKeyOf(content, "r1") != streamKeyOf(RequestFingerprint("abd"), "r1"));
}

TEST_CASE("a record holds until it expires, and the newest one of a stream holds", "[stream]") {
  StreamTable table(10);
  table.put(record("s", "v1"), kStart + fromMillis(100));
  table.put(record("s", "v2"), kStart + fromMillis(200));
  REQUIRE(table.find(kStart + fromMillis(199), StreamKey("s"))->build == EngineBuild("v2"));
  REQUIRE(table.find(kStart + fromMillis(200), StreamKey("s")) == nullptr);
  REQUIRE(table.find(kStart, StreamKey("t")) == nullptr);
  table.expire(kStart + fromMillis(200));
  REQUIRE(table.size() == 0);
}

TEST_CASE("a full table drops its oldest records", "[stream]") {
  StreamTable table(3);
  for (int i = 0; i < 1000; ++i) table.put(record(std::to_string(i), "v1"), kStart + std::chrono::seconds(1));
  REQUIRE(table.size() == 3);
  REQUIRE(table.find(kStart, StreamKey("996")) == nullptr);
  REQUIRE(table.find(kStart, StreamKey("997")) != nullptr);
}
