#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "bench/experiment/fleet_context.hpp"
#include "bench/experiment/oracle_feeder.hpp"
#include "bench/experiment/run_figures.hpp"
#include "bench/experiment/virtual_control.hpp"
#include "bench/experiment/virtual_gateway.hpp"
#include "bench/experiment/workload.hpp"

namespace hatchfork::experiment {

/// How batch work gets onto the fleet.
enum class BatchMode : std::uint8_t {
  /// No batch work at all.
  kNone,
  /// The gateways' batch admission.
  kAdmission,
  /// Engines of its own, a fixed part of each service's.
  kFixedSplit,
  /// An impossible feeder inside each engine that fills every free slot at once: the upper bound.
  kOracle,
};

struct VirtualFleetOptions {
  BatchMode batch_mode = BatchMode::kAdmission;
  bench::PriorityMode priority_mode = bench::PriorityMode::kPreempt;
  std::uint64_t seed = 1;
};

/// Gateways with the real decision code, modelled engines and the load of a profile, on virtual time.
class VirtualFleet {
 public:
  /// `profile` and `workload` must outlive the fleet.
  VirtualFleet(const Profile& profile, const Workload& workload, VirtualFleetOptions options);
  VirtualFleet(const VirtualFleet&) = delete;
  VirtualFleet& operator=(const VirtualFleet&) = delete;

  /// Runs up to `until`; may be called again with a later time.
  void runUntil(Instant until);
  /// Runs the whole load, lets what is in flight end, and gives the figures of each service.
  std::vector<RunFigures> runAll();

  sim::EventQueue& events() { return events_; }
  FleetContext& context() { return context_; }
  VirtualControl& control() { return control_; }
  VirtualEngine& engine(const EngineId& id) { return *context_.engines.at(id); }
  const std::vector<std::unique_ptr<VirtualEngine>>& engines() const { return engines_; }
  std::vector<std::unique_ptr<VirtualGateway>>& gateways() { return gateways_; }
  /// The gateway that a request of the workload goes to.
  VirtualGateway& gatewayOf(const OnlineArrival& arrival);
  /// Identifier of the workload's online request at this position.
  static WorkId onlineWork(std::size_t position) { return position * 2 + 2; }

 private:
  void buildEngines();
  void buildGateways();
  void scheduleArrivals();
  std::vector<EngineCounterSum> sumCounters() const;

  const Profile& profile_;
  const Workload& workload_;
  VirtualFleetOptions options_;
  sim::EventQueue events_;
  FleetContext context_;
  VirtualControl control_;
  std::vector<std::unique_ptr<VirtualEngine>> engines_;
  std::vector<std::size_t> service_of_engine_;
  std::vector<std::unique_ptr<OracleFeeder>> feeders_;
  std::vector<std::unique_ptr<VirtualGateway>> gateways_;
};

}  // namespace hatchfork::experiment
