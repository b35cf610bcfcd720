#include "process/fleet/store_directory.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::fleet;

namespace {

const Instant kStart{std::chrono::seconds(100)};

StoreAddress address(const std::string& number, const std::string& zone) {
  return StoreAddress{ReplicaId(number), ZoneId(zone)};
}

StorePresence presence(const std::string& number, const std::string& zone) {
  StorePresence present;
  present.node = "store-" + number;
  present.address = ReplicaId(number);
  present.zone = ZoneId(zone);
  return present;
}

}  // namespace

TEST_CASE("stores that were known before a start count as addresses at once, and for nothing else",
          "[store_directory]") {
  StoreDirectory directory;
  directory.recall(kStart, {address("10.0.0.1", "a"), address("10.0.0.2", "b")});
  CHECK(directory.addresses() == std::vector<StoreAddress>{address("10.0.0.1", "a"), address("10.0.0.2", "b")});
  CHECK(directory.stores().empty());
  directory.recall(kStart, {StoreAddress{ReplicaId("10.0.0.1"), ZoneId("a"), kThisRelease}});
  CHECK(directory.addresses().front().release == kUnknownRelease);
  CHECK(directory.heardDirectly(kStart).empty());
}

TEST_CASE("what a store tells of itself counts more than what was recalled", "[store_directory]") {
  StoreDirectory directory;
  directory.recall(kStart, {address("10.0.0.1", "a"), address("10.0.0.2", "b")});
  directory.hear(kStart, presence("10.0.0.1", "c"));
  CHECK(directory.addresses() == std::vector<StoreAddress>{address("10.0.0.1", "c"), address("10.0.0.2", "b")});
}

TEST_CASE("a recalled store that says nothing is forgotten like one that fell silent", "[store_directory]") {
  StoreDirectory directory;
  directory.recall(kStart, {address("10.0.0.1", "a"), address("10.0.0.2", "b")});
  directory.hear(kStart + std::chrono::seconds(5), presence("10.0.0.1", "a"));
  directory.expire(kStart + std::chrono::seconds(7));
  CHECK(directory.addresses() == std::vector<StoreAddress>{address("10.0.0.1", "a")});
}
