#include "process/consensus/membership_plan.hpp"

#include <catch2/catch.hpp>

#include "process/consensus/membership.hpp"
#include "process/consensus/messages.hpp"
#include "tests/process/consensus/test_cluster.hpp"

using namespace hatchfork;
using namespace hatchfork::consensus;

namespace {

Member voter(const std::string& id, Incarnation incarnation = 1) {
  return Member{ReplicaId(id), incarnation, true};
}
Member learner(const std::string& id, Incarnation incarnation = 1) {
  return Member{ReplicaId(id), incarnation, false};
}
PeerHealth healthy(const std::string& id) {
  return PeerHealth{ReplicaId(id), 1, Duration::zero(), true};
}
PeerHealth silent(const std::string& id, std::int64_t milliseconds) {
  return PeerHealth{ReplicaId(id), 1, fromMillis(milliseconds), false};
}

/// Three voters a, b, c, of which a leads.
MembershipPlanInput threeVoters() {
  MembershipPlanInput input;
  input.current.members = {voter("a"), voter("b"), voter("c")};
  input.self = ReplicaId("a");
  input.peers = {healthy("b"), healthy("c")};
  return input;
}

const Member* find(const std::optional<Membership>& target, const std::string& id) {
  return target ? findMember(*target, ReplicaId(id)) : nullptr;
}

}  // namespace

TEST_CASE("a whole group needs no change", "[plan]") {
  REQUIRE_FALSE(planMembershipChange(threeVoters()));
}

TEST_CASE("a silent voter stays while nobody can take its place", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.peers = {healthy("b"), silent("c", 60000)};
  REQUIRE_FALSE(planMembershipChange(input));
}

TEST_CASE("a newcomer becomes a learner, then a voter, then the lost voter goes", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.peers = {healthy("b"), silent("c", 3000)};
  input.candidates = {Candidate{ReplicaId("d"), 7, false}};
  auto target = planMembershipChange(input);
  REQUIRE(find(target, "d"));
  REQUIRE_FALSE(find(target, "d")->voter);
  input.current = *target;
  input.candidates.clear();
  input.peers.push_back(PeerHealth{ReplicaId("d"), 7, Duration::zero(), false});
  REQUIRE_FALSE(planMembershipChange(input));
  input.peers.back().caught_up = true;
  target = planMembershipChange(input);
  REQUIRE(find(target, "d")->voter);
  REQUIRE(find(target, "c"));
  input.current = *target;
  target = planMembershipChange(input);
  REQUIRE_FALSE(find(target, "c"));
  input.current = *target;
  REQUIRE_FALSE(planMembershipChange(input));
}

TEST_CASE("an emptied voter becomes a learner of its new incarnation at once", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.peers = {healthy("b"), silent("c", 500)};
  input.candidates = {Candidate{ReplicaId("c"), 9, false}};
  const auto target = planMembershipChange(input);
  REQUIRE(find(target, "c")->incarnation == 9);
  REQUIRE_FALSE(find(target, "c")->voter);
}

TEST_CASE("a late announcement of a former self changes nothing while the present one answers", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.candidates = {Candidate{ReplicaId("c"), 9, false}};
  REQUIRE_FALSE(planMembershipChange(input));
}

TEST_CASE("a replica of a release that can't apply all commands is not added", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.least_release = 4;
  input.peers = {healthy("b"), silent("c", 3000)};
  input.candidates = {Candidate{ReplicaId("d"), 7, true, 3}};
  REQUIRE_FALSE(planMembershipChange(input));
  input.candidates.push_back(Candidate{ReplicaId("e"), 7, false, 4});
  const auto target = planMembershipChange(input);
  REQUIRE(find(target, "e"));
  REQUIRE_FALSE(find(target, "d"));
}

TEST_CASE("an emptied voter does not come back with an older release", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.least_release = 4;
  input.peers = {healthy("b"), silent("c", 500)};
  input.candidates = {Candidate{ReplicaId("c"), 9, false, kUnknownRelease}};
  REQUIRE_FALSE(planMembershipChange(input));
  input.candidates = {Candidate{ReplicaId("c"), 9, false, 4}};
  REQUIRE(find(planMembershipChange(input), "c")->incarnation == 9);
}

TEST_CASE("an announcement of an older release tells none", "[plan]") {
  nlohmann::json sent = Hello{true, {}, false, 4};
  REQUIRE(sent.get<Hello>().release == 4);
  sent.erase("release");
  REQUIRE(sent.get<Hello>().release == kUnknownRelease);
}

