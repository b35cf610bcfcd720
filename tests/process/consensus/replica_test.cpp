#include "process/consensus/replica.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "process/consensus/messages.hpp"
#include "tests/process/consensus/test_cluster.hpp"

namespace hatchfork::consensus {
namespace {

constexpr std::uint64_t kSeeds = 5;

template <class Alternative>
bool is(const RequestOutcome& outcome) {
  return std::holds_alternative<Alternative>(outcome.result);
}

TEST_CASE("a group of one forms, commits and reads alone", "[consensus]") {
  TestCluster cluster(1, 1);
  cluster.startAll();
  REQUIRE(cluster.write("a=1"));
  CHECK(is<ReadReady>(cluster.read(cluster.host(1))));
}

TEST_CASE("five replicas form a cluster, replicate and agree", "[consensus]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TestCluster cluster(seed);
    cluster.startAll();
    for (int i = 0; i < 50; ++i) REQUIRE(cluster.write("key" + std::to_string(i) + "=1"));
    cluster.run(1000);
    for (std::size_t number = 1; number <= 5; ++number) CHECK(cluster.machine(cluster.host(number)).count() == 50);
  }
}

TEST_CASE("a cluster forms whatever the order in which its members start", "[consensus][start]") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    TestCluster cluster(seed, 3);
    std::mt19937_64 random(seed);
    std::vector<std::pair<std::int64_t, std::size_t>> starts;
    for (std::size_t number = 1; number <= 3; ++number) starts.emplace_back(random() % 300, number);
    std::sort(starts.begin(), starts.end());
    std::int64_t now = 0;
    for (const auto& [at, number] : starts) {
      cluster.run(at - now);
      now = at;
      cluster.host(number).start();
    }
    cluster.run(4000);
    INFO("seed " << seed);
    REQUIRE(cluster.leader() != nullptr);
    REQUIRE(cluster.write("a=1"));
  }
}

TEST_CASE("replicas that stand still again and again still elect a leader", "[consensus][start]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TestCluster cluster(seed, 3);
    cluster.startAll();
    REQUIRE(cluster.write("a=1"));
    sim::ReplicaHost* former = cluster.leader();
    former->crash();
    // Each replica runs briefly between two stalls that are longer than a heartbeat interval.
    bool led = false;
    for (int step = 0; step < 100 && !led; ++step) {
      for (const auto& [name, host] : cluster.hosts()) {
        if (host->isUp()) host->freeze();
      }
      cluster.run(150);
      for (const auto& [name, host] : cluster.hosts()) {
        if (host->isUp()) host->thaw();
      }
      cluster.run(4);
      for (const auto& [name, host] : cluster.hosts()) {
        if (host->isUp() && host->group(0)->role() == Role::kLeader) led = true;
      }
    }
    INFO("seed " << seed);
    REQUIRE(led);
  }
}

/// Stops all members of a cluster that had a leader and writes, and restarts each at its own time within `spread_ms`,
/// except those in `absent`. Returns the time from the last start needed for a quorum until a leader has committed in
/// its term; in milliseconds, with the resolution of the cluster's tick.
std::int64_t restartAll(TestCluster& cluster, std::uint64_t seed, std::int64_t spread_ms,
                        const std::vector<sim::ReplicaHost*>& absent) {
  std::mt19937_64 random(seed);
  std::vector<std::pair<std::int64_t, sim::ReplicaHost*>> starts;
  for (const auto& [name, host] : cluster.hosts()) {
    host->crash();
    const bool is_absent = std::find(absent.begin(), absent.end(), host.get()) != absent.end();
    if (!is_absent) starts.emplace_back(spread_ms == 0 ? 0 : random() % spread_ms, host.get());
  }
  cluster.run(600);
  std::sort(starts.begin(), starts.end());
  const std::size_t quorum = cluster.hosts().size() / 2 + 1;
  std::int64_t now = 0;
  std::int64_t quorum_at = 0;
  const auto isLed = [&cluster] {
    return std::any_of(cluster.hosts().begin(), cluster.hosts().end(), [&cluster](const auto& entry) {
      return entry.second->isUp() && entry.second->group(0)->isConfirmedLeader(cluster.simulation.now());
    });
  };
  for (std::size_t started = 0; started < starts.size(); ++started) {
    while (now < starts[started].first) {
      if (started >= quorum && isLed()) return now - quorum_at;
      cluster.run(1);
      ++now;
    }
    starts[started].second->start();
    if (started + 1 == quorum) quorum_at = now;
  }
  while (!isLed() && now < 10000) {
    cluster.run(1);
    ++now;
  }
  return now - quorum_at;
}

