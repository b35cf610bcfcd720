#include <algorithm>
#include <utility>

#include "common/codec.hpp"
#include "common/log.hpp"
#include "process/consensus/replica.hpp"

// Forming of a new cluster, and changes of the membership.
namespace hatchfork::consensus {
namespace {

/// Heartbeat intervals between announcements of a replica without a cluster.
constexpr int kHelloIntervals = 2;
/// Mean interval of the announcements that a contact receives, however many replicas announce themselves.
constexpr Duration kHelloSpacing = fromMillis(4);
/// Election timeouts between announcements of a member without a leader.
constexpr int kLeaderlessHelloTimeouts = 2;
/// Election timeouts for which an announcement is valid.
constexpr int kCandidateTimeouts = 6;
/// Minimum validity of an announcement, in announcement intervals.
constexpr int kHellosOfCandidate = 3;

Error changeRefused(std::string message, std::string remedy) {
  return Error{ErrorKind::kUnavailable, std::move(message), std::move(remedy), Executed::kNo, fromMillis(1000)};
}

}  // namespace

void Replica::tickFormation() {
  if (now_ >= next_hello_) {
    next_hello_ = now_ + helloInterval();
    announceToContacts();
  }
  pinInitialMembership();
  joinIfAgreed();
}

/// A member without a leader for long may have been removed while it was away: announces it, so that it is added again.
void Replica::tickWithoutLeader() {
  if (hasLiveLeader() || now_ < next_hello_) return;
  next_hello_ = now_ + kLeaderlessHelloTimeouts * options_.timing.election_timeout;
  announceToContacts();
}

void Replica::announceToContacts() {
  for (const ReplicaId& id : contacts_) {
    if (id != self_.id) announce(id, /*answer_wanted=*/true);
  }
}

void Replica::setContacts(std::vector<ReplicaId> contacts, std::size_t announcers) {
  contacts_ = std::move(contacts);
  announcers_ = announcers;
}

Duration Replica::helloInterval() const {
  return std::max(kHelloIntervals * options_.timing.heartbeat_interval,
                  static_cast<Duration::rep>(announcers_) * kHelloSpacing);
}

void Replica::formWith(Instant now, const Membership& initial) {
  now_ = now;
  const bool named = findMember(initial, self_) != nullptr;
  if (fault_ || record_.joined || !named || !record_.pinned.members.empty()) return;
  record_.pinned = initial;
  joinCluster();
}

std::vector<Candidate> Replica::candidates(Instant now) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, heard] : announcements_) {
    const Duration lifetime =
        std::max(kCandidateTimeouts * options_.timing.election_timeout, kHellosOfCandidate * helloInterval());
    const bool recent = now < heard.received_at + lifetime;
    const bool is_member = findMember(membership(), Identity{id, heard.incarnation}) != nullptr;
    if (recent && !is_member) candidates.push_back(Candidate{id, heard.incarnation, heard.formed, heard.release});
  }
  return candidates;
}

std::vector<PeerHealth> Replica::peerHealth(Instant now) const {
  std::vector<PeerHealth> peers;
  const std::vector<Identity> learners = caughtUpLearners();
  for (const auto& [peer, progress] : progress_) {
    const Instant confirmed = std::max(progress.confirmed_at, progress.added_at);
    const bool learner_ready = std::find(learners.begin(), learners.end(), peer) != learners.end();
    const bool voter_ready = isVoter(membership(), peer) && progress.match >= committed_;
    peers.push_back(PeerHealth{peer.id, peer.incarnation, now - confirmed, learner_ready || voter_ready});
  }
  return peers;
}

void Replica::announce(const ReplicaId& to, bool answer_wanted) {
  send(Identity{to, 0}, Hello{record_.joined, record_.pinned, answer_wanted, kThisRelease});
}

void Replica::handle(const Identity& from, const Envelope&, const Hello& hello) {
  announcements_[from.id] = Announcement{from.incarnation, hello.formed, hello.pinned, now_, hello.release};
  if (hello.answer_wanted) announce(from.id, /*answer_wanted=*/false);
  if (record_.joined) return;
  discardObsoleteAgreement(hello);
  pinInitialMembership();
  joinIfAgreed();
}

/// Discards this replica's agreement once a cluster has formed by another one: the members of that cluster will never
/// join by this agreement, so this replica is a new candidate there.
void Replica::discardObsoleteAgreement(const Hello& hello) {
  if (!hello.formed || record_.pinned.members.empty() || hello.pinned == record_.pinned) return;
  record_.pinned = Membership();
  saveRecord();
}

