// What the production release wrote is read by this one, and what this one writes holds all that the production release
// reads of it: fields are only added.
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "tests/recorded/hex.hpp"
#include "tests/recorded/recorded_group.hpp"
#include "tests/recorded/samples.hpp"

using namespace hatchfork;

namespace {

const std::filesystem::path kRecorded = HATCHFORK_RECORDED_FOLDER;
const std::vector<std::string> kReleases = {"096a934", "b62737f", "ac79f28", "6887e34", "5221c56", "b8c4691", "efeb190",
                                            "e5c8ec8", "b7cad76", "92f3d48", "133a008", "42c41c9", "f92b324"};

/// True if `now` says all that `before` says: its fields with their values, and entries of arrays at their positions.
bool holdsAll(const nlohmann::json& now, const nlohmann::json& before) {
  if (before.is_object()) {
    if (!now.is_object()) return false;
    for (const auto& [name, value] : before.items()) {
      if (!now.contains(name) || !holdsAll(now.at(name), value)) return false;
    }
    return true;
  }
  if (before.is_array()) {
    if (!now.is_array() || now.size() < before.size()) return false;
    for (std::size_t i = 0; i < before.size(); ++i) {
      if (!holdsAll(now.at(i), before.at(i))) return false;
    }
    return true;
  }
  return now == before;
}

std::map<std::string, recorded::Sample> samplesByName() {
  std::map<std::string, recorded::Sample> samples;
  for (recorded::Sample& sample : recorded::allSamples()) samples.emplace(sample.name, sample);
  return samples;
}

nlohmann::json decoded(std::string_view bytes) {
  const Result<nlohmann::json> json = decodeCbor(bytes);
  REQUIRE(isOk(json));
  return valueOf(json);
}

/// A copy of a recorded data folder that the test may change.
class FolderCopy {
 public:
  explicit FolderCopy(const std::filesystem::path& recorded) {
    path_ = std::filesystem::temp_directory_path() / ("hatchfork-recorded-" + std::to_string(::getpid()));
    std::filesystem::remove_all(path_);
    const auto files = recorded::readHexFile(recorded.string());
    REQUIRE_FALSE(files.empty());
    for (const auto& [name, bytes] : files) {
      std::filesystem::create_directories((path_ / name).parent_path());
      std::ofstream(path_ / name, std::ios::binary) << bytes;
    }
  }
  ~FolderCopy() { std::filesystem::remove_all(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

}  // namespace

TEST_CASE("What older releases wrote is read with all its values", "[upgrade][recorded]") {
  for (const std::string& release : kReleases) {
    const auto samples = samplesByName();
    const auto lines = recorded::readHexFile((kRecorded / release / "samples.txt").string());
    REQUIRE(lines.size() >= 60);
    for (const auto& [name, bytes] : lines) {
      INFO(release << " " << name);
      REQUIRE(samples.contains(name));
      const Result<nlohmann::json> read = samples.at(name).reread(bytes);
      REQUIRE(isOk(read));
      CHECK(holdsAll(valueOf(read), decoded(bytes)));
    }
  }
}

/// What the commands of a release, applied here one after the other, give as a state.
template <class Machine>
nlohmann::json stateAfter(const std::map<std::string, std::string>& lines, const std::string& name) {
  Machine machine;
  for (consensus::LogIndex index = 1; lines.contains(name + "_command." + std::to_string(index)); ++index) {
    machine.apply(index, lines.at(name + "_command." + std::to_string(index)));
  }
  return decoded(machine.snapshot());
}

TEST_CASE("The log of an older release gives the state that its snapshot gives", "[upgrade][recorded]") {
  for (const std::string& release : kReleases) {
    INFO(release);
    const auto lines = recorded::readHexFile((kRecorded / release / "samples.txt").string());
    CHECK(holdsAll(stateAfter<store::JobState>(lines, "jobs"), decoded(lines.at("jobs_snapshot"))));
    CHECK(holdsAll(stateAfter<fleet::FleetState>(lines, "fleet"), decoded(lines.at("fleet_snapshot"))));
  }
}

TEST_CASE("What this release writes holds all that older releases read", "[upgrade][recorded]") {
  for (const std::string& release : kReleases) {
    const auto lines = recorded::readHexFile((kRecorded / release / "samples.txt").string());
    for (const auto& [name, sample] : samplesByName()) {
      INFO(release << " " << name);
      const auto line = lines.find(name);
      if (line == lines.end()) continue;  // a format that came later
      CHECK(holdsAll(decoded(sample.bytes), decoded(line->second)));
    }
  }
}

TEST_CASE("Each kind of frame, request and command of this release has a sample", "[upgrade][recorded]") {
  const auto samples = samplesByName();
  const auto count = [&samples](const std::string& prefix) {
    return std::count_if(samples.begin(), samples.end(),
                         [&](const auto& entry) { return entry.first.rfind(prefix, 0) == 0; });
  };
  CHECK(count("frame.") == std::variant_size_v<fleet::FleetMessage>);
  CHECK(count("request.") == std::variant_size_v<store::StoreRequest>);
  CHECK(count("reply.") == std::variant_size_v<store::StoreReply>);
  CHECK(count("consensus.") == std::variant_size_v<consensus::MessageBody>);
  const auto kinds = [](const auto& commands) {
    std::set<std::size_t> kinds;
    for (const auto& command : commands) kinds.insert(command.index());
    return kinds.size();
  };
  CHECK(kinds(recorded::fleetCommands()) == std::variant_size_v<fleet::FleetCommand>);
  CHECK(kinds(recorded::jobCommands()) == std::variant_size_v<store::JobCommand>);
}

TEST_CASE("A replica opens the log and the snapshot of an older release and goes on", "[upgrade][recorded]") {
  for (const std::string& release : kReleases) {
    INFO(release);
    fleet::FleetState wanted;
    for (const fleet::FleetCommand& command : recorded::fleetCommands()) wanted.apply(1, encodeTagged(command));
    const FolderCopy folder(kRecorded / release / "replica_folder.txt");
    {
      recorded::RecordedGroup group(folder.path(), /*may_form=*/false);
      REQUIRE(group.started());
      CHECK(group.status().joined);
      REQUIRE(group.lead());
      CHECK(group.state().snapshot() == wanted.snapshot());
      fleet::PutDocument next;
      next.version = 5;
      next.document = "next";
      CHECK(group.apply(encodeTagged(fleet::FleetCommand(next))));
    }
    recorded::RecordedGroup again(folder.path(), /*may_form=*/false);
    REQUIRE(again.lead());
    CHECK(again.state().documentVersion() == 5);
  }
}

TEST_CASE("A command of a later release changes nothing and stops nobody", "[upgrade]") {
  const std::string later = encodeCbor({{"k", "of_a_later_release"}, {"b", {{"anything", 1}}}});
  fleet::FleetState control;
  const std::string before = control.snapshot();
  CHECK(control.apply(1, later) == "malformed");
  CHECK(control.snapshot() == before);
  store::JobState jobs;
  const std::string jobs_before = jobs.snapshot();
  CHECK(jobs.apply(1, later) == "malformed");
  CHECK(jobs.snapshot() == jobs_before);
}
