#include <utility>

#include "process/consensus/replica.hpp"

// Linearizable reads by read index.
namespace hatchfork::consensus {
namespace {

/// Heartbeat intervals after which a follower repeats its request to the leader; it gives up after as many election
/// timeouts.
constexpr int kAskAgainIntervals = 2;
constexpr int kGiveUpTimeouts = 2;

}  // namespace

void Replica::read(Instant now, RequestNumber request) {
  now_ = now;
  if (fault_ || !record_.joined || !leader_) {
    finish(request, NotLeader{leaderName()});
    return;
  }
  if (role_ == Role::kLeader) {
    leader_reads_.push_back(LeaderRead{std::nullopt, request, 0, 0});
    return;
  }
  const std::uint64_t number = next_read_number_++;
  FollowerRead& read = follower_reads_[number];
  read.request = request;
  read.deadline = now_ + kGiveUpTimeouts * options_.timing.election_timeout;
  requestReadIndex(number, read);
}

void Replica::requestReadIndex(std::uint64_t number, FollowerRead& read) {
  read.resend_at = now_ + kAskAgainIntervals * options_.timing.heartbeat_interval;
  if (leader_ && role_ != Role::kLeader) send(*leader_, ReadIndexRequest{number});
}

void Replica::handle(const Identity& from, const Envelope&, const ReadIndexRequest& request) {
  if (role_ != Role::kLeader || !progress_.contains(from)) return;
  leader_reads_.push_back(LeaderRead{from, request.number, 0, 0});
}

void Replica::scheduleLeaderReads() {
  if (!hasCommittedInTerm()) return;
  bool round_wanted = false;
  for (LeaderRead& read : leader_reads_) {
    if (read.round == 0) {
      read.index = committed_;
      read.round = round_ + 1;
    }
    round_wanted = round_wanted || read.round > round_;
  }
  // One round of reads at a time: reads that arrive meanwhile share the next round.
  const std::uint64_t acknowledged =
      quorumValue<std::uint64_t>(round_, 0, [](const Progress& progress) { return progress.acknowledged_round; });
  if (!round_wanted || acknowledged < last_read_round_) return;
  sendHeartbeatRound();
  last_read_round_ = round_;
}

void Replica::completeLeaderReads() {
  if (role_ != Role::kLeader) return;
  const std::uint64_t acknowledged =
      quorumValue<std::uint64_t>(round_, 0, [](const Progress& progress) { return progress.acknowledged_round; });
  while (!leader_reads_.empty()) {
    const LeaderRead& read = leader_reads_.front();
    if (read.round == 0 || read.round > acknowledged) return;
    // A requesting follower waits for its own state machine.
    if (!read.requester && read.index > applied_) return;
    if (read.requester) {
      send(*read.requester, ReadIndexReply{read.number, read.index});
    } else {
      finish(read.number, ReadReady{});
    }
    leader_reads_.pop_front();
  }
}

void Replica::handle(const Identity&, const Envelope&, const ReadIndexReply& reply) {
  const auto found = follower_reads_.find(reply.number);
  if (found == follower_reads_.end()) return;
  found->second.index = reply.index;
  completeFollowerReads();
}

void Replica::completeFollowerReads() {
  for (auto read = follower_reads_.begin(); read != follower_reads_.end();) {
    if (read->second.index && *read->second.index <= applied_) {
      finish(read->second.request, ReadReady{});
      read = follower_reads_.erase(read);
    } else {
      ++read;
    }
  }
}

void Replica::tickFollowerReads() {
  for (auto read = follower_reads_.begin(); read != follower_reads_.end();) {
    if (now_ >= read->second.deadline) {
      finish(read->second.request, NotLeader{leaderName()});
      read = follower_reads_.erase(read);
      continue;
    }
    if (!read->second.index && now_ >= read->second.resend_at) requestReadIndex(read->first, read->second);
    ++read;
  }
}

void Replica::failReads() {
  for (const auto& [number, read] : std::exchange(follower_reads_, {})) finish(read.request, NotLeader{});
}

}  // namespace hatchfork::consensus