TEST_CASE("an emptied voter is not replaced where that would leave no quorum", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.peers = {silent("b", 2000), silent("c", 2000)};
  input.candidates = {Candidate{ReplicaId("c"), 9, false}};
  REQUIRE_FALSE(planMembershipChange(input));
}

TEST_CASE("a retiring voter goes only after its successor holds everything", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.retiring = {ReplicaId("b")};
  REQUIRE_FALSE(planMembershipChange(input));
  input.current.members.push_back(learner("d"));
  input.peers.push_back(healthy("d"));
  auto target = planMembershipChange(input);
  REQUIRE(find(target, "d")->voter);
  input.current = *target;
  target = planMembershipChange(input);
  REQUIRE_FALSE(find(target, "b"));
  input.current = *target;
  input.candidates = {Candidate{ReplicaId("b"), 1, true}};
  REQUIRE_FALSE(planMembershipChange(input));
}

TEST_CASE("the leader itself is the last to be chosen when one voter is too many", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.current.members.push_back(voter("d"));
  input.peers.push_back(healthy("d"));
  const auto target = planMembershipChange(input);
  REQUIRE(find(target, "a")->voter);
  REQUIRE(std::count_if(target->members.begin(), target->members.end(), [](const Member& m) { return m.voter; }) == 3);
}

TEST_CASE("learners grow a group to its wanted size", "[plan]") {
  MembershipPlanInput input = threeVoters();
  input.target_voters = 5;
  input.candidates = {Candidate{ReplicaId("d"), 1, false}, Candidate{ReplicaId("e"), 1, false}};
  REQUIRE(planMembershipChange(input)->members.size() == 4);
  REQUIRE(wantedVoters(5, 7) == 5);
  REQUIRE(wantedVoters(6, 7) == 5);
  REQUIRE(wantedVoters(9, 7) == 7);
  REQUIRE(wantedVoters(1, 7) == 3);
}

namespace {

/// A simulated cluster whose leader plans its own membership, as `GroupHost` does.
class SelfManagedCluster {
 public:
  explicit SelfManagedCluster(std::uint64_t seed) : cluster(seed, 3) { cluster.startAll(); }

  /// Runs the cluster; at every interval the leader, if there is one, plans a change.
  void run(std::int64_t milliseconds) {
    for (std::int64_t passed = 0; passed < milliseconds; passed += plan_interval_ms) {
      plan();
      cluster.run(plan_interval_ms);
    }
  }

  Membership membership() { return cluster.leader()->group(0)->status().membership; }

  TestCluster cluster;
  std::set<ReplicaId> retiring;
  std::int64_t plan_interval_ms = 100;
  /// Mutation: counts the silence of a learner from an earlier election, although it was added later.
  bool counts_silence_from_election = false;

 private:
  void plan() {
    const Instant now = cluster.simulation.now();
    for (const auto& [name, host] : cluster.hosts()) {
      if (!host->isUp() || host->isFrozen() || !host->group(0)->isConfirmedLeader(now)) continue;
      const GroupStatus status = host->group(0)->status();
      if (!status.membership_committed) continue;
      MembershipPlanInput input;
      input.current = status.membership;
      input.self = name;
      input.peers = host->group(0)->peerHealth(now);
      input.candidates = host->group(0)->candidates(now);
      input.retiring = retiring;
      input.target_voters = 3;
      if (counts_silence_from_election) {
        for (PeerHealth& peer : input.peers) {
          const Member* member = findMember(input.current, peer.id);
          if (member != nullptr && !member->voter) peer.silent_for = fromMillis(60000);
        }
      }
      if (const auto target = planMembershipChange(input)) {
        host->changeMembership(0, *target, [](const RequestOutcome&) {});
      }
    }
  }
};

std::size_t votersOf(const Membership& membership) {
  return static_cast<std::size_t>(std::count_if(membership.members.begin(), membership.members.end(),
                                                [](const Member& member) { return member.voter; }));
}

}  // namespace

TEST_CASE("a wiped voter comes back as a voter without an operator", "[plan][sim]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SelfManagedCluster managed(seed);
    REQUIRE(managed.cluster.write("a=1"));
    sim::ReplicaHost* lost = managed.cluster.follower();
    const Incarnation before = lost->group(0)->status().incarnation;
    lost->crash();
    lost->loseDisk();
    managed.run(300);
    lost->start();
    managed.run(4000);
    const Membership membership = managed.membership();
    REQUIRE(votersOf(membership) == 3);
    for (const Member& member : membership.members) REQUIRE(member.incarnation != before);
    REQUIRE(managed.cluster.write("b=2"));
  }
}

