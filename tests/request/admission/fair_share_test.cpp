#include "request/admission/fair_share.hpp"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr Duration kTick = fromMillis(1);

Instant at(double seconds) {
  return Instant{} + std::chrono::hours(1) + Duration(static_cast<Duration::rep>(seconds * 1e6));
}

/// A request that finds a place at once.
void take(FairShare& share, Instant now, const TenantId& tenant, double work) {
  share.serve(now, tenant, share.enter(now, tenant, work));
}

/// What became of a tenant's requests.
struct Outcome {
  int asked = 0;
  int in_time = 0;
  double work_done_ms = 0;
  double share() const { return asked == 0 ? 1 : static_cast<double>(in_time) / asked; }
};

/// Places that run one request each, and one line before them.
class Room {
 public:
  /// Without shares the line is served in the order of arrival.
  Room(std::size_t places, Duration objective, bool by_share)
      : places_(places), objective_(objective), by_share_(by_share) {}

  void setPlaces(std::size_t places) { places_ = places; }
  void setWeight(const std::string& tenant, double weight) { weights_[tenant] = weight; }
  /// `counts`: the outcome is of interest.
  void arrive(Instant now, const std::string& tenant, Duration place_time, bool counts) {
    const double work = share_.workOf({0, 0, place_time});
    line_.push_back({tenant, now, place_time, counts, share_.enter(now, TenantId(tenant), work, weightOf(tenant))});
    if (counts) ++outcomes_[tenant].asked;
  }

  void step(Instant now) {
    std::erase_if(ends_, [now](Instant end) { return end <= now; });
    std::erase_if(line_, [&](const Waiting& waiting) {
      if (now - waiting.arrived <= objective_) return false;
      share_.leave(TenantId(waiting.tenant), waiting.turn);
      return true;
    });
    while (ends_.size() < places_ && !line_.empty()) begin(now);
    idle_while_waiting_ = idle_while_waiting_ || (ends_.size() < places_ && !line_.empty());
  }

  const std::map<std::string, Outcome>& outcomes() const { return outcomes_; }
  bool wasIdleWhileWaiting() const { return idle_while_waiting_; }
  FairShare& share() { return share_; }

 private:
  struct Waiting {
    std::string tenant;
    Instant arrived;
    Duration place_time;
    bool counts;
    Turn turn;
  };

  double weightOf(const std::string& tenant) const {
    const auto found = weights_.find(tenant);
    return found == weights_.end() ? 1 : found->second;
  }

  void begin(Instant now) {
    std::size_t next = 0;
    for (std::size_t i = 1; by_share_ && i < line_.size(); ++i) {
      if (line_[i].turn.start < line_[next].turn.start) next = i;
    }
    const Waiting chosen = line_[next];
    line_.erase(line_.begin() + static_cast<std::ptrdiff_t>(next));
    share_.serve(now, TenantId(chosen.tenant), chosen.turn);
    ends_.push_back(now + chosen.place_time);
    if (!chosen.counts) return;
    ++outcomes_[chosen.tenant].in_time;
    outcomes_[chosen.tenant].work_done_ms += toSeconds(chosen.place_time) * 1000;
  }

  std::size_t places_;
  Duration objective_;
  bool by_share_;
  FairShare share_;
  std::map<std::string, double> weights_;
  std::vector<Waiting> line_;
  std::vector<Instant> ends_;
  std::map<std::string, Outcome> outcomes_;
  bool idle_while_waiting_ = false;
};

struct Load {
  std::string tenant;
  double per_second = 0;
  /// Times its usual during the surge.
  double surge = 1;
};

/// Tenants whose rates fall like one over their rank; one of them is to surge.
std::vector<Load> manyTenants(std::size_t tenants, double all_per_second, std::size_t hot, double surge) {
  double sum = 0;
  for (std::size_t i = 0; i < tenants; ++i) sum += 1.0 / static_cast<double>(i + 1);
  std::vector<Load> loads;
  for (std::size_t i = 0; i < tenants; ++i) {
    loads.push_back({"t" + std::to_string(i), all_per_second / static_cast<double>(i + 1) / sum, i == hot ? surge : 1});
  }
  return loads;
}

struct Surge {
  double begins = 30;
  double ends = 36.5;
  std::size_t places_then = 0;
  /// The store that decides is replaced then; its follower knows nothing.
  std::optional<double> forgets_at;
};

