#include <utility>

#include "common/log.hpp"
#include "process/consensus/replica.hpp"

// Elections, leadership and its loss.
namespace hatchfork::consensus {
namespace {

/// Election timeouts without a quorum after which a stalled leader steps down; also the silence of a leader after which
/// a stalled follower no longer waits for its heartbeats.
constexpr int kMaxStalledTimeouts = 3;
/// Heartbeat intervals after a stall during which it is taken into account.
constexpr int kStallHeartbeatIntervals = 2;
/// Election timeouts after a start during which a replica starts pre-votes without waiting for a full timeout.
constexpr int kStartupElectionTimeouts = 2;
/// Divides the heartbeat interval to give the first pause between early pre-votes; the pause doubles each time. Votes
/// are requested and granted within a few milliseconds, even with a slow disk.
constexpr int kStartupPreVotesPerInterval = 2;

}  // namespace

void Replica::resetElectionDeadline() {
  const Duration timeout = options_.timing.election_timeout;
  std::uniform_int_distribution<Duration::rep> extra(0, timeout.count() - 1);
  election_deadline_ = now_ + timeout + Duration(extra(random_));
}

bool Replica::wasLastLeader() const {
  const bool voted_for_self = record_.voted_for == self_.id && record_.voted_for_incarnation == self_.incarnation;
  return voted_for_self && log_->lastTerm() == record_.term;
}

void Replica::scheduleStartupElection() {
  if (!record_.joined || !isSelfVoter()) return;
  const Duration pause = options_.timing.heartbeat_interval / kStartupPreVotesPerInterval;
  startup_election_ = StartupElection{now_, pause, now_ + kStartupElectionTimeouts * options_.timing.election_timeout};
  // The other replicas leave the first pre-vote to the last leader, and leave a live leader time for a heartbeat.
  if (!wasLastLeader()) postponeStartupPreVote(options_.timing.heartbeat_interval);
  logEvent(LogLevel::kInfo, "start_call_planned",
           {{"group", options_.group},
            {"term", record_.term},
            {"led_last", wasLastLeader()},
            {"in_ms", toMillis(startup_election_->next - now_)}});
}

void Replica::postponeStartupPreVote(Duration pause) {
  if (!startup_election_) return;
  std::uniform_int_distribution<Duration::rep> extra(0, pause.count());
  startup_election_->next = std::max(startup_election_->next, now_ + pause + Duration(extra(random_)));
}

void Replica::tickStartupElection() {
  if (!startup_election_ || now_ < startup_election_->next) return;
  if (now_ >= startup_election_->until) {
    startup_election_.reset();
    return;
  }
  postponeStartupPreVote(startup_election_->pause);
  startup_election_->pause *= 2;
  startPreVote();
}

void Replica::tickElection() {
  if (!isSelfVoter()) return;
  tickStartupElection();
  if (now_ < election_deadline_) return;
  // While this replica applies a long log, received heartbeats may be unread.
  if (applied_ < committed_ && hasRecentLeaderMessage()) return;
  startPreVote();
}

bool Replica::hasLiveLeader() const {
  if (role_ == Role::kLeader) return true;
  if (leader_last_received_at_ == Instant::min()) return false;
  return now_ < leader_last_received_at_ + options_.timing.election_timeout;
}

void Replica::startPreVote() {
  role_ = Role::kCandidate;
  leader_.reset();
  pre_vote_running_ = true;
  votes_ = {self_};
  resetElectionDeadline();
  if (quorumSize(membership()) == 1) {
    startElection(/*leadership_transfer=*/false);
    return;
  }
  requestVotes(/*pre_vote=*/true, /*leadership_transfer=*/false);
}

void Replica::startElection(bool leadership_transfer) {
  role_ = Role::kCandidate;
  leader_.reset();
  pending_acknowledgement_.reset();
  pre_vote_running_ = false;
  votes_ = {self_};
  resetElectionDeadline();
  // Votes are being counted. A split vote is repeated after this pause, not after a full timeout.
  postponeStartupPreVote(options_.timing.heartbeat_interval);
  ++record_.term;
  record_.voted_for = self_.id;
  record_.voted_for_incarnation = self_.incarnation;
  if (!saveRecord()) return;
  if (quorumSize(membership()) == 1) {
    becomeLeader();
    return;
  }
  requestVotes(/*pre_vote=*/false, leadership_transfer);
}

void Replica::requestVotes(bool pre_vote, bool leadership_transfer) {
  VoteRequest request;
  request.candidate_term = pre_vote ? record_.term + 1 : record_.term;
  request.last_index = log_->lastIndex();
  request.last_term = log_->lastTerm();
  request.pre_vote = pre_vote;
  request.leadership_transfer = leadership_transfer;
  for (const Identity& peer : peers()) {
    if (isVoter(membership(), peer)) send(peer, request);
  }
}

bool Replica::isLogUpToDate(const VoteRequest& request) const {
  if (request.last_term != log_->lastTerm()) return request.last_term > log_->lastTerm();
  return request.last_index >= log_->lastIndex();
}

void Replica::handle(const Identity& from, const Envelope&, const VoteRequest& request) {
  const bool disturbs = hasLiveLeader() && !request.leadership_transfer;
  VoteReply reply{request.candidate_term, request.pre_vote, false};
  if (request.pre_vote) {
    reply.granted = !disturbs && request.candidate_term > record_.term && isLogUpToDate(request);
    send(from, reply);
    handleStartupPreVote(from, request, reply.granted);
    return;
  }
  if (request.candidate_term > record_.term) {
    if (disturbs) return;
    becomeFollower(request.candidate_term, std::nullopt);
    if (fault_) return;
  }
  if (request.candidate_term == record_.term && isLogUpToDate(request)) {
    const bool unused = record_.voted_for.empty();
    const bool same = record_.voted_for == from.id && record_.voted_for_incarnation == from.incarnation;
    reply.granted = unused || same;
    if (unused) {
      record_.voted_for = from.id;
      record_.voted_for_incarnation = from.incarnation;
      if (!saveRecord()) return;
      resetElectionDeadline();
      postponeStartupPreVote(options_.timing.heartbeat_interval);
    }
  }
  send(from, reply);
}

void Replica::handleStartupPreVote(const Identity& from, const VoteRequest& request, bool granted) {
  const auto progress = progress_.find(from);
  if (role_ == Role::kLeader && progress != progress_.end()) {
    // The sender has just started, or was cut off: inform it of its leader now, not at the next heartbeat.
    send(from, Heartbeat{round_, std::min(committed_, progress->second.match)});
    return;
  }
  if (!startup_election_ || hasLiveLeader()) return;
  if (granted) {
    postponeStartupPreVote(startup_election_->pause);
  } else if (!isLogUpToDate(request) && !pre_vote_running_ && role_ != Role::kCandidate) {
    // The sender cannot lead, since it lacks entries that this replica holds.
    startup_election_->next = std::min(startup_election_->next, now_);
  }
}

void Replica::handle(const Identity& from, const Envelope&, const VoteReply& reply) {
  if (role_ != Role::kCandidate || reply.pre_vote != pre_vote_running_ || !reply.granted) return;
  const Term asked = pre_vote_running_ ? record_.term + 1 : record_.term;
  if (reply.candidate_term != asked || !isVoter(membership(), from)) return;
  votes_.insert(from);
  if (votes_.size() < quorumSize(membership())) return;
  if (pre_vote_running_) {
    startElection(/*leadership_transfer=*/false);
  } else {
    becomeLeader();
  }
}

void Replica::handle(const Identity&, const Envelope&, const TimeoutNow&) {
  if (role_ == Role::kLeader || !isSelfVoter()) return;
  startElection(/*leadership_transfer=*/true);
}

void Replica::becomeFollower(Term term, std::optional<Identity> leader, std::string_view cause) {
  if (role_ == Role::kLeader) leaveLeadership(cause);
  role_ = Role::kFollower;
  leader_ = std::move(leader);
  pre_vote_running_ = false;
  votes_.clear();
  if (term <= record_.term) return;
  pending_acknowledgement_.reset();
  leader_last_received_at_ = Instant::min();
  record_.term = term;
  record_.voted_for = ReplicaId();
  record_.voted_for_incarnation = 0;
  saveRecord();
}

void Replica::becomeLeader() {
  startup_election_.reset();
  logEvent(LogLevel::kInfo, "leadership_won", {{"group", options_.group}, {"term", record_.term}});
  role_ = Role::kLeader;
  leader_ = self_;
  elected_at_ = now_;
  pending_acknowledgement_.reset();
  incoming_.reset();
  transfer_.reset();
  progress_.clear();
  rounds_.clear();
  round_ = 0;
  last_read_round_ = 0;
  followMembership();
  leadership_index_ = appendOwnEntry(EntryKind::kLeadership, "");
  if (role_ == Role::kLeader) sendHeartbeatRound();
}

void Replica::leaveLeadership(std::string_view cause) {
  const Instant confirmed = std::max(quorumHeardAt(), elected_at_);
  logEvent(LogLevel::kInfo, "leadership_lost",
           {{"group", options_.group},
            {"term", record_.term},
            {"cause", cause},
            {"confirmed_ms_ago", toMillis(now_ - confirmed)},
            {"resumed_ms_ago", resumed_at_ == Instant::min() ? -1 : toMillis(now_ - resumed_at_)},
            {"log_entries_ahead", log_->lastIndex() - committed_}});
  role_ = Role::kFollower;
  leader_.reset();
  // The entries are in the log: a later leader may commit them or not.
  for (const auto& [index, request] : std::exchange(proposals_, {})) finish(request, OutcomeUnknown{});
  for (const LeaderRead& read : std::exchange(leader_reads_, {})) {
    if (!read.requester) finish(read.number, NotLeader{});
  }
  progress_.clear();
  transfer_.reset();
  resetElectionDeadline();
}

Instant Replica::quorumConfirmedAt() const {
  return quorumValue(now_, Instant::min(), [](const Progress& progress) { return progress.confirmed_at; });
}

Instant Replica::quorumHeardAt() const {
  return quorumValue(now_, Instant::min(),
                     [](const Progress& progress) { return std::max(progress.confirmed_at, progress.appended_at); });
}

void Replica::checkQuorum() {
  const Instant confirmed = std::max(quorumHeardAt(), elected_at_);
  const Duration timeout = options_.timing.election_timeout;
  if (now_ < confirmed + timeout) return;
  // Replies of the quorum may be unread, here or at equally busy peers, but only for a bounded time.
  if (isStalled() && now_ < confirmed + kMaxStalledTimeouts * timeout) return;
  becomeFollower(record_.term, std::nullopt, "no_quorum");
}

bool Replica::hasRecentLeaderMessage() const {
  const Duration max_silence = kMaxStalledTimeouts * options_.timing.election_timeout;
  return leader_last_received_at_ != Instant::min() && now_ < leader_last_received_at_ + max_silence;
}

bool Replica::isStalled() const {
  const bool stalled_lately = resumed_at_ != Instant::min() &&
                              now_ < resumed_at_ + kStallHeartbeatIntervals * options_.timing.heartbeat_interval;
  return stalled_lately || applied_ < committed_;
}

void Replica::detectOwnStall() {
  const bool stalled = ticked_at_ != Instant{} && now_ - ticked_at_ >= options_.timing.heartbeat_interval;
  ticked_at_ = now_;
  if (!stalled) return;
  resumed_at_ = now_;
  // Heartbeats of a leader heard from recently may be unread as well. Without that bound, a replica that stalls
  // repeatedly would never request votes.
  if (role_ == Role::kLeader || !hasRecentLeaderMessage()) return;
  election_deadline_ = std::max(election_deadline_, now_ + options_.timing.heartbeat_interval);
}

void Replica::transferLeadership(Instant now) {
  now_ = now;
  if (role_ != Role::kLeader || fault_) return;
  std::optional<Identity> best;
  for (const auto& [peer, progress] : progress_) {
    if (!isVoter(membership(), peer)) continue;
    if (!best || progress.match > progress_.at(*best).match) best = peer;
  }
  if (!best) return;
  transfer_ = Transfer{*best, now_ + options_.timing.election_timeout, false};
  tryTransfer();
}

void Replica::tryTransfer() {
  if (!transfer_ || transfer_->sent) return;
  const auto progress = progress_.find(transfer_->target);
  if (progress == progress_.end() || progress->second.match < log_->lastIndex()) return;
  // Waiting proposals get their outcome here first.
  if (committed_ < log_->lastIndex()) return;
  transfer_->sent = true;
  send(transfer_->target, TimeoutNow{});
}

void Replica::tickTransfer() {
  if (transfer_ && now_ >= transfer_->deadline) transfer_.reset();
}

}  // namespace hatchfork::consensus
