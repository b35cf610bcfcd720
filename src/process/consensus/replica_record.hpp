#pragma once

#include <optional>
#include <string>

#include "common/result.hpp"
#include "process/consensus/replicated_group.hpp"
#include "process/storage/disk.hpp"

namespace hatchfork::consensus {

/// State that a replica must keep durable besides its log; stored in one small file that is replaced atomically.
struct ReplicaRecord {
  Incarnation incarnation = 0;
  /// Number of times this folder was opened; keeps request numbers unique across restarts.
  std::uint64_t boots = 0;
  Term term = 0;
  /// The replica that received this replica's vote in `term`; empty if none did.
  ReplicaId voted_for;
  Incarnation voted_for_incarnation = 0;
  /// True once the replica belongs to a cluster; then it never forms another one.
  bool joined = false;
  /// The initial membership that this replica agreed to. Written once, never changed.
  Membership pinned;
  /// True if the folder was formatted while the cluster could still be formed.
  bool may_form = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReplicaRecord, incarnation, boots, term, voted_for,
                                                voted_for_incarnation, joined, pinned, may_form)

/// Reads the record below `folder`; absent only if the folder holds no file at all. Files without a record are
/// `kStorageCorrupt`: the vote of the replica is lost.
Result<std::optional<ReplicaRecord>> loadReplicaRecord(Disk& disk, const std::string& folder);
/// Durable on return.
Status saveReplicaRecord(Disk& disk, const std::string& folder, const ReplicaRecord& record);

}  // namespace hatchfork::consensus