void replay(Room& room, const std::vector<Load>& loads, const Surge& surge, std::uint64_t seed, double from = 0) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> held_ms(500, 900);
  bool has_forgotten = false;
  for (double second = from; second < surge.ends + 1; second += toSeconds(kTick)) {
    const bool in_surge = second >= surge.begins && second < surge.ends;
    if (in_surge) room.setPlaces(surge.places_then);
    if (surge.forgets_at && second >= *surge.forgets_at && !has_forgotten) {
      room.share() = FairShare();
      has_forgotten = true;
    }
    if (second < surge.ends) {
      for (const Load& load : loads) {
        std::poisson_distribution<int> arrivals(load.per_second * (in_surge ? load.surge : 1) * toSeconds(kTick));
        const int count = arrivals(random);
        for (int i = 0; i < count; ++i) {
          room.arrive(at(second), load.tenant, fromMillis(static_cast<std::int64_t>(held_ms(random))), in_surge);
        }
      }
    }
    room.step(at(second));
  }
}

/// Shares in time of all tenants but one, the worst first.
std::vector<double> sharesBut(const Room& room, const std::string& hot) {
  std::vector<double> shares;
  for (const auto& [tenant, outcome] : room.outcomes()) {
    if (tenant != hot) shares.push_back(outcome.share());
  }
  std::sort(shares.begin(), shares.end());
  return shares;
}

double worstTenth(const std::vector<double>& shares) {
  const std::size_t count = std::max<std::size_t>(1, shares.size() / 10);
  return std::accumulate(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(count), 0.0) /
         static_cast<double>(count);
}

constexpr Duration kObjective = fromMillis(300);
constexpr std::size_t kPlaces = 400;
/// Of the places, at 0.7 s a request, a quarter is free while all are at their usual.
constexpr double kUsualPerSecond = 0.75 * kPlaces / 0.7;

}  // namespace

TEST_CASE("tenants at their usual are served while one sends eight times its usual to four fifths of the engines",
          "[admission][share]") {
  for (const std::size_t hot : {0, 4, 20}) {
    const std::vector<Load> loads = manyTenants(40, kUsualPerSecond, hot, 8);
    Room room(kPlaces, kObjective, /*by_share=*/true);
    replay(room, loads, Surge{30, 36.5, kPlaces * 4 / 5, {}}, 7 + hot);
    const std::vector<double> shares = sharesBut(room, "t" + std::to_string(hot));
    INFO("hot " << hot << ": worst " << shares.front() << ", worst tenth " << worstTenth(shares));
    CHECK(shares.front() >= 0.98);
    CHECK_FALSE(room.wasIdleWhileWaiting());
    // What the others leave goes to the one that surges.
    CHECK(room.outcomes().at("t" + std::to_string(hot)).in_time > 0);
  }
}

TEST_CASE("in the order of arrival the same surge makes tenants late that sent no more than usual",
          "[admission][share]") {
  const std::vector<Load> loads = manyTenants(40, kUsualPerSecond, 0, 8);
  Room room(kPlaces, kObjective, /*by_share=*/false);
  replay(room, loads, Surge{30, 36.5, kPlaces * 4 / 5, {}}, 7);
  REQUIRE(sharesBut(room, "t0").back() < 0.9);
}

TEST_CASE("a store that knows nothing of earlier work shares better than the order of arrival", "[admission][share]") {
  const std::vector<Load> loads = manyTenants(40, kUsualPerSecond, 4, 8);
  Room room(kPlaces, kObjective, /*by_share=*/true);
  replay(room, loads, Surge{30, 36.5, kPlaces * 4 / 5, 31.0}, 3);
  Room by_arrival(kPlaces, kObjective, /*by_share=*/false);
  replay(by_arrival, loads, Surge{30, 36.5, kPlaces * 4 / 5, {}}, 3);
  const auto in_time = [](const Room& played) {
    int sum = 0;
    for (const auto& [tenant, outcome] : played.outcomes()) sum += tenant == "t4" ? 0 : outcome.in_time;
    return sum;
  };
  REQUIRE(in_time(room) > in_time(by_arrival));
  REQUIRE(worstTenth(sharesBut(room, "t4")) > worstTenth(sharesBut(by_arrival, "t4")));
}

TEST_CASE("tenants that always wait are served by their weights", "[admission][share]") {
  Room room(20, std::chrono::hours(1), /*by_share=*/true);
  room.setWeight("heavy", 3);
  std::vector<Load> loads{{"heavy", 60, 1}, {"light", 60, 1}};
  replay(room, loads, Surge{0, 20, 20, {}}, 5);
  const double ratio = room.outcomes().at("heavy").work_done_ms / room.outcomes().at("light").work_done_ms;
  CHECK(ratio > 2.4);
  CHECK(ratio < 3.3);
}

