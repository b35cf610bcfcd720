#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "connection/asio.hpp"
#include "process/fleet/fleet_state.hpp"
#include "process/fleet/group_host.hpp"

namespace hatchfork::recorded {

/// A control group of one replica on the real disk. Also compiles with release 096a934.
class RecordedGroup {
 public:
  /// Entries between two snapshots, so that the folder holds a snapshot and a log.
  static constexpr std::uint64_t kSnapshotAfterEntries = 4;

  RecordedGroup(const std::string& folder, bool may_form)
      : host_(context_, options(folder, may_form), make(), adopt(), drop()) {
    started_ = isOk(host_.start());
  }

  /// False if the folder could not be used.
  bool started() const { return started_; }
  const fleet::FleetState& state() const { return *state_; }
  consensus::GroupStatus status() const { return host_.status(); }

  /// Runs until the replica leads and has applied all that its log holds; false if that takes too long.
  bool lead() {
    return runUntil([this] { return host_.isConfirmedLeader() && status().applied == status().last_log_index; });
  }
  /// True if the command is committed and applied.
  bool apply(const std::string& command) {
    bool done = false;
    bool applied = false;
    host_.propose(command, std::chrono::seconds(5), [&](const fleet::ProposalOutcome& outcome) {
      done = true;
      applied = outcome.result == fleet::ProposalResult::kApplied;
    });
    return runUntil([&] { return done; }) && applied;
  }
  void runFor(std::chrono::milliseconds time) { context_.run_for(time); }

 private:
  static fleet::GroupHostOptions options(const std::string& folder, bool may_form) {
    fleet::GroupHostOptions options;
    options.group = kConfigurationGroup;
    options.self = ReplicaId("10.0.0.1");
    options.data_folder = folder;
    options.formation_members = {ReplicaId("10.0.0.1")};
    options.may_form = may_form;
    options.timing.snapshot_after_entries = kSnapshotAfterEntries;
    return options;
  }
  fleet::GroupHost::MachineFactory make() {
    return [] { return std::make_unique<fleet::FleetState>(); };
  }
  fleet::GroupHost::MachineAdopter adopt() {
    return [this](consensus::StateMachine& machine) { state_ = static_cast<fleet::FleetState*>(&machine); };
  }
  static fleet::GroupHost::SendFunction drop() {
    return [](const ReplicaId&, const fleet::FleetMessage&) { return false; };
  }
  bool runUntil(const std::function<bool()>& condition) {
    const Instant give_up = connection::monotonicNow() + std::chrono::seconds(20);
    while (!condition()) {
      if (connection::monotonicNow() > give_up) return false;
      context_.run_for(std::chrono::milliseconds(5));
    }
    return true;
  }

  connection::asio::io_context context_;
  fleet::FleetState* state_ = nullptr;
  fleet::GroupHost host_;
  bool started_ = false;
};

}  // namespace hatchfork::recorded
