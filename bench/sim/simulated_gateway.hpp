#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/sim/control_client.hpp"
#include "bench/sim/gateway_batch.hpp"
#include "bench/sim/process.hpp"
#include "bench/sim/simulated_engine.hpp"
#include "bench/sim/simulation.hpp"
#include "process/control/configuration_watch.hpp"

namespace hatchfork::sim {

struct OnlineRequest {
  /// Names the request at engines and in the claim of its single run.
  std::string id;
  std::string body;
  bool unrepeatable = false;
};

enum class OnlineOutcome {
  kAnswered,
  /// Refused with the promise that it was not run.
  kNotRun,
  kUnknown,
};
using OnlineHandler = std::function<void(OnlineOutcome, const std::string& answer)>;

/// One request that a gateway sent to an engine, and under which revision it did.
struct Dispatch {
  Instant time{};
  GatewayId gateway;
  Revision revision = 0;
};

/// A simulated gateway that keeps the rules of the control messages: it serves only under a configuration lease,
/// counted from when it asked and checked again right before each dispatch; it retries only what may be repeated.
class SimulatedGateway {
 public:
  SimulatedGateway(Simulation& simulation, const GatewayId& id, std::vector<ControlMachine*> controls,
                   std::vector<SimulatedEngine*> engines, GatewayBatchOptions batch_options);

  void start();
  void kill();
  void freeze();
  void thaw();
  bool isUp() const { return process_.isUp(); }
  bool isFrozen() const { return process_.isFrozen(); }
  const std::string& name() const { return process_.name(); }

  /// A request that has arrived from a client.
  void serve(const OnlineRequest& request, OnlineHandler done);
  /// Passes a client's batch request on to the group's leader.
  void forward(GroupId group, const control::ControlRequest& request, CallHandler done);

  bool isServing() const { return watch_ && watch_->isFresh(simulation_.now()); }
  Revision enforced() const { return watch_ && watch_->configuration() ? watch_->configuration()->revision : 0; }
  const std::vector<Dispatch>& dispatches() const { return dispatches_; }

 private:
  void renewConfiguration();
  /// The request as the run's mutation has it.
  control::ControlRequest mutated(control::ControlRequest request);
  void claimThenDispatch(const OnlineRequest& request, const OnlineHandler& done);
  void dispatch(const OnlineRequest& request, int tries_left, bool maybe_run, const OnlineHandler& done);

  Simulation& simulation_;
  Process process_;
  GatewayId id_;
  ControlClient client_;
  std::vector<SimulatedEngine*> engines_;
  GatewayBatchOptions batch_options_;
  std::unique_ptr<GatewayBatch> batch_;
  std::uint64_t session_ = 0;
  /// Of the present process; absent while down.
  std::optional<ConfigurationWatch> watch_;
  std::size_t replica_ = 0;
  std::uint64_t next_claim_ = 0;
  /// Of all processes of this gateway.
  std::vector<Dispatch> dispatches_;
};

/// The batch group that holds a name.
GroupId groupOfName(const std::string& name, std::uint32_t groups);

}  // namespace hatchfork::sim
