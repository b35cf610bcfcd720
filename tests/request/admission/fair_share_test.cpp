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

/// Adds a request that gets a slot at once.
void take(FairShare& share, Instant now, const TenantId& tenant, double work) {
  share.serve(now, tenant, share.enter(now, tenant, work));
}

/// Outcome of the requests of one tenant.
struct Outcome {
  int asked = 0;
  int in_time = 0;
  double work_done_ms = 0;
  double share() const { return asked == 0 ? 1 : static_cast<double>(in_time) / asked; }
};

/// Simulates slots that run one request each, and one queue before them.
class SlotPool {
 public:
  /// Without `by_share` the queue is served in order of arrival.
  SlotPool(std::size_t slots, Duration objective, bool by_share)
      : slots_(slots), objective_(objective), by_share_(by_share) {}

  void setSlots(std::size_t slots) { slots_ = slots; }
  void setWeight(const std::string& tenant, double weight) { weights_[tenant] = weight; }
  /// `counts`: the request is part of the outcome.
  void arrive(Instant now, const std::string& tenant, Duration slot_time, bool counts) {
    const double work = share_.workOf({0, 0, slot_time});
    queue_.push_back({tenant, now, slot_time, counts, share_.enter(now, TenantId(tenant), work, weightOf(tenant))});
    if (counts) ++outcomes_[tenant].asked;
  }

  void step(Instant now) {
    std::erase_if(ends_, [now](Instant end) { return end <= now; });
    std::erase_if(queue_, [&](const Queued& waiting) {
      if (now - waiting.arrived <= objective_) return false;
      share_.leave(TenantId(waiting.tenant), waiting.turn);
      return true;
    });
    while (ends_.size() < slots_ && !queue_.empty()) begin(now);
    idle_while_queued_ = idle_while_queued_ || (ends_.size() < slots_ && !queue_.empty());
  }

  const std::map<std::string, Outcome>& outcomes() const { return outcomes_; }
  bool wasIdleWhileQueued() const { return idle_while_queued_; }
  FairShare& share() { return share_; }

 private:
  struct Queued {
    std::string tenant;
    Instant arrived;
    Duration slot_time;
    bool counts;
    Turn turn;
  };

  double weightOf(const std::string& tenant) const {
    const auto found = weights_.find(tenant);
    return found == weights_.end() ? 1 : found->second;
  }

  void begin(Instant now) {
    std::size_t next = 0;
    for (std::size_t i = 1; by_share_ && i < queue_.size(); ++i) {
      if (queue_[i].turn.start < queue_[next].turn.start) next = i;
    }
    const Queued chosen = queue_[next];
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(next));
    share_.serve(now, TenantId(chosen.tenant), chosen.turn);
    ends_.push_back(now + chosen.slot_time);
    if (!chosen.counts) return;
    ++outcomes_[chosen.tenant].in_time;
    outcomes_[chosen.tenant].work_done_ms += toSeconds(chosen.slot_time) * 1000;
  }

  std::size_t slots_;
  Duration objective_;
  bool by_share_;
  FairShare share_;
  std::map<std::string, double> weights_;
  std::vector<Queued> queue_;
  std::vector<Instant> ends_;
  std::map<std::string, Outcome> outcomes_;
  bool idle_while_queued_ = false;
};

struct Load {
  std::string tenant;
  double per_second = 0;
  /// Factor on the usual rate during the surge.
  double surge = 1;
};

/// Tenants whose rates are proportional to one over their rank; tenant `hot` surges.
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
  std::size_t slots_during = 0;
  /// Time in seconds at which the deciding store is replaced by a store without state.
  std::optional<double> store_replaced_at;
};

void replay(SlotPool& pool, const std::vector<Load>& loads, const Surge& surge, std::uint64_t seed, double from = 0) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> held_ms(500, 900);
  bool is_replaced = false;
  for (double second = from; second < surge.ends + 1; second += toSeconds(kTick)) {
    const bool in_surge = second >= surge.begins && second < surge.ends;
    if (in_surge) pool.setSlots(surge.slots_during);
    if (surge.store_replaced_at && second >= *surge.store_replaced_at && !is_replaced) {
      pool.share() = FairShare();
      is_replaced = true;
    }
    if (second < surge.ends) {
      for (const Load& load : loads) {
        std::poisson_distribution<int> arrivals(load.per_second * (in_surge ? load.surge : 1) * toSeconds(kTick));
        const int count = arrivals(random);
        for (int i = 0; i < count; ++i) {
          pool.arrive(at(second), load.tenant, fromMillis(static_cast<std::int64_t>(held_ms(random))), in_surge);
        }
      }
    }
    pool.step(at(second));
  }
}