TEST_CASE("a member that counts as silent before it was added never comes back", "[plan][sim][mutation]") {
  SelfManagedCluster managed(1);
  managed.counts_silence_from_election = true;
  // Shorter than a new learner needs to catch up.
  managed.plan_interval_ms = 20;
  REQUIRE(managed.cluster.write("a=1"));
  sim::ReplicaHost* lost = managed.cluster.follower();
  lost->crash();
  lost->loseDisk();
  managed.run(300);
  lost->start();
  managed.run(4000);
  REQUIRE(votersOf(managed.membership()) < 3);
}

TEST_CASE("a lost machine is replaced by one at another address", "[plan][sim]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SelfManagedCluster managed(seed);
    for (int i = 0; i < 10; ++i) REQUIRE(managed.cluster.write("key" + std::to_string(i) + "=1"));
    sim::ReplicaHost* lost = managed.cluster.follower();
    const ReplicaId gone = lost->id();
    lost->crash();
    managed.run(1000);
    const ReplicaId newcomer("control-9");
    managed.cluster.addHost(newcomer);
    managed.cluster.hosts().at(newcomer)->start();
    managed.run(6000);
    const Membership membership = managed.membership();
    INFO("seed " << seed << " gone " << gone.value << " membership " << nlohmann::json(membership).dump());
    REQUIRE(votersOf(membership) == 3);
    REQUIRE(findMember(membership, gone) == nullptr);
    REQUIRE(findMember(membership, newcomer)->voter);
    REQUIRE(managed.cluster.write("last=1"));
    REQUIRE(managed.cluster.machine(*managed.cluster.hosts().at(newcomer)).values().size() >= 10);
  }
}

TEST_CASE("a retiring voter leaves once its successor is a voter", "[plan][sim]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SelfManagedCluster managed(seed);
    REQUIRE(managed.cluster.write("a=1"));
    const ReplicaId newcomer("control-9");
    managed.cluster.addHost(newcomer);
    managed.cluster.hosts().at(newcomer)->start();
    managed.retiring = {ReplicaId("control-1")};
    managed.run(4000);
    const Membership membership = managed.membership();
    REQUIRE(findMember(membership, ReplicaId("control-1")) == nullptr);
    REQUIRE(votersOf(membership) == 3);
    REQUIRE(managed.cluster.write("b=2"));
  }
}

TEST_CASE("all without power and one disk gone: nothing is lost", "[plan][sim]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SelfManagedCluster managed(seed);
    for (int i = 0; i < 10; ++i) REQUIRE(managed.cluster.write("key" + std::to_string(i) + "=1"));
    sim::ReplicaHost* emptied = seed % 2 == 0 ? managed.cluster.leader() : managed.cluster.follower();
    for (const auto& [name, host] : managed.cluster.hosts()) host->crash();
    emptied->loseDisk();
    for (const auto& [name, host] : managed.cluster.hosts()) host->start();
    managed.run(6000);
    REQUIRE(votersOf(managed.membership()) == 3);
    REQUIRE(managed.cluster.write("last=1"));
    REQUIRE(managed.cluster.machine(*managed.cluster.leader()).values().size() == 11);
  }
}

TEST_CASE("all killed at once come back as they were", "[plan][sim]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SelfManagedCluster managed(seed);
    REQUIRE(managed.cluster.write("a=1"));
    const Membership before = managed.membership();
    for (const auto& [name, host] : managed.cluster.hosts()) host->kill();
    managed.run(500);
    for (const auto& [name, host] : managed.cluster.hosts()) host->start();
    managed.run(3000);
    REQUIRE(managed.membership() == before);
    REQUIRE(managed.cluster.write("b=2"));
  }
}

TEST_CASE("a second loss right after the repair loses nothing", "[plan][sim]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SelfManagedCluster managed(seed);
    for (int i = 0; i < 20; ++i) REQUIRE(managed.cluster.write("key" + std::to_string(i) + "=1"));
    for (int round = 0; round < 3; ++round) {
      sim::ReplicaHost* lost = managed.cluster.follower();
      lost->crash();
      lost->loseDisk();
      managed.run(300);
      lost->start();
      managed.run(4500);
      INFO("seed " << seed << " round " << round << " lost " << lost->name() << " membership "
                   << nlohmann::json(managed.membership()).dump());
      REQUIRE(votersOf(managed.membership()) == 3);
    }
    REQUIRE(managed.cluster.write("last=1"));
    REQUIRE(managed.cluster.machine(*managed.cluster.leader()).values().size() == 21);
  }
}
