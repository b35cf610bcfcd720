#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench/sim/control_client.hpp"
#include "bench/sim/process.hpp"
#include "bench/sim/simulated_engine.hpp"
#include "bench/sim/simulation.hpp"

namespace hatchfork::sim {

struct GatewayBatchOptions {
  GatewayId gateway;
  std::uint32_t groups = 2;
  std::vector<ServiceId> services;
  /// Items held at once, over all groups.
  std::uint32_t capacity = 16;
  /// Items at the engines at once; the others that are held wait.
  std::uint32_t running = 6;
};

/// What the batch side asks of its gateway.
struct GatewayBatchHooks {
  /// True while the configuration lease lasts.
  std::function<bool()> may_dispatch;
  /// Called with each dispatch.
  std::function<void()> dispatched;
};

/// The batch side of a simulated gateway: leases items, commits the start of unrepeatable ones, runs them on engines
/// and reports their ends, as a gateway has to. One object for each gateway process.
class GatewayBatch {
 public:
  GatewayBatch(Simulation& simulation, Process& process, ControlClient& client, std::vector<SimulatedEngine*> engines,
               GatewayBatchOptions options, std::uint64_t session, GatewayBatchHooks hooks);

  void start();
  std::size_t heldItems() const { return held_.size(); }

 private:
  /// `kStarting`: the commit of the start is in flight; `kGranted`: it is there.
  enum class Phase { kWaiting, kStarting, kGranted, kRunning, kEnded };
  struct ItemKey {
    JobId job;
    ItemIndex index = 0;
    auto operator<=>(const ItemKey&) const = default;
  };
  struct HeldItem {
    GroupId group = 0;
    batch::LeasedItem item;
    bool unrepeatable = false;
    Instant lease_until{};
    Phase phase = Phase::kWaiting;
    batch::ItemOutcome outcome;
    bool reported = false;
    SimulatedEngine* engine = nullptr;
  };

  void pollLater(GroupId group);
  void poll(GroupId group);
  void takeLeases(GroupId group, const std::vector<ItemKey>& named, const CallResult& result);
  void takeBundle(GroupId group, const control::LeasedBundle& bundle, Instant lease_until);
  void dropCancelled(const JobId& job);
  /// Brings waiting items to the engines as long as there is room.
  void runWaiting();
  std::size_t activeItems() const;
  void commitStart(const JobId& job, const std::vector<ItemIndex>& items);
  void dispatch(const ItemKey& key);
  void end(const ItemKey& key, batch::ItemState state, const std::string& result);
  void drop(const ItemKey& key);
  void maintainLater();
  void dropLapsed();
  void reportEnds();
  std::vector<ItemKey> keysOf(GroupId group) const;

  Simulation& simulation_;
  Process& process_;
  ControlClient& client_;
  std::vector<SimulatedEngine*> engines_;
  GatewayBatchOptions options_;
  std::uint64_t session_;
  GatewayBatchHooks hooks_;
  std::map<ItemKey, HeldItem> held_;
};

/// Names a run of a batch item at the engines: "<job>/<index>".
std::string itemRequest(const JobId& job, ItemIndex index);

/// The wall clock of simulated gateways and clients.
WallMillis wallTime(const Simulation& simulation);

}  // namespace hatchfork::sim