std::int64_t percentile(std::vector<std::int64_t> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

constexpr std::uint64_t kRestartSeeds = 200;

TEST_CASE("after all members have ended and started, one leads without a full election timeout", "[consensus][start]") {
  const Timing timing{fromMillis(50), fromMillis(200)};
  for (const std::size_t size : {3, 5}) {
    for (const std::int64_t spread_ms : {0, 40, 150}) {
      std::vector<std::int64_t> waits;
      for (std::uint64_t seed = 1; seed <= kRestartSeeds; ++seed) {
        TestCluster cluster(seed, size, timing);
        cluster.startAll();
        REQUIRE(cluster.write("a=1"));
        cluster.run(300);
        waits.push_back(restartAll(cluster, seed, spread_ms, {}));
        INFO("seed " << seed << " size " << size << " spread " << spread_ms);
        REQUIRE(waits.back() < 1000);
        REQUIRE(cluster.write("b=2"));
        REQUIRE(cluster.machine(*cluster.leader()).values().at("a") == "1");
      }
      INFO("size " << size << " spread " << spread_ms << " median " << percentile(waits, 0.5) << " most "
                   << percentile(waits, 1.0));
      CHECK(percentile(waits, 0.5) < 100);
      CHECK(percentile(waits, 0.95) < 200);
    }
  }
}

TEST_CASE("where the last leader does not come back, or has lost its disk, another one leads soon",
          "[consensus][start]") {
  const Timing timing{fromMillis(50), fromMillis(200)};
  for (const bool loses_disk : {false, true}) {
    std::vector<std::int64_t> waits;
    for (std::uint64_t seed = 1; seed <= kRestartSeeds; ++seed) {
      TestCluster cluster(seed, 5, timing);
      cluster.startAll();
      REQUIRE(cluster.write("a=1"));
      cluster.run(300);
      sim::ReplicaHost* former = cluster.leader();
      if (loses_disk) former->loseDisk();
      waits.push_back(
          restartAll(cluster, seed, 40, loses_disk ? std::vector<sim::ReplicaHost*>{} : std::vector{former}));
      INFO("seed " << seed << " lost disk " << loses_disk);
      REQUIRE(waits.back() < 1500);
      REQUIRE(cluster.write("b=2"));
      REQUIRE(cluster.machine(*cluster.leader()).values().at("a") == "1");
    }
    INFO("lost disk " << loses_disk << " median " << percentile(waits, 0.5) << " most " << percentile(waits, 1.0));
    CHECK(percentile(waits, 0.5) < 180);
  }
}

TEST_CASE("members that start beside a live leader leave it and its term alone", "[consensus][start]") {
  const Timing timing{fromMillis(50), fromMillis(200)};
  for (std::uint64_t seed = 1; seed <= kRestartSeeds; ++seed) {
    TestCluster cluster(seed, 5, timing);
    cluster.startAll();
    REQUIRE(cluster.write("a=1"));
    cluster.run(300);
    sim::ReplicaHost* leading = cluster.leader();
    const Term term = leading->group(0)->term();
    std::vector<sim::ReplicaHost*> restarted;
    for (const auto& [name, host] : cluster.hosts()) {
      if (host.get() != leading && restarted.size() < 2) restarted.push_back(host.get());
    }
    for (sim::ReplicaHost* host : restarted) host->crash();
    cluster.run(static_cast<std::int64_t>(seed));
    for (sim::ReplicaHost* host : restarted) host->start();
    cluster.run(1500);
    INFO("seed " << seed);
    REQUIRE(cluster.leader() == leading);
    REQUIRE(leading->group(0)->term() == term);
  }
}

TEST_CASE("no cluster forms while one initial member is missing", "[consensus]") {
  TestCluster cluster(1);
  for (std::size_t number = 1; number <= 4; ++number) cluster.host(number).start();
  cluster.run(10000);
  for (std::size_t number = 1; number <= 4; ++number) CHECK_FALSE(cluster.host(number).group(0)->status().joined);
  cluster.host(5).start();
  CHECK(cluster.leader() != nullptr);
}

TEST_CASE("a write survives the loss of its leader", "[consensus]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TestCluster cluster(seed);
    cluster.startAll();
    REQUIRE(cluster.write("a=1"));
    cluster.leader()->crash();
    sim::ReplicaHost* next = cluster.leader();
    REQUIRE(next != nullptr);
    REQUIRE(is<ReadReady>(cluster.read(*next)));
    CHECK(cluster.machine(*next).values().at("a") == "1");
  }
}

