// Writes the bytes of each sample, and the data folder of a replica, as the release that this is built with writes
// them. Built by tools/record_formats.sh; usage: record FOLDER.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "hex.hpp"
#include "recorded_group.hpp"
#include "samples.hpp"

using namespace hatchfork;

int main(int, char** arguments) {
  const std::filesystem::path out(arguments[1]);
  std::filesystem::create_directories(out);
  std::ofstream samples(out / "samples.txt");
  for (const recorded::Sample& sample : recorded::allSamples()) {
    recorded::appendHexLine(samples, sample.name, sample.bytes);
  }
  const std::filesystem::path data = std::filesystem::temp_directory_path() / "hatchfork-recorded-group";
  std::filesystem::remove_all(data);
  {
    recorded::RecordedGroup group(data.string(), /*may_form=*/true);
    if (!group.started() || !group.lead()) return 1;
    for (const fleet::FleetCommand& command : recorded::fleetCommands()) {
      if (!group.apply(encodeTagged(command))) return 1;
    }
    group.runFor(std::chrono::milliseconds(500));
  }
  std::ofstream folder(out / "replica_folder.txt");
  for (const auto& entry : std::filesystem::recursive_directory_iterator(data)) {
    if (!entry.is_regular_file()) continue;
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    recorded::appendHexLine(folder, std::filesystem::relative(entry.path(), data).string(), bytes);
  }
  std::filesystem::remove_all(data);
  return 0;
}
