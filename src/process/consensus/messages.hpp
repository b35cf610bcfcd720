#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/codec.hpp"
#include "process/consensus/log_entry.hpp"
#include "process/consensus/replicated_group.hpp"
#include "version/release.hpp"

/// Messages between the replicas of one group. Each travels in an `Envelope` that names both incarnations.
namespace hatchfork::consensus {

/// Sent by replicas that belong to no cluster yet, and in reply to such a message. Forms new clusters and announces the
/// incarnation of an empty replica to the members of an old one.
struct Hello {
  static constexpr std::string_view kKind = "hello";
  /// True once the sender belongs to a cluster.
  bool formed = false;
  /// The initial membership that the sender has made durable; empty while the sender has agreed to none. A sender that
  /// forms a cluster agrees once it has received a hello from every other initial member, none of which belongs to a
  /// cluster yet.
  Membership pinned;
  bool answer_wanted = false;
  /// Of the sender. Releases before 4 leave it out.
  ReleaseNumber release = kUnknownRelease;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Hello, formed, pinned, answer_wanted, release)

struct VoteRequest {
  static constexpr std::string_view kKind = "vote_request";
  /// The term of the election: the envelope's term, or one more in a pre-vote.
  Term candidate_term = 0;
  LogIndex last_index = 0;
  Term last_term = 0;
  /// True to query whether a real vote would be granted; changes no state at the receiver.
  bool pre_vote = false;
  /// True if the leader itself requested this election, so a live leader is no reason to refuse.
  bool leadership_transfer = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VoteRequest, candidate_term, last_index, last_term, pre_vote, leadership_transfer)

struct VoteReply {
  static constexpr std::string_view kKind = "vote_reply";
  Term candidate_term = 0;
  bool pre_vote = false;
  bool granted = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VoteReply, candidate_term, pre_vote, granted)

/// Confirms leadership. Answered at once, also while the receiver's disk is slow.
struct Heartbeat {
  static constexpr std::string_view kKind = "heartbeat";
  /// Number of the sending round within the term.
  std::uint64_t round = 0;
  /// Commit index, limited to the last index that the receiver has acknowledged.
  LogIndex committed = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Heartbeat, round, committed)

struct HeartbeatReply {
  static constexpr std::string_view kKind = "heartbeat_reply";
  std::uint64_t round = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeartbeatReply, round)

struct AppendRequest {
  static constexpr std::string_view kKind = "append";
  LogIndex previous_index = 0;
  Term previous_term = 0;
  LogIndex committed = 0;
  std::vector<LogEntry> entries;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AppendRequest, previous_index, previous_term, committed, entries)

struct AppendReply {
  static constexpr std::string_view kKind = "append_reply";
  bool accepted = false;
  /// If accepted, every entry up to this index is synced and equal to the leader's; if refused, the leader retries
  /// after this index.
  LogIndex index = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AppendReply, accepted, index)

/// One piece of a snapshot file.
struct SnapshotChunk {
  static constexpr std::string_view kKind = "snapshot_chunk";
  LogIndex last_index = 0;
  Term last_term = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t offset = 0;
  std::string data;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotChunk, last_index, last_term, total_bytes, offset, data)

struct SnapshotChunkReply {
  static constexpr std::string_view kKind = "snapshot_chunk_reply";
  LogIndex last_index = 0;
  /// Offset that the receiver expects next.
  std::uint64_t next_offset = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotChunkReply, last_index, next_offset)

/// A follower's request for an index that covers everything committed before the request.
struct ReadIndexRequest {
  static constexpr std::string_view kKind = "read_index";
  /// Unique among all requests of the sender's incarnation, also across restarts.
  std::uint64_t number = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReadIndexRequest, number)

struct ReadIndexReply {
  static constexpr std::string_view kKind = "read_index_reply";
  std::uint64_t number = 0;
  LogIndex index = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReadIndexReply, number, index)

/// Instructs the most caught-up voter to start an election at once.
struct TimeoutNow {
  static constexpr std::string_view kKind = "timeout_now";
};
inline void to_json(nlohmann::json& json, const TimeoutNow&) {
  json = nlohmann::json::object();
}
inline void from_json(const nlohmann::json&, TimeoutNow&) {}

using MessageBody = std::variant<Hello, VoteRequest, VoteReply, Heartbeat, HeartbeatReply, AppendRequest, AppendReply,
                                 SnapshotChunk, SnapshotChunkReply, ReadIndexRequest, ReadIndexReply, TimeoutNow>;

/// Header and body of every message. A receiver ignores messages for another incarnation than its own.
struct Envelope {
  Incarnation from_incarnation = 0;
  /// Zero only in `Hello`.
  Incarnation to_incarnation = 0;
  Term term = 0;
  MessageBody body;
};

std::string encodeEnvelope(const Envelope& envelope);
/// Fails with `kProtocol` on malformed bytes.
Result<Envelope> decodeEnvelope(std::string_view bytes);

}  // namespace hatchfork::consensus
