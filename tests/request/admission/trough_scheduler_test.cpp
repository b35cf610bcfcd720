#include "request/admission/trough_scheduler.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include "request/admission/preemption_choice.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

const ServiceId kService("s");
const ZoneId kZoneA("a");
const ZoneId kZoneB("b");

Instant at(double seconds) {
  return Instant{} + std::chrono::hours(1) + Duration(static_cast<Duration::rep>(seconds * 1e6));
}

/// Load factor of a cycle of 5.8 s: low for 3.4 s, high for 2.4 s, with a mean of one.
double loadFactorAt(double second) {
  return std::fmod(second, 5.8) < 3.4 ? 0.38 : 1.87;
}

struct Outcome {
  int items = 0;
  int late = 0;
  int preempted = 0;
  /// Online requests that found neither a free slot nor a run to preempt.
  int online_without_slot = 0;
};

struct Scenario {
  double slots_per_zone = 160;
  /// Mean share of all slots that online requests use.
  double online_share = 0.31;
  double jobs_per_second = 2.3;
  double length = 60;
  /// Time in seconds from which preempted runs count: a load cycle can be detected only after it has been observed.
  double counts_from_seconds = 15;
  /// Time in seconds at which the leader is replaced and the learned state is lost.
  double leader_replaced_at = 1e9;
  /// Factor on the job rate for four seconds.
  double burst = 1;
};

/// Replays two zones with online requests that occupy a slot for 0.7 s and come in load cycles, and jobs of ten items
/// of five seconds each that are due in 18 s.
class Replay {
 public:
  Replay(Scenario scenario, bool by_slack, std::uint64_t seed)
      : scenario_(scenario), by_slack_(by_slack), random_(seed) {}

  Outcome play() {
    const double step = 0.01;
    for (double second = 0; second < scenario_.length + 20; second += step) {
      const Instant now = at(second);
      if (second >= scenario_.leader_replaced_at) {
        trough_ = TroughScheduler();
        scenario_.leader_replaced_at = 1e9;
      }
      for (auto& [zone, state] : zones_) std::erase_if(state.online, [now](Instant end) { return end <= now; });
      endRuns(now);
      if (second < scenario_.length) arrive(second, step);
      if (std::fmod(second, 0.05) < step) report(now);
      begin(now);
    }
    return outcome_;
  }

 private:
  struct Item {
    Instant due;
    Duration left;
    Instant not_before{};
    std::uint64_t events = 0;
    double pressing = 0;
  };
  struct Run {
    Item item;
    Instant begun;
    Instant end;
  };
  struct Zone {
    std::vector<Instant> online;
    std::vector<Run> runs;
  };

  double freeSlotsOf(const Zone& zone) const {
    return scenario_.slots_per_zone - static_cast<double>(zone.online.size() + zone.runs.size());
  }

  void arrive(double second, double step) {
    const Instant now = at(second);
    const double per_second = scenario_.online_share * 2 * scenario_.slots_per_zone / 0.7 * loadFactorAt(second);
    std::poisson_distribution<int> online(per_second * step);
    for (int left = online(random_); left > 0; --left) {
      Zone& zone = zones_[left % 2 == 0 ? kZoneA : kZoneB];
      if (freeSlotsOf(zone) < 1) preempt(now, zone);
      if (freeSlotsOf(zone) < 1) ++outcome_.online_without_slot;
      std::exponential_distribution<double> held(1 / 0.2);
      zone.online.push_back(now + fromMillis(500 + static_cast<std::int64_t>(1000 * held(random_))));
    }
    const bool in_burst = second > 20 && second < 24;
    std::poisson_distribution<int> jobs(scenario_.jobs_per_second * step * (in_burst ? scenario_.burst : 1));
    std::normal_distribution<double> seconds(5, 1.2);
    for (int left = jobs(random_); left > 0; --left) {
      for (int i = 0; i < 10; ++i) {
        const double whole = std::clamp(seconds(random_), 2.0, 8.0);
        waiting_.push_back(
            {now + std::chrono::seconds(18), Duration(static_cast<Duration::rep>(whole * 1e6)), Instant{}, 0});
        ++outcome_.items;
      }
    }
  }

  Duration expected(const Item& item) const {
    // Run lengths are not known: each item is taken for a whole run of five seconds, less its progress.
    return std::max(fromMillis(750), fromMillis(5000) - fromMillis(33 * static_cast<std::int64_t>(item.events)));
  }

  void endRuns(Instant now) {
    for (auto& [id, zone] : zones_) {
      for (const Run& run : zone.runs) {
        if (run.end <= now && run.end > run.item.due) ++outcome_.late;
      }
      std::erase_if(zone.runs, [now](const Run& run) { return run.end <= now; });
    }
  }

