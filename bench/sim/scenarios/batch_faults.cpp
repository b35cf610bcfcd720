#include <fmt/format.h>

#include "bench/sim/fleet.hpp"
#include "bench/sim/nemesis.hpp"
#include "bench/sim/refusal_probe.hpp"
#include "bench/sim/scenarios/scenarios.hpp"
#include "bench/sim/scenarios/steps.hpp"

// Promises for batch items and refusals, while workers, replicas and links fail.
namespace hatchfork::sim {
namespace {

bool isEnded(const checker::LedgerJob& job, batch::ItemState state) {
  for (const batch::ItemResult& result : job.final_results) {
    if (result.state == state) return true;
  }
  return false;
}

bool someEnded(Fleet& fleet, batch::ItemState state) {
  for (const auto& owner : fleet.owners()) {
    if (isEnded(owner->ledger(), state)) return true;
  }
  return false;
}

/// Work for about `seconds` of virtual time: jobs keep coming while the faults are in flight.
void submitOverTime(Fleet& fleet, std::size_t count, Duration pause, const JobOwnerOptions& like) {
  for (std::size_t i = 0; i < count; ++i) {
    JobOwnerOptions options = like;
    options.key = fmt::format("{}-{}", like.key, i);
    options.unrepeatable = like.unrepeatable || i % 2 == 1;
    if (like.cancel_after) {
      options.cancel_after = fleet.simulation().drawDuration(fromMillis(0), *like.cancel_after);
    }
    fleet.submitJob(options);
    fleet.run(pause);
  }
}

/// Ends leaders in the middle of proposals until the outcome of one was left open.
void loseLeadersUntilUnknown(Fleet& fleet, const RefusalProbe& probe) {
  for (int i = 0; i < 10 && probe.unknown() == 0; ++i) {
    const GroupId group = 1 + static_cast<GroupId>(fleet.simulation().draw(fleet.options().batch_groups));
    ControlMachine& leading = *fleet.leader(group);
    leading.kill();
    // Longer than the probe waits for an answer.
    fleet.run(fromMillis(6000));
    leading.start();
  }
}

}  // namespace

void runWorkerDeath(Simulation& simulation) {
  Fleet fleet(simulation, FleetOptions());
  fleet.start();
  NemesisOptions faults;
  faults.kinds = {FaultKind::kKillGateway, FaultKind::kKillEngine, FaultKind::kFreezeGateway};
  faults.least_pause = fromMillis(50);
  faults.most_pause = fromMillis(500);
  faults.most_length = fromMillis(1500);
  Nemesis nemesis(fleet, faults);
  nemesis.start();
  JobOwnerOptions job;
  job.key = "job";
  job.items_per_part = 20;
  submitOverTime(fleet, 6, fromMillis(1500), job);
  nemesis.stop();
  requireEffect(simulation, nemesis.begun(FaultKind::kKillGateway) >= 2, "two killed gateways");
  requireEffect(simulation, nemesis.begun(FaultKind::kKillEngine) >= 2, "two killed engines");
  fleet.finishAndCheck();
}

void runResubmit(Simulation& simulation) {
  FleetOptions options;
  options.gateways = 3;
  Fleet fleet(simulation, options);
  fleet.start();
  NemesisOptions faults;
  faults.kinds = {FaultKind::kKillGateway, FaultKind::kTransferLeadership, FaultKind::kKillControl,
                  FaultKind::kBadNetwork};
  Nemesis nemesis(fleet, faults);
  nemesis.start();
  JobOwnerOptions job;
  job.parts = 3;
  job.resend_one_in = 2;
  job.answer_timeout = fromMillis(400);
  for (std::size_t i = 0; i < 4; ++i) {
    // Two clients send the same job, in whole and in part, to any gateways.
    job.key = fmt::format("job-{}", i);
    job.unrepeatable = i % 2 == 1;
    fleet.submitJob(job);
    fleet.run(simulation.drawDuration(fromMillis(0), fromMillis(300)));
    fleet.submitJob(job);
    fleet.run(simulation.drawDuration(fromMillis(500), fromMillis(2000)));
  }
  nemesis.stop();
  fleet.finishAndCheck();
}

void runCancelRace(Simulation& simulation) {
  FleetOptions options;
  // Gateways hold items for longer than a lease before they run them.
  options.running_items = 2;
  options.least_run_time = fromMillis(300);
  options.most_run_time = fromMillis(2000);
  Fleet fleet(simulation, options);
  fleet.start();
  NemesisOptions faults;
  faults.kinds = {FaultKind::kTransferLeadership, FaultKind::kKillControl, FaultKind::kFreezeControl,
                  FaultKind::kFreezeGateway};
  faults.most_length = fromMillis(7000);
  Nemesis nemesis(fleet, faults);
  nemesis.start();
  JobOwnerOptions job;
  job.key = "job";
  job.items_per_part = 8;
  job.cancel_after = fromMillis(8000);
  submitOverTime(fleet, 8, fromMillis(1500), job);
  nemesis.stop();
  fleet.run(fromMillis(6000));
  fleet.finishAndCheck();
  requireEffect(simulation, someEnded(fleet, batch::ItemState::kCancelled), "cancelled items");
  requireEffect(simulation, someEnded(fleet, batch::ItemState::kCompleted), "completed items");
}

void runUnrepeatable(Simulation& simulation) {
  FleetOptions options;
  options.gateways = 3;
  options.online_clients = true;
  options.online_options.unrepeatable_one_in = 1;
  options.online_options.twice_one_in = 2;
  Fleet fleet(simulation, options);
  fleet.start();
  NemesisOptions faults;
  faults.kinds = {FaultKind::kKillGateway,   FaultKind::kFreezeGateway, FaultKind::kKillEngine,
                  FaultKind::kCutGateway,    FaultKind::kKillControl,   FaultKind::kCutControl,
                  FaultKind::kFreezeControl, FaultKind::kLoseDisk,      FaultKind::kBadNetwork};
  faults.least_pause = fromMillis(100);
  faults.most_pause = fromMillis(900);
  faults.most_length = fromMillis(6500);
  Nemesis nemesis(fleet, faults);
  nemesis.start();
  JobOwnerOptions job;
  job.key = "job";
  job.unrepeatable = true;
  submitOverTime(fleet, 6, fromMillis(2500), job);
  nemesis.stop();
  fleet.finishAndCheck();
}

void runRefusalTruth(Simulation& simulation) {
  FleetOptions options;
  options.online_clients = true;
  options.operator_options.most_tries = 1;
  options.operator_options.least_pause = fromMillis(5);
  options.operator_options.most_pause = fromMillis(60);
  Fleet fleet(simulation, options);
  fleet.start();
  RefusalProbe probe(simulation, fleet.machinePointers(), options.batch_groups);
  probe.start();
  NemesisOptions faults;
  faults.kinds = {FaultKind::kTransferLeadership, FaultKind::kKillControl, FaultKind::kCutControl,
                  FaultKind::kFreezeControl,      FaultKind::kSlowDisk,    FaultKind::kKillEngine,
                  FaultKind::kFreezeGateway};
  faults.least_pause = fromMillis(200);
  faults.most_pause = fromMillis(1200);
  Nemesis nemesis(fleet, faults);
  nemesis.start();
  submitJobs(fleet, 2);
  fleet.run(fromMillis(15000));
  nemesis.stop();
  loseLeadersUntilUnknown(fleet, probe);
  probe.stop();
  requireEffect(simulation, probe.refused() >= 10, "ten refused jobs");
  requireEffect(simulation, probe.unknown() >= 1, "a job whose outcome was left open");
  fleet.finishAndCheck();
  bool verified = false;
  probe.verify([&verified] { verified = true; });
  fleet.run(fromMillis(40000));
  requireEffect(simulation, verified, "an answer to every check of a refusal");
}

}  // namespace hatchfork::sim
