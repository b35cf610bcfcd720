#pragma once

#include <vector>

#include "tests/recorded/consensus_samples.hpp"
#include "tests/recorded/frame_samples.hpp"
#include "tests/recorded/state_samples.hpp"

/// One value of each format that crosses processes or restarts, with all fields of this release. `record.cc` writes
/// their bytes; a release is recorded with the samples of its own checkout.
namespace hatchfork::recorded {

inline std::vector<Sample> allSamples() {
  std::vector<Sample> all;
  Samples<fleet::FleetMessage> frames("frame");
  addControlFrames(frames);
  addStoreFrames(frames);
  addStreamFrames(frames);
  addLoadFrames(frames);
  addRunFrames(frames);
  addTakeOverFrames(frames);
  frames.moveTo(all);
  EngineChanges changes;
  changes.is_whole = true;
  changes.present = {engine("i-1")};
  changes.present.front().build = EngineBuild("v1");
  changes.removed = {EngineId("i-22")};
  all.push_back({"engine_changes", encodeStruct(changes), rereadStruct<EngineChanges>});
  addStoreCalls(all);
  addStateMachine<fleet::FleetState>(all, "fleet", fleetCommands());
  addStateMachine<store::JobState>(all, "jobs", jobCommands());
  addConsensus(all);
  return all;
}

}  // namespace hatchfork::recorded