  std::uint64_t eventsOf(const Run& run, Instant now) const {
    return run.item.events + static_cast<std::uint64_t>((now - run.begun) / fromMillis(33));
  }

  void preempt(Instant now, Zone& zone) {
    std::vector<PreemptionCandidate> candidates;
    for (const Run& run : zone.runs) {
      Item item = run.item;
      item.events = eventsOf(run, now);
      candidates.push_back({item.events, true, {item.due, expected(item)}});
    }
    const auto chosen = choosePreemption(now, candidates, fromMillis(10), fromMillis(5000));
    if (!chosen) return;
    Run run = zone.runs[*chosen];
    zone.runs.erase(zone.runs.begin() + static_cast<std::ptrdiff_t>(*chosen));
    run.item.events = eventsOf(run, now);
    run.item.left = run.end - now;
    run.item.not_before = now + fromMillis(200);
    waiting_.push_back(run.item);
    if (now >= at(scenario_.counts_from_seconds)) ++outcome_.preempted;
  }

  void report(Instant now) {
    std::map<ZoneId, ZoneLoad> loads;
    std::vector<RunInFlight> runs;
    for (auto& [id, zone] : zones_) {
      loads[id] = ZoneLoad{scenario_.slots_per_zone, static_cast<double>(zone.online.size())};
      for (const Run& run : zone.runs) {
        Item item = run.item;
        item.events = eventsOf(run, now);
        runs.push_back({kService, id, expected(item)});
      }
    }
    std::stable_sort(waiting_.begin(), waiting_.end(), [&](const Item& left, const Item& right) {
      return precedes(now, {left.due, expected(left)}, {right.due, expected(right)});
    });
    std::vector<WaitingItem> waiting;
    for (const Item& item : waiting_) waiting.push_back({kService, {item.due, expected(item)}});
    trough_.noteLoad(now, kService, loads);
    const std::vector<double> pressing = trough_.plan(now, runs, waiting, fromMillis(5000));
    for (std::size_t i = 0; i < pressing.size(); ++i) waiting_[i].pressing = pressing[i];
  }

  std::optional<ZoneId> zoneFor(Instant now, const Item& item) {
    // Slots are kept free for surges, fewer the more urgent the item is.
    const double urgency = urgencyOf(now, {item.due, expected(item)}, fromMillis(5000));
    const double kept_free = scenario_.slots_per_zone / 8 * (1 - urgency);
    ZoneId zone = freeSlotsOf(zones_[kZoneA]) >= freeSlotsOf(zones_[kZoneB]) ? kZoneA : kZoneB;
    if (by_slack_) {
      const TroughVerdict verdict = trough_.judge(kService, expected(item), item.pressing, std::nullopt);
      if (!verdict.begins) return std::nullopt;
      zone = verdict.zone;
    }
    if (freeSlotsOf(zones_[zone]) < 1 + kept_free) return std::nullopt;
    return zone;
  }

  void begin(Instant now) {
    for (std::size_t i = 0; i < waiting_.size();) {
      const Item item = waiting_[i];
      const auto zone = item.not_before > now ? std::nullopt : zoneFor(now, item);
      if (!zone) {
        ++i;
        continue;
      }
      waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
      zones_[*zone].runs.push_back({item, now, now + item.left});
      trough_.noteBegun({kService, *zone, expected(item)});
    }
  }

  Scenario scenario_;
  bool by_slack_;
  std::mt19937_64 random_;
  std::map<ZoneId, Zone> zones_;
  std::deque<Item> waiting_;
  TroughScheduler trough_;
  Outcome outcome_;
};

Outcome play(const Scenario& scenario, bool by_slack, std::uint64_t seed) {
  return Replay(scenario, by_slack, seed).play();
}

}  // namespace

TEST_CASE(
    "scheduling by slack beside periodic load preempts batch a third as often, and delays no item or online request",
    "[admission][trough]") {
  int preempted_before = 0;
  int preempted_after = 0;
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Outcome before = play({}, false, seed);
    const Outcome after = play({}, true, seed);
    INFO("seed " << seed << ": " << after.items << " items, preempted " << before.preempted << " before, "
                 << after.preempted << " after");
    CHECK(after.late == 0);
    CHECK(after.online_without_slot <= before.online_without_slot);
    preempted_before += before.preempted;
    preempted_after += after.preempted;
  }
  REQUIRE(preempted_before > 100);
  REQUIRE(preempted_after * 3 <= preempted_before);
}

TEST_CASE("batch beyond the room that lasts still starts in the trough", "[admission][trough]") {
  Scenario scenario;
  scenario.burst = 4;
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Outcome before = play(scenario, false, seed);
    const Outcome after = play(scenario, true, seed);
    INFO("seed " << seed << ": late " << before.late << " before, " << after.late << " after; preempted "
                 << before.preempted << " before, " << after.preempted << " after");
    CHECK(after.late <= before.late + before.items / 200);
    CHECK(after.preempted <= before.preempted);
  }
}