/// Agrees to an initial membership once all initial members have answered from empty folders.
void Replica::pinInitialMembership() {
  const auto& initial = options_.initial_members;
  if (!record_.may_form) return;
  if (!record_.pinned.members.empty() || std::find(initial.begin(), initial.end(), self_.id) == initial.end()) return;
  Membership pinned;
  for (const ReplicaId& id : initial) {
    Member member{id, self_.incarnation, true};
    if (id != self_.id) {
      const auto heard = announcements_.find(id);
      if (heard == announcements_.end() || heard->second.formed) return;
      member.incarnation = heard->second.incarnation;
    }
    pinned.members.push_back(member);
  }
  std::sort(pinned.members.begin(), pinned.members.end(),
            [](const Member& left, const Member& right) { return left.id < right.id; });
  record_.pinned = pinned;
  saveRecord();
}

/// Joins once all initial members have made the same membership durable, or one of them has already joined by it. A
/// member agrees only once, so no two clusters with overlapping incarnations can form.
void Replica::joinIfAgreed() {
  if (fault_ || record_.pinned.members.empty()) return;
  bool all_agree = true;
  bool one_acts = false;
  for (const Member& member : record_.pinned.members) {
    if (member.id == self_.id) continue;
    const auto heard = announcements_.find(member.id);
    const bool agrees = heard != announcements_.end() && heard->second.pinned == record_.pinned &&
                        heard->second.incarnation == member.incarnation;
    all_agree = all_agree && agrees;
    one_acts = one_acts || (agrees && heard->second.formed);
  }
  if (all_agree || one_acts) joinCluster();
}

void Replica::joinCluster() {
  record_.joined = true;
  if (!saveRecord()) return;
  memberships_.reset(0, record_.pinned);
  resetElectionDeadline();
  logEvent(LogLevel::kInfo, "cluster_joined",
           {{"group", options_.group}, {"incarnation", self_.incarnation}, {"voter", isSelfVoter()}});
  // This replica's agreement may be the only one that the other members still wait for.
  for (const Identity& peer : peers()) announce(peer.id, /*answer_wanted=*/false);
}

Membership Replica::resolveIncarnations(const Membership& target) const {
  Membership resolved = target;
  for (Member& member : resolved.members) {
    if (member.incarnation != 0) continue;
    const Member* present = findMember(membership(), member.id);
    if (present != nullptr) member.incarnation = present->incarnation;
    const auto heard = announcements_.find(member.id);
    const bool waits = heard != announcements_.end() && !heard->second.formed;
    if (waits && !member.voter) member.incarnation = heard->second.incarnation;
  }
  return resolved;
}

std::vector<Identity> Replica::caughtUpLearners() const {
  std::vector<Identity> learners;
  for (const auto& [peer, progress] : progress_) {
    const bool recent =
        progress.confirmed_at != Instant::min() && now_ < progress.confirmed_at + options_.timing.election_timeout;
    if (!isVoter(membership(), peer) && recent && progress.match >= committed_) learners.push_back(peer);
  }
  return learners;
}

void Replica::changeMembership(Instant now, RequestNumber request, const Membership& target) {
  now_ = now;
  if (fault_ || role_ != Role::kLeader || transfer_) {
    finish(request, NotLeader{leaderName()});
    return;
  }
  if (!hasCommittedInTerm() || memberships_.latestIndex() > committed_) {
    finish(request, MembershipRejected{changeRefused("an earlier membership change is not committed yet",
                                                     "wait a second, then retry")});
    return;
  }
  Membership resolved = resolveIncarnations(target);
  const Status checked = checkMembershipChange(membership(), resolved, caughtUpLearners());
  if (!isOk(checked)) {
    finish(request, MembershipRejected{errorOf(checked)});
    return;
  }
  proposals_[log_->lastIndex() + 1] = request;
  appendOwnEntry(EntryKind::kMembership, encodeStruct(resolved));
  followMembership();
}

/// Makes the leader's table of peers follow the latest membership.
void Replica::followMembership() {
  if (role_ != Role::kLeader) return;
  std::map<Identity, Progress> progress;
  for (const Identity& peer : peers()) {
    const auto known = progress_.find(peer);
    if (known != progress_.end()) {
      progress[peer] = known->second;
      continue;
    }
    Progress fresh;
    fresh.startProbe(now_);
    fresh.added_at = now_;
    fresh.next = log_->lastIndex() + 1;
    progress[peer] = fresh;
  }
  for (const auto& [peer, dropped] : progress_) {
    // An announcement from before its removal is no request to be added again.
    if (!progress.contains(peer)) announcements_.erase(peer.id);
  }
  progress_ = std::move(progress);
}

}  // namespace hatchfork::consensus
