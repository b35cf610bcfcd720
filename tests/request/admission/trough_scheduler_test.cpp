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

/// Low for 3.4 s, high for 2.4 s, on average one.
double waveAt(double second) {
  return std::fmod(second, 5.8) < 3.4 ? 0.38 : 1.87;
}

struct Played {
  int items = 0;
  int late = 0;
  int cut = 0;
  /// Online requests that met no free place and no run to give way.
  int online_without_place = 0;
};

struct Site {
  double places_each = 160;
  /// Of all places, on average.
  double online_share = 0.31;
  double jobs_per_second = 2.3;
  double length = 60;
  /// Runs that are cut count from here on: a wave must be seen before it is known.
  double counts_from = 15;
  /// The leader is replaced then: what was learned is gone.
  double forgets_at = 1e9;
  /// Times the jobs for four seconds.
  double burst = 1;
};

/// Two zones, online requests that hold a place for 0.7 s and come in waves, jobs of ten items of five seconds each
/// that are due in 18 s.
class Replay {
 public:
  Replay(Site site, bool by_slack, std::uint64_t seed) : site_(site), by_slack_(by_slack), random_(seed) {}

  Played play() {
    const double step = 0.01;
    for (double second = 0; second < site_.length + 20; second += step) {
      const Instant now = at(second);
      if (second >= site_.forgets_at) {
        trough_ = TroughScheduler();
        site_.forgets_at = 1e9;
      }
      for (auto& [zone, state] : zones_) std::erase_if(state.online, [now](Instant end) { return end <= now; });
      endRuns(now);
      if (second < site_.length) arrive(second, step);
      if (std::fmod(second, 0.05) < step) tell(now);
      begin(now);
    }
    return played_;
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

  double freeOf(const Zone& zone) const {
    return site_.places_each - static_cast<double>(zone.online.size() + zone.runs.size());
  }

  void arrive(double second, double step) {
    const Instant now = at(second);
    const double per_second = site_.online_share * 2 * site_.places_each / 0.7 * waveAt(second);
    std::poisson_distribution<int> online(per_second * step);
    for (int left = online(random_); left > 0; --left) {
      Zone& zone = zones_[left % 2 == 0 ? kZoneA : kZoneB];
      if (freeOf(zone) < 1) giveWay(now, zone);
      if (freeOf(zone) < 1) ++played_.online_without_place;
      std::exponential_distribution<double> held(1 / 0.2);
      zone.online.push_back(now + fromMillis(500 + static_cast<std::int64_t>(1000 * held(random_))));
    }
    const bool in_burst = second > 20 && second < 24;
    std::poisson_distribution<int> jobs(site_.jobs_per_second * step * (in_burst ? site_.burst : 1));
    std::normal_distribution<double> seconds(5, 1.2);
    for (int left = jobs(random_); left > 0; --left) {
      for (int i = 0; i < 10; ++i) {
        const double whole = std::clamp(seconds(random_), 2.0, 8.0);
        waiting_.push_back(
            {now + std::chrono::seconds(18), Duration(static_cast<Duration::rep>(whole * 1e6)), Instant{}, 0});
        ++played_.items;
      }
    }
  }

  Duration expected(const Item& item) const {
    // Lengths are not known: all are taken for whole ones of five seconds, less what was made.
    return std::max(fromMillis(750), fromMillis(5000) - fromMillis(33 * static_cast<std::int64_t>(item.events)));
  }

  void endRuns(Instant now) {
    for (auto& [id, zone] : zones_) {
      for (const Run& run : zone.runs) {
        if (run.end <= now && run.end > run.item.due) ++played_.late;
      }
      std::erase_if(zone.runs, [now](const Run& run) { return run.end <= now; });
    }
  }

  std::uint64_t eventsOf(const Run& run, Instant now) const {
    return run.item.events + static_cast<std::uint64_t>((now - run.begun) / fromMillis(33));
  }

  void giveWay(Instant now, Zone& zone) {
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
    if (now >= at(site_.counts_from)) ++played_.cut;
  }

  void tell(Instant now) {
    std::map<ZoneId, ZoneLoad> loads;
    std::vector<RunInFlight> runs;
    for (auto& [id, zone] : zones_) {
      loads[id] = ZoneLoad{site_.places_each, static_cast<double>(zone.online.size())};
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
    // Places are kept free for surges, the fewer the more urgent the item is.
    const double urgency = urgencyOf(now, {item.due, expected(item)}, fromMillis(5000));
    const double kept_free = site_.places_each / 8 * (1 - urgency);
    ZoneId zone = freeOf(zones_[kZoneA]) >= freeOf(zones_[kZoneB]) ? kZoneA : kZoneB;
    if (by_slack_) {
      const TroughVerdict verdict = trough_.judge(kService, expected(item), item.pressing, std::nullopt);
      if (!verdict.begins) return std::nullopt;
      zone = verdict.zone;
    }
    if (freeOf(zones_[zone]) < 1 + kept_free) return std::nullopt;
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

  Site site_;
  bool by_slack_;
  std::mt19937_64 random_;
  std::map<ZoneId, Zone> zones_;
  std::deque<Item> waiting_;
  TroughScheduler trough_;
  Played played_;
};

Played play(const Site& site, bool by_slack, std::uint64_t seed) {
  return Replay(site, by_slack, seed).play();
}

}  // namespace

TEST_CASE("batch beside waves is cut a third as often, and no item or online request suffers", "[admission][trough]") {
  int cut_before = 0;
  int cut_after = 0;
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Played before = play({}, false, seed);
    const Played after = play({}, true, seed);
    INFO("seed " << seed << ": " << after.items << " items, cut " << before.cut << " before, " << after.cut
                 << " after");
    CHECK(after.late == 0);
    CHECK(after.online_without_place <= before.online_without_place);
    cut_before += before.cut;
    cut_after += after.cut;
  }
  REQUIRE(cut_before > 100);
  REQUIRE(cut_after * 3 <= cut_before);
}

TEST_CASE("more batch than the wave leaves room for begins in the trough all the same", "[admission][trough]") {
  Site site;
  site.burst = 4;
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Played before = play(site, false, seed);
    const Played after = play(site, true, seed);
    INFO("seed " << seed << ": late " << before.late << " before, " << after.late << " after; cut " << before.cut
                 << " before, " << after.cut << " after");
    CHECK(after.late <= before.late + before.items / 200);
    CHECK(after.cut <= before.cut);
  }
}