TEST_CASE("a proposal at a follower is not run; one at a leader that was cut off is unknown", "[consensus]") {
  TestCluster cluster(1);
  cluster.startAll();
  sim::ReplicaHost* leader = cluster.leader();
  CHECK(is<NotLeader>(cluster.propose(*cluster.follower(), "a=1")));
  for (const auto& [name, host] : cluster.hosts()) cluster.simulation.network().cutBothWays(leader->name(), name.value);
  CHECK(is<OutcomeUnknown>(cluster.propose(*leader, "b=1")));
  CHECK_FALSE(is<ReadReady>(cluster.read(*leader)));
  CHECK_FALSE(leader->group(0)->isConfirmedLeader(cluster.simulation.now()));
}

TEST_CASE("a follower serves a fresh read through the leader", "[consensus]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TestCluster cluster(seed);
    cluster.startAll();
    sim::ReplicaHost* follower = cluster.follower();
    for (int i = 0; i < 20; ++i) {
      REQUIRE(cluster.write("a=" + std::to_string(i)));
      REQUIRE(is<ReadReady>(cluster.read(*follower)));
      CHECK(cluster.machine(*follower).values().at("a") == std::to_string(i));
    }
  }
}

TEST_CASE("a replica that was cut off for long raises no term when it is back", "[consensus]") {
  TestCluster cluster(1);
  cluster.startAll();
  sim::ReplicaHost* follower = cluster.follower();
  const Term before = cluster.leader()->group(0)->status().term;
  for (const auto& [name, host] : cluster.hosts())
    cluster.simulation.network().cutBothWays(follower->name(), name.value);
  cluster.run(60000);
  cluster.simulation.network().healAll();
  cluster.run(5000);
  CHECK(cluster.leader()->group(0)->status().term == before);
  CHECK(follower->group(0)->status().term == before);
}

TEST_CASE("leadership is handed over without an election timeout", "[consensus]") {
  TestCluster cluster(1);
  cluster.startAll();
  REQUIRE(cluster.write("a=1"));
  sim::ReplicaHost* leader = cluster.leader();
  leader->group(0)->transferLeadership(cluster.simulation.now());
  cluster.run(200);
  sim::ReplicaHost* next = cluster.leader();
  REQUIRE(next != nullptr);
  CHECK(next != leader);
}

TEST_CASE("a follower that fell behind the log is caught up by a snapshot in chunks", "[consensus]") {
  Timing timing;
  timing.snapshot_after_entries = 20;
  TestCluster cluster(1, 5, timing);
  cluster.startAll();
  sim::ReplicaHost* follower = cluster.follower();
  follower->crash();
  const std::string large(20000, 'x');
  for (int i = 0; i < 100; ++i) REQUIRE(cluster.write("key" + std::to_string(i) + "=" + large));
  CHECK(cluster.leader()->group(0)->status().first_log_index > 20);
  REQUIRE(isOk(follower->start()));
  cluster.run(5000);
  CHECK(cluster.machine(*follower).values().size() == 100);
}

TEST_CASE("a follower that is killed again and again while it takes up a snapshot serves in the end", "[consensus]") {
  constexpr std::uint64_t kSeeds = 20;
  constexpr int kKills = 10;
  Timing timing;
  timing.snapshot_after_entries = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    TestCluster cluster(seed, 5, timing);
    cluster.startAll();
    sim::ReplicaHost* follower = cluster.follower();
    follower->crash();
    // Large enough for several chunks and pieces.
    const std::string large(100'000, 'x');
    for (int i = 0; i < 45; ++i) REQUIRE(cluster.write("key" + std::to_string(i) + "=" + large));
    std::mt19937_64 random(seed);
    for (int kill = 0; kill < kKills; ++kill) {
      REQUIRE(isOk(follower->start()));
      cluster.run(static_cast<std::int64_t>(random() % 150));
      random() % 2 == 0 ? follower->kill() : follower->crash();
      REQUIRE(cluster.write("after" + std::to_string(kill) + "=1"));
    }
    REQUIRE(isOk(follower->start()));
    cluster.run(8000);
    CHECK(cluster.machine(*follower).values() == cluster.machine(*cluster.leader()).values());
  }
}