/// Shares of requests in time of all tenants except `hot`, in ascending order.
std::vector<double> sharesBut(const SlotPool& pool, const std::string& hot) {
  std::vector<double> shares;
  for (const auto& [tenant, outcome] : pool.outcomes()) {
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
constexpr std::size_t kSlots = 400;
/// Request rate that leaves a quarter of the slots free at 0.7 s a request while all tenants are at their usual load.
constexpr double kUsualPerSecond = 0.75 * kSlots / 0.7;

}  // namespace

TEST_CASE("tenants at their usual are served while one sends eight times its usual to four fifths of the engines",
          "[admission][share]") {
  for (const std::size_t hot : {0, 4, 20}) {
    const std::vector<Load> loads = manyTenants(40, kUsualPerSecond, hot, 8);
    SlotPool pool(kSlots, kObjective, /*by_share=*/true);
    replay(pool, loads, Surge{30, 36.5, kSlots * 4 / 5, {}}, 7 + hot);
    const std::vector<double> shares = sharesBut(pool, "t" + std::to_string(hot));
    INFO("hot " << hot << ": worst " << shares.front() << ", worst tenth " << worstTenth(shares));
    CHECK(shares.front() >= 0.98);
    CHECK_FALSE(pool.wasIdleWhileQueued());
    // The surging tenant gets the capacity that the others leave.
    CHECK(pool.outcomes().at("t" + std::to_string(hot)).in_time > 0);
  }
}

TEST_CASE("in order of arrival the same surge delays tenants that sent no more than usual", "[admission][share]") {
  const std::vector<Load> loads = manyTenants(40, kUsualPerSecond, 0, 8);
  SlotPool pool(kSlots, kObjective, /*by_share=*/false);
  replay(pool, loads, Surge{30, 36.5, kSlots * 4 / 5, {}}, 7);
  REQUIRE(sharesBut(pool, "t0").back() < 0.9);
}

TEST_CASE("a store without earlier state shares better than the order of arrival", "[admission][share]") {
  const std::vector<Load> loads = manyTenants(40, kUsualPerSecond, 4, 8);
  SlotPool pool(kSlots, kObjective, /*by_share=*/true);
  replay(pool, loads, Surge{30, 36.5, kSlots * 4 / 5, 31.0}, 3);
  SlotPool by_arrival(kSlots, kObjective, /*by_share=*/false);
  replay(by_arrival, loads, Surge{30, 36.5, kSlots * 4 / 5, {}}, 3);
  const auto in_time = [](const SlotPool& replayed) {
    int sum = 0;
    for (const auto& [tenant, outcome] : replayed.outcomes()) sum += tenant == "t4" ? 0 : outcome.in_time;
    return sum;
  };
  REQUIRE(in_time(pool) > in_time(by_arrival));
  REQUIRE(worstTenth(sharesBut(pool, "t4")) > worstTenth(sharesBut(by_arrival, "t4")));
}

TEST_CASE("tenants with a constant backlog are served by their weights", "[admission][share]") {
  SlotPool pool(20, std::chrono::hours(1), /*by_share=*/true);
  pool.setWeight("heavy", 3);
  std::vector<Load> loads{{"heavy", 60, 1}, {"light", 60, 1}};
  replay(pool, loads, Surge{0, 20, 20, {}}, 5);
  const double ratio = pool.outcomes().at("heavy").work_done_ms / pool.outcomes().at("light").work_done_ms;
  CHECK(ratio > 2.4);
  CHECK(ratio < 3.3);
}

TEST_CASE("an idle tenant accumulates no credit", "[admission][share]") {
  FairShare share;
  for (int i = 0; i < 100; ++i) {
    take(share, at(i * 0.1), TenantId("a"), 100);
    take(share, at(i * 0.1), TenantId("b"), 100);
  }
  // "b" is idle for 20 s, then both tenants send as much as they can: "b" goes first by no more than its burst.
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

TEST_CASE("idle tenants are evicted, and memory is bounded", "[admission][share]") {
  FairShareLimits limits;
  limits.max_tenants = 1000;
  FairShare share(limits);
  for (int i = 0; i < 5000; ++i) take(share, at(i * 0.001), TenantId("t" + std::to_string(i)), 10);
  REQUIRE(share.tenants() == 1000);
  take(share, at(1000), TenantId("last"), 10);
  REQUIRE(share.tenants() == 1);
  REQUIRE(share.usual(at(1000), TenantId("t4999")) == 0);
}

TEST_CASE("a known slot time takes precedence over tokens out", "[admission][share]") {
  const FairShare share;
  REQUIRE(share.workOf({800, 0, fromMillis(500)}) == Approx(510));
  REQUIRE(share.workOf({800, 150, {}}) == Approx(510));
  REQUIRE(share.workOf({800, 150, fromMillis(500)}) == Approx(510));
}

TEST_CASE("the order does not depend on tenant names", "[admission][share]") {
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

TEST_CASE("a tenant that sends less than its share never waits behind the surplus of others", "[admission][share]") {
  const bool holds = rc::check("floor of a share", [] {
    // Slots are given out one by one. `small` sends a little less than its even share; the other tenants always have
    // requests waiting.
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