TEST_CASE("near saturation nothing is held back", "[admission][trough]") {
  Site site;
  site.online_share = 0.36;
  site.jobs_per_second = 3.4;
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Played before = play(site, false, seed);
    const Played after = play(site, true, seed);
    INFO("seed " << seed << ": late " << before.late << " before, " << after.late << " after of " << after.items
                 << ", cut " << before.cut << " before, " << after.cut << " after");
    CHECK(after.late <= before.late + before.items / 100);
    CHECK(after.online_without_place <= before.online_without_place);
  }
}

TEST_CASE("a new leader that knows no wave loses no item", "[admission][trough]") {
  Site site;
  site.forgets_at = 31;
  const Played after = play(site, true, 4);
  REQUIRE(after.late == 0);
  REQUIRE(after.online_without_place == 0);
}

TEST_CASE("a run begins where its place stays free to its end", "[admission][trough]") {
  TroughScheduler trough;
  for (double second = 0; second < 20; second += 0.05) {
    // 2.6 s into the trough at 20 s; zone "b" has no wave.
    trough.noteLoad(at(second), kService, {{kZoneA, {100, 80 * waveAt(second) / 2}}, {kZoneB, {100, 95}}});
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
  // What runs counts, as long as it runs.
  for (int i = 0; i < 16; ++i) trough.noteBegun({kService, kZoneA, fromMillis(3000)});
  REQUIRE_FALSE(trough.judge(kService, fromMillis(3000), 0, std::set<ZoneId>{kZoneA}).begins);
  REQUIRE(trough.judge(kService, fromMillis(400), 0, std::nullopt).begins);
  // Zones that may not run it are left out.
  REQUIRE(trough.judge(kService, fromMillis(400), 0, std::set<ZoneId>{kZoneB}).zone == kZoneB);
}

TEST_CASE("less slack keeps less free for the wave, down to nothing", "[admission][trough]") {
  TroughScheduler trough;
  for (double second = 0; second < 20; second += 0.05) {
    trough.noteLoad(at(second), kService, {{kZoneA, {100, 100 * waveAt(second) / 2}}});
  }
  const Duration whole = std::chrono::seconds(5);
  const auto roomWhenDueIn = [&](double seconds) {
    const auto pressing = trough.plan(at(20), {}, {{kService, {at(20 + seconds), whole}}}, whole);
    return trough.judge(kService, whole, pressing.front(), std::nullopt).room;
  };
  REQUIRE(trough.lastingSlots(kService, whole) < 10);
  const double relaxed = roomWhenDueIn(18);
  const double less = roomWhenDueIn(8);
  const double none = roomWhenDueIn(6);
  REQUIRE(relaxed < 10);
  REQUIRE(less > relaxed);
  REQUIRE(none == Approx(81));
  // A heap that the lasting room can't bear presses, though each item alone could wait.
  std::vector<WaitingItem> heap(200, WaitingItem{kService, {at(38), whole}});
  trough.plan(at(20), {}, heap, whole);
  REQUIRE(trough.urgency(kService) == 1);
  REQUIRE(trough.isRoomShort(kService));
  // One that presses, and is before the others, presses none of them.
  const auto pressing = trough.plan(at(20), {}, {{kService, {at(24), whole}}, {kService, {at(38), whole}}}, whole);
  REQUIRE(pressing[0] == 1);
  REQUIRE(pressing[1] == 0);
}

TEST_CASE("where no load is known nothing is said", "[admission][trough]") {
  const TroughScheduler trough;
  REQUIRE_FALSE(trough.knows(kService));
  REQUIRE(trough.urgency(kService) == 1);
  REQUIRE_FALSE(trough.judge(kService, fromMillis(400), 0, std::nullopt).begins);
}