TEST_CASE("near saturation no batch run is delayed", "[admission][trough]") {
  Scenario scenario;
  scenario.online_share = 0.36;
  scenario.jobs_per_second = 3.4;
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Outcome before = play(scenario, false, seed);
    const Outcome after = play(scenario, true, seed);
    INFO("seed " << seed << ": late " << before.late << " before, " << after.late << " after of " << after.items
                 << ", preempted " << before.preempted << " before, " << after.preempted << " after");
    CHECK(after.late <= before.late + before.items / 100);
    CHECK(after.online_without_slot <= before.online_without_slot);
  }
}

TEST_CASE("a new leader without a learned load cycle makes no item late", "[admission][trough]") {
  Scenario scenario;
  scenario.leader_replaced_at = 31;
  const Outcome after = play(scenario, true, 4);
  REQUIRE(after.late == 0);
  REQUIRE(after.online_without_slot == 0);
}

TEST_CASE("a run starts where its slot stays free until it ends", "[admission][trough]") {
  TroughScheduler trough;
  for (double second = 0; second < 20; second += 0.05) {
    // 20 s is 2.6 s into the trough; zone "b" has no load cycle.
    trough.noteLoad(at(second), kService, {{kZoneA, {100, 80 * loadFactorAt(second) / 2}}, {kZoneB, {100, 95}}});
  }
  trough.plan(at(20), {}, {}, std::chrono::seconds(5));
  const TroughVerdict shorter = trough.judge(kService, fromMillis(400), 0, std::nullopt);
  REQUIRE(shorter.begins);
  REQUIRE(shorter.zone == kZoneA);
  REQUIRE(shorter.room == Approx(84.8 - std::sqrt(15.2)));
  const TroughVerdict longer = trough.judge(kService, fromMillis(3000), 0, std::nullopt);
  REQUIRE(longer.zone == kZoneA);
  REQUIRE(longer.room == Approx(25.2 - std::sqrt(74.8)).margin(0.6));
  REQUIRE(longer.period.has_value());
  // Runs in flight count until their expected end.
  for (int i = 0; i < 16; ++i) trough.noteBegun({kService, kZoneA, fromMillis(3000)});
  REQUIRE_FALSE(trough.judge(kService, fromMillis(3000), 0, std::set<ZoneId>{kZoneA}).begins);
  REQUIRE(trough.judge(kService, fromMillis(400), 0, std::nullopt).begins);
  // Zones that are not allowed are left out.
  REQUIRE(trough.judge(kService, fromMillis(400), 0, std::set<ZoneId>{kZoneB}).zone == kZoneB);
}

TEST_CASE("less slack reserves less room for the next peak, down to none", "[admission][trough]") {
  TroughScheduler trough;
  for (double second = 0; second < 20; second += 0.05) {
    trough.noteLoad(at(second), kService, {{kZoneA, {100, 100 * loadFactorAt(second) / 2}}});
  }
  const Duration whole = std::chrono::seconds(5);
  const auto roomIfDueIn = [&](double seconds) {
    const auto pressing = trough.plan(at(20), {}, {{kService, {at(20 + seconds), whole}}}, whole);
    return trough.judge(kService, whole, pressing.front(), std::nullopt).room;
  };
  REQUIRE(trough.lastingSlots(kService, whole) < 10);
  const double relaxed = roomIfDueIn(18);
  const double less = roomIfDueIn(8);
  const double none = roomIfDueIn(6);
  REQUIRE(relaxed < 10);
  REQUIRE(less > relaxed);
  REQUIRE(none == Approx(81));
  // A backlog beyond the lasting room is urgent, though each item alone could wait.
  std::vector<WaitingItem> backlog(200, WaitingItem{kService, {at(38), whole}});
  trough.plan(at(20), {}, backlog, whole);
  REQUIRE(trough.urgency(kService) == 1);
  REQUIRE(trough.isRoomShort(kService));
  // An urgent item ahead of the others makes none of them urgent.
  const auto pressing = trough.plan(at(20), {}, {{kService, {at(24), whole}}, {kService, {at(38), whole}}}, whole);
  REQUIRE(pressing[0] == 1);
  REQUIRE(pressing[1] == 0);
}

TEST_CASE("without a recorded load no run is scheduled", "[admission][trough]") {
  const TroughScheduler trough;
  REQUIRE_FALSE(trough.knows(kService));
  REQUIRE(trough.urgency(kService) == 1);
  REQUIRE_FALSE(trough.judge(kService, fromMillis(400), 0, std::nullopt).begins);
}
