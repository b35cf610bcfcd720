#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/sim/simulated_disk.hpp"
#include "bench/sim/simulation.hpp"
#include "process/consensus/replicated_group.hpp"

namespace hatchfork::sim {

using consensus::ReplicatedGroup;
using consensus::RequestOutcome;
using MachineFactory = std::function<std::unique_ptr<consensus::StateMachine>(GroupId)>;
using OutcomeCallback = std::function<void(const RequestOutcome&)>;

struct ReplicaHostOptions {
  ReplicaId id;
  std::vector<ReplicaId> initial_members;
  std::uint32_t groups = 1;
  consensus::Timing timing;
};

/// A simulated control machine: one disk, one process with a replica of every group, driven as the program drives them.
/// Hosts find each other through the `peer` function.
class ReplicaHost {
 public:
  using PeerLookup = std::function<ReplicaHost*(const ReplicaId&)>;

  ReplicaHost(Simulation& simulation, ReplicaHostOptions options, MachineFactory factory, PeerLookup peer);

  /// Starts the process. Returns the error of the first group that cannot be opened; then the process is not up.
  Status start();
  /// The process ends; what it wrote without a sync stays with the operating system.
  void kill();
  /// The machine goes down; what was not synced may be lost.
  void crash();
  /// The machine goes down and its disk is lost: it comes back empty.
  void loseDisk();
  /// The process is paused: nothing runs, messages and callbacks wait.
  void freeze();
  /// The process goes on as if nothing had happened.
  void thaw();

  bool isUp() const { return up_; }
  bool isFrozen() const { return frozen_; }
  const ReplicaId& id() const { return options_.id; }
  const std::string& name() const { return options_.id.value; }
  SimulatedDisk& disk() { return disk_; }
  /// Null while down.
  ReplicatedGroup* group(GroupId group);
  consensus::StateMachine* machine(GroupId group);
  const consensus::GroupStatus& lastStatus(GroupId group) const { return last_status_.at(group); }
  std::optional<Error> fault(GroupId group) const;

  /// Calls of this machine's own driver; `done` runs at most once, never after the process has ended.
  void propose(GroupId group, std::string command, OutcomeCallback done);
  void read(GroupId group, OutcomeCallback done);
  void changeMembership(GroupId group, const consensus::Membership& target, OutcomeCallback done);

  /// Drops the incoming messages for which the filter returns false.
  void setIncomingFilter(std::function<bool(const consensus::PeerMessage&)> filter) { filter_ = std::move(filter); }

  /// Runs `work` in the process: now, after the pause while frozen, or never if the process ends before.
  void run(std::function<void()> work);
  /// Counts processes of this machine; work of an earlier one must not touch a later one.
  std::uint64_t epoch() const { return epoch_; }

 private:
  struct Slot {
    std::unique_ptr<ReplicatedGroup> group;
    consensus::StateMachine* machine = nullptr;
    std::map<consensus::RequestNumber, OutcomeCallback> waiting;
  };

  void endProcess();
  void tickLater();
  void drain(GroupId group);
  void drainAll();
  void deliver(const consensus::PeerMessage& message);

  Simulation& simulation_;
  ReplicaHostOptions options_;
  MachineFactory factory_;
  PeerLookup peer_;
  std::function<bool(const consensus::PeerMessage&)> filter_;
  SimulatedDisk disk_;
  std::vector<Slot> slots_;
  std::map<GroupId, consensus::GroupStatus> last_status_;
  std::vector<std::function<void()>> backlog_;
  consensus::RequestNumber next_request_ = 1;
  std::uint64_t epoch_ = 0;
  bool up_ = false;
  bool frozen_ = false;
};

}  // namespace hatchfork::sim