TEST_CASE("who was idle gets no credit for it", "[admission][share]") {
  FairShare share;
  for (int i = 0; i < 100; ++i) {
    take(share, at(i * 0.1), TenantId("a"), 100);
    take(share, at(i * 0.1), TenantId("b"), 100);
  }
  // "b" is silent for 20 s, then both send as much as they can: "b" goes first by no more than its allowance.
  for (int i = 0; i < 200; ++i) take(share, at(10 + i * 0.1), TenantId("a"), 100);
  int b_in_a_row = 0;
  while (share.startAfter(at(30), TenantId("b"), 0, 100) <= share.startAfter(at(30), TenantId("a"), 0, 100) &&
         b_in_a_row < 1000) {
    take(share, at(30), TenantId("b"), 100);
    ++b_in_a_row;
  }
  REQUIRE(b_in_a_row < 30);
}

TEST_CASE("a surge does not become usual while it lasts, and steady growth does", "[admission][share]") {
  FairShare share;
  const auto send = [&](double from, double to, int each_second) {
    for (double second = from; second < to; second += 1.0 / each_second) take(share, at(second), TenantId("a"), 100);
    for (double second = from; second < to; second += 0.1) take(share, at(second), TenantId("b"), 100);
  };
  send(0, 60, 10);
  const double before = share.usual(at(60), TenantId("a"));
  REQUIRE(before == Approx(1000).epsilon(0.05));
  send(60, 66.5, 80);
  REQUIRE(share.usual(at(67), TenantId("a")) < 1.2 * before);
  send(67, 400, 80);
  REQUIRE(share.usual(at(400), TenantId("a")) > 4 * before);
}

TEST_CASE("silent tenants are forgotten, and memory is bounded", "[admission][share]") {
  FairShareLimits limits;
  limits.most_tenants = 1000;
  FairShare share(limits);
  for (int i = 0; i < 5000; ++i) take(share, at(i * 0.001), TenantId("t" + std::to_string(i)), 10);
  REQUIRE(share.tenants() == 1000);
  take(share, at(1000), TenantId("last"), 10);
  REQUIRE(share.tenants() == 1);
  REQUIRE(share.usual(at(1000), TenantId("t4999")) == 0);
}

TEST_CASE("work known by its place time goes before tokens out", "[admission][share]") {
  const FairShare share;
  REQUIRE(share.workOf({800, 0, fromMillis(500)}) == Approx(510));
  REQUIRE(share.workOf({800, 150, {}}) == Approx(510));
  REQUIRE(share.workOf({800, 150, fromMillis(500)}) == Approx(510));
}

TEST_CASE("the order of turns does not hang on names", "[admission][share]") {
  const bool holds = rc::check("renaming changes nothing", [] {
    const int tenants = *rc::gen::inRange(2, 8);
    const auto sends = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, tenants), rc::gen::inRange(1, 2000)));
    FairShare left;
    FairShare right;
    const auto left_name = [](int tenant) { return TenantId("a" + std::to_string(tenant)); };
    const auto right_name = [tenants](int tenant) { return TenantId("z" + std::to_string(tenants - tenant)); };
    double second = 0;
    for (const auto& [tenant, work] : sends) {
      second += 0.3;
      take(left, at(second), left_name(tenant), work);
      take(right, at(second), right_name(tenant), work);
      for (int other = 0; other < tenants; ++other) {
        RC_ASSERT(left.startAfter(at(second), left_name(other), 0, 100) ==
                  right.startAfter(at(second), right_name(other), 0, 100));
      }
    }
  });
  REQUIRE(holds);
}

TEST_CASE("a tenant that sends less than its part of what is served never waits behind the others' surplus",
          "[admission][share]") {
  const bool holds = rc::check("floor of a share", [] {
    // Places are given away one after the other. `small` sends a little less than its even part; the others always
    // wait.
    const int others = *rc::gen::inRange(1, 12);
    const int work = *rc::gen::inRange(1, 3000);
    FairShare share;
    const TenantId small("small");
    int small_waiting = 0;
    int served_small = 0;
    const int rounds = 40 * (others + 2);
    for (int round = 0; round < rounds; ++round) {
      const double second = round * 0.05;
      if (round % (others + 2) == 0) ++small_waiting;
      TenantId next("o0");
      for (int other = 1; other < others; ++other) {
        const TenantId candidate("o" + std::to_string(other));
        if (share.startAfter(at(second), candidate, 0, work) < share.startAfter(at(second), next, 0, work))
          next = candidate;
      }
      if (small_waiting > 0 &&
          share.startAfter(at(second), small, 0, work) <= share.startAfter(at(second), next, 0, work)) {
        --small_waiting;
        ++served_small;
        next = small;
      }
      take(share, at(second), next, work);
      RC_ASSERT(small_waiting <= 2);
    }
    RC_ASSERT(served_small >= 38);
  });
  REQUIRE(holds);
}
