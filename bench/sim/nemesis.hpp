#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bench/sim/fleet.hpp"

namespace hatchfork::sim {

enum class FaultKind {
  kKillControl,
  kCrashControl,
  kTornCrash,
  kLoseDisk,
  kFlipBit,
  kFailSyncs,
  kFillDisk,
  kSlowDisk,
  kCutControl,
  kFreezeControl,
  kTransferLeadership,
  kKillGateway,
  kFreezeGateway,
  kCutGateway,
  kKillEngine,
  kBadNetwork,
};

struct NemesisOptions {
  std::vector<FaultKind> kinds;
  /// Pause between the begins of two faults; faults overlap where it is shorter than they last.
  Duration least_pause = fromMillis(300);
  Duration most_pause = fromMillis(1500);
  Duration least_length = fromMillis(100);
  Duration most_length = fromMillis(4000);
};

/// Brings faults about at random times while a fleet works, and ends each after a while. No more disks are lost or
/// damaged at once than the promise covers: two of five, counted until their repair is reported done.
class Nemesis {
 public:
  Nemesis(Fleet& fleet, NemesisOptions options);

  void start();
  /// No fault begins any more; those in flight still end.
  void stop() { stopped_ = true; }
  /// Begins one fault now. False where no machine is fit for it.
  bool strike(FaultKind kind);
  std::size_t begun(FaultKind kind) const;

 private:
  using End = std::function<void()>;

  void nextLater();
  bool strikeControl(FaultKind kind);
  bool strikeGateway(FaultKind kind);
  bool strikeEngine();
  bool strikeNetwork();
  End beginControlFault(FaultKind kind, ControlMachine& machine);
  End beginDamage(FaultKind kind, ControlMachine& machine);
  void cutGateway(SimulatedGateway& gateway);
  void healGateway(SimulatedGateway& gateway);
  void repair(ControlMachine& machine);
  /// Marks the victim as busy until `end` has run.
  void endLater(const std::string& victim, End end);
  template <class Machine, class Get>
  Machine* drawIdle(std::size_t count, Get get);

  Fleet& fleet_;
  Simulation& simulation_;
  NemesisOptions options_;
  std::map<FaultKind, std::size_t> begun_;
  /// Names of processes with a fault in flight.
  std::set<std::string> busy_;
  /// Machines whose disk is lost or damaged and not yet repaired.
  std::set<std::string> impaired_;
  std::vector<std::unique_ptr<Repair>> repairs_;
  bool stopped_ = false;
};

}  // namespace hatchfork::sim
