#include "process/fleet/fleet_settings.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

using namespace hatchfork;
using namespace hatchfork::fleet;

namespace {

Result<FleetSettings> readGateway(const std::string& more) {
  const std::string file = (std::filesystem::temp_directory_path() / "hatchfork-fleet-settings-test.toml").string();
  std::ofstream(file) << "name = \"g\"\nzone = \"z\"\naddress = \"127.0.0.1\"\ncontrol_port = 1\nstore_port = 2\n"
                         "seeds = [\"127.0.0.1:3\"]\ncallers = \"127.0.0.1:4\"\nreadiness = \"127.0.0.1:5\"\n"
                      << more;
  return readFleetSettings(file, ProcessRole::kGateway);
}

}  // namespace

TEST_CASE("decisions under load are made unless the settings switch them off", "[settings]") {
  const Result<FleetSettings> settings = readGateway("[load]\nengine_pace = false\n");
  REQUIRE(isOk(settings));
  CHECK_FALSE(valueOf(settings).load.engine_pace);
  CHECK(valueOf(settings).load.return_appointments);
}

TEST_CASE("a decision under load that nobody knows is refused with its name", "[settings]") {
  const Result<FleetSettings> settings = readGateway("[load]\nengine_speed = false\n");
  REQUIRE_FALSE(isOk(settings));
  CHECK(errorOf(settings).message.find("load.engine_speed") != std::string::npos);
}

TEST_CASE("a switch of a decision under load is true or false", "[settings]") {
  const Result<FleetSettings> settings = readGateway("[load]\nengine_pace = 1\n");
  REQUIRE_FALSE(isOk(settings));
  CHECK(errorOf(settings).message.find("load.engine_pace") != std::string::npos);
}
