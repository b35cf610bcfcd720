#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "process/batch/batch_state_machine.hpp"
#include "process/batch/item_leases.hpp"
#include "process/configuration/configuration_state_machine.hpp"
#include "process/consensus/replicated_group.hpp"
#include "process/control/control_messages.hpp"
#include "process/control/fleet_view.hpp"
#include "process/control/gateway_registry.hpp"
#include "process/storage/disk.hpp"

namespace hatchfork::control {

struct ControlServiceOptions {
  ReplicaId self;
  std::vector<ReplicaId> initial_members;
  /// Batch groups, numbered from 1.
  std::uint32_t batch_groups = 2;
  consensus::Timing timing;
  /// Length of a gateway's configuration lease. An accepted change is in force everywhere, or refused work, after it.
  Duration configuration_lease = fromMillis(2000);
  Duration item_lease = fromMillis(5000);
  /// A request without an outcome after this long is answered as unknown (proposals) or unavailable (reads).
  Duration request_timeout = fromMillis(3000);
  /// Checks a policy program before its change is proposed; returns the refusal. Empty: no check.
  std::function<Status(const Policy&)> check_policy;
  std::uint64_t random_seed = 1;
};

/// One control replica: its replicated groups, the soft state of the groups that it leads, and the answers to requests
/// of gateways and operators. Free of I/O except for the `Disk`, so the program and the simulator run the same code.
/// The driver calls `tick` every 10 ms, and `drain` after every call and after every sync callback of the disk.
/// Threading: control thread only.
class ControlService {
 public:
  using ReplyHandler = std::function<void(ControlReply)>;
  using ReadHandler = std::function<void(Status)>;

  static Result<std::unique_ptr<ControlService>> open(ControlServiceOptions options, Disk& disk, Instant now);

  void tick(Instant now);
  void receivePeer(Instant now, const consensus::PeerMessage& message);
  void receiveAnnouncement(Instant now, const GatewayAnnouncement& announcement);
  /// Answers exactly once, now or later. `group` names the group the request is for; a group that is not hosted here is
  /// `kInvalidArgument`.
  void handle(Instant now, GroupId group, ControlRequest request, ReplyHandler reply);
  /// Calls back with success once the state machines of `group` at this replica are at least as fresh as this call.
  void readFresh(Instant now, GroupId group, ReadHandler done);
  /// Operators' membership change of one group; replies `ApplyChangeReply` or `ErrorReply`.
  void changeMembership(Instant now, GroupId group, const consensus::Membership& target, ReplyHandler reply);
  /// Hands over every leadership held here; for planned stops.
  void transferLeadership(Instant now);

  /// Runs the outcomes that are ready and returns the messages to send to other replicas.
  std::vector<consensus::PeerMessage> drain(Instant now);
  /// This replica's announcement, to be sent to the other replicas about every second.
  GatewayAnnouncement announcement() const;

  std::vector<consensus::GroupStatus> status() const;
  std::vector<GatewaySighting> gateways(Instant now) const { return registry_.list(now); }
  /// SHA-256 over the whole replicated state of a group; replicas that have applied equally far hold equal digests.
  /// Empty for a group that is not hosted here.
  std::string stateDigest(GroupId group) const;
  /// Sealed, unfinished jobs of all groups as this replica knows them, in the order in which each group took them.
  std::vector<batch::JobStatus> runningJobs() const;
  const ConfigurationStateMachine& configuration() const { return *configuration_; }
  const FleetView& fleet() const { return fleet_; }
  /// Takes the platform's list of leaving engines, to be told to gateways.
  void setLeavingEngines(std::vector<EngineId> leaving) { fleet_.setLeaving(std::move(leaving)); }
  const ControlServiceOptions& options() const { return options_; }
  /// True while this replica leads the group, a quorum has confirmed it lately, and its state holds all that earlier
  /// leaders committed.
  bool leads(GroupId group, Instant now) const;
  /// True while some group is led here.
  bool leadsAny(Instant now) const;

 private:
  struct Pending {
    /// Set for requests of gateways.
    std::optional<ControlRequest> request;
    ReplyHandler reply;
    ReadHandler read;
    bool is_read = false;
    Instant deadline;
  };

  struct Group {
    std::unique_ptr<consensus::ReplicatedGroup> replica;
    /// Null for group 0.
    batch::BatchStateMachine* batch = nullptr;
    /// Present while this replica leads the group.
    std::optional<batch::ItemLeases> leases;
    consensus::Term leases_term = 0;
    std::map<consensus::RequestNumber, Pending> pending;
  };

  ControlService(ControlServiceOptions options);

  Status openGroup(GroupId group, Disk& disk, Instant now);
  std::optional<Error> checkChange(const ApplyChangeRequest& request) const;
  void propose(Instant now, Group& group, ControlRequest request, ReplyHandler reply);
  void startRead(Instant now, Group& group, Pending pending);
  void finish(Instant now, Group& group, const consensus::RequestOutcome& outcome);
  ControlReply answerRead(Instant now, Group& group, const ControlRequest& request);
  ControlReply renewConfiguration(Instant now, const RenewConfigurationRequest& request);
  std::vector<GroupId> busyGroups() const;
  ConfigurationDelta configurationFor(const RenewConfigurationRequest& request);
  void timeOutPending(Instant now, Group& group);
  void maintainLeases(Instant now, Group& group);
  ErrorReply notLeader(const Group& group) const;

  ControlServiceOptions options_;
  std::map<GroupId, Group> groups_;
  ConfigurationStateMachine* configuration_ = nullptr;
  /// Encoded pages for gateways that start; of a revision that the kept changes reach back to.
  std::optional<ConfigurationPages> pages_;
  GatewayRegistry registry_;
  FleetView fleet_;
  consensus::RequestNumber last_request_ = 0;
};

}  // namespace hatchfork::control