TEST_CASE("a snapshot goes on only as fast as the disk takes it", "[consensus]") {
  Timing timing;
  timing.snapshot_after_entries = 20;
  TestCluster cluster(1, 1, timing);
  cluster.startAll();
  const std::string large(100'000, 'x');
  for (int i = 0; i < 19; ++i) REQUIRE(cluster.write("key" + std::to_string(i) + "=" + large));
  sim::ReplicaHost& host = cluster.host(1);
  host.disk().setSyncLatency(fromMillis(1500));
  for (int i = 0; i < 5; ++i) REQUIRE(cluster.write("last=1"));
  cluster.run(1000);
  CHECK(host.group(0)->status().snapshot_bytes == 0);
  cluster.run(20'000);
  CHECK(host.group(0)->status().snapshot_bytes > 1'900'000);
  CHECK_FALSE(host.group(0)->hasFault());
}

TEST_CASE("members take their snapshots at different times", "[consensus]") {
  Timing timing;
  timing.snapshot_after_entries = 100;
  TestCluster cluster(1, 5, timing);
  cluster.startAll();
  for (int i = 0; i < 100; ++i) REQUIRE(cluster.write("key=" + std::to_string(i)));
  std::map<ReplicaId, LogIndex> first_seen;
  for (int i = 0; i < 40; ++i) {
    REQUIRE(cluster.write("key=" + std::to_string(i)));
    cluster.run(200);
    for (const auto& [name, host] : cluster.hosts()) {
      const GroupStatus status = host->group(0)->status();
      if (status.snapshot_bytes > 0) first_seen.emplace(name, status.applied);
    }
  }
  REQUIRE(first_seen.size() == cluster.hosts().size());
  std::set<LogIndex> moments;
  for (const auto& [name, index] : first_seen) moments.insert(index);
  CHECK(moments.size() > 1);
}

TEST_CASE("restart of all replicas keeps the state, and the log stays bounded", "[consensus]") {
  Timing timing;
  timing.snapshot_after_entries = 50;
  TestCluster cluster(1, 5, timing);
  cluster.startAll();
  for (int i = 0; i < 400; ++i) REQUIRE(cluster.write("key" + std::to_string(i % 7) + "=" + std::to_string(i)));
  for (const auto& [name, host] : cluster.hosts()) host->crash();
  cluster.startAll();
  REQUIRE(cluster.write("last=1"));
  const GroupStatus status = cluster.leader()->group(0)->status();
  CHECK(cluster.machine(*cluster.leader()).count() == 401);
  CHECK(status.last_log_index - status.first_log_index < 150);
}

TEST_CASE("a starting replica exposes unapplied log commands before it has a leader", "[consensus]") {
  TestCluster cluster(4);
  cluster.startAll();
  REQUIRE(cluster.write("a=1"));
  cluster.run(1000);
  for (const auto& [name, host] : cluster.hosts()) host->crash();
  sim::ReplicaHost& host = cluster.host(1);
  host.start();
  REQUIRE_FALSE(host.group(0)->leader().has_value());
  std::vector<std::string> held;
  host.group(0)->visitUnapplied([&held](std::string_view command) { held.emplace_back(command); });
  REQUIRE(held.size() == 1);
  REQUIRE(held.front().find("a=1") != std::string::npos);
}

TEST_CASE("a wiped replica stays out of the cluster until a membership change adds it, and then votes", "[consensus]") {
  TestCluster cluster(1);
  cluster.startAll();
  REQUIRE(cluster.write("a=1"));
  sim::ReplicaHost* lost = cluster.follower();
  const Incarnation former = lost->group(0)->status().incarnation;
  lost->loseDisk();
  REQUIRE(isOk(lost->start()));
  cluster.run(5000);
  CHECK_FALSE(lost->group(0)->status().joined);
  CHECK(lost->group(0)->status().incarnation != former);

  Membership target = cluster.leader()->group(0)->status().membership;
  for (Member& member : target.members) {
    if (member.id == lost->id()) member = Member{lost->id(), 0, true};
  }
  CHECK(is<MembershipRejected>(cluster.change(*cluster.leader(), target)));
  for (Member& member : target.members) {
    if (member.id == lost->id()) member.voter = false;
  }
  REQUIRE(is<Applied>(cluster.change(*cluster.leader(), target)));
  cluster.run(2000);
  CHECK(cluster.leader()->group(0)->status().caught_up_learners == std::vector<ReplicaId>{lost->id()});
  for (Member& member : target.members) member.voter = true;
  REQUIRE(is<Applied>(cluster.change(*cluster.leader(), target)));
  cluster.run(1000);
  CHECK(lost->group(0)->status().role == Role::kFollower);
  CHECK(cluster.machine(*lost).values().at("a") == "1");
}

TEST_CASE("a membership change that alters two members is refused", "[consensus]") {
  TestCluster cluster(1);
  cluster.startAll();
  sim::ReplicaHost* leader = cluster.leader();
  Membership target = leader->group(0)->status().membership;
  target.members.pop_back();
  target.members.pop_back();
  CHECK(is<MembershipRejected>(cluster.change(*leader, target)));
}

TEST_CASE("heartbeats and leadership outlast a slow disk", "[consensus]") {
  TestCluster cluster(1);
  cluster.startAll();
  REQUIRE(cluster.write("a=1"));
  sim::ReplicaHost* leader = cluster.leader();
  const Term term = leader->group(0)->status().term;
  for (const auto& [name, host] : cluster.hosts()) host->disk().setSyncLatency(fromMillis(3000));
  CHECK(is<Applied>(cluster.propose(*leader, "b=1")));
  CHECK(leader->group(0)->status().term == term);
}

// Guards against leaders that step down while their followers store entry after entry.
TEST_CASE("a leader whose entries are acknowledged stays in office while replies to heartbeats are late",
          "[consensus]") {
  TestCluster cluster(1);
  cluster.startAll();
  REQUIRE(cluster.write("a=1"));
  sim::ReplicaHost* leader = cluster.leader();
  const Term term = leader->group(0)->status().term;
  leader->setIncomingFilter([](const PeerMessage& message) {
    const Result<Envelope> envelope = decodeEnvelope(message.body);
    return !std::holds_alternative<HeartbeatReply>(valueOf(envelope).body);
  });
  for (int i = 0; i < 100; ++i) {
    leader->propose(0, "key=" + std::to_string(i), [](const RequestOutcome&) {});
    cluster.run(30);
  }
  CHECK(leader->group(0)->status().term == term);
  CHECK(leader->group(0)->role() == Role::kLeader);
  // Without entries and replies it is as good as cut off.
  cluster.run(2000);
  CHECK(leader->group(0)->status().term > term);
}

TEST_CASE("entries that arrive during a sync share the next one", "[consensus]") {
  TestCluster cluster(1, 1);
  cluster.startAll();
  REQUIRE(cluster.write("a=1"));
  sim::ReplicaHost& host = cluster.host(1);
  const std::uint64_t before = host.disk().syncCount();
  std::size_t applied = 0;
  for (int i = 0; i < 1000; ++i) {
    host.propose(0, "key=" + std::to_string(i),
                 [&](const RequestOutcome& outcome) { applied += is<Applied>(outcome); });
  }
  cluster.run(1000);
  CHECK(applied == 1000);
  CHECK(host.disk().syncCount() - before == 2);
}

TEST_CASE("a peer that lost acknowledged entries is probed once per heartbeat", "[consensus]") {
  TestCluster cluster(1);
  cluster.startAll();
  for (int i = 0; i < 20; ++i) REQUIRE(cluster.write("a=" + std::to_string(i)));
  sim::ReplicaHost* leader = cluster.leader();
  sim::ReplicaHost* peer = cluster.follower();
  sim::NetworkConditions repeating;
  repeating.duplication = 0.2;
  cluster.simulation.network().setConditions(repeating);
  // As if an old copy of the disk had been put back: the incarnation is the same, the entries are gone.
  peer->kill();
  peer->disk().wipeExcept("/replica");
  REQUIRE(isOk(peer->start()));
  REQUIRE(cluster.write("b=1"));
  const std::uint64_t before = cluster.simulation.network().sentCount();
  cluster.run(5000);
  // Heartbeats of five seconds to four peers and their answers are 400; each repeat of a probe adds two.
  CHECK(cluster.simulation.network().sentCount() - before < 800);
  CHECK(leader->group(0)->isConfirmedLeader(cluster.simulation.now()));
}

TEST_CASE("a replica whose disk fails stops taking part and says why", "[consensus]") {
  TestCluster cluster(1);
  cluster.startAll();
  sim::ReplicaHost* leader = cluster.leader();
  leader->disk().setSyncsFail(true);
  CHECK(is<OutcomeUnknown>(cluster.propose(*leader, "a=1")));
  REQUIRE(leader->fault(0));
  CHECK(leader->fault(0)->kind == ErrorKind::kStorageFailed);
  CHECK_FALSE(leader->fault(0)->remedy.empty());
  CHECK(is<NotLeader>(cluster.propose(*leader, "b=1")));
  CHECK(cluster.write("c=1"));
}

}  // namespace
}  // namespace hatchfork::consensus
