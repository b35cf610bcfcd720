#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "common/time.hpp"
#include "process/fleet/fleet_state.hpp"
#include "version/engine_record.hpp"

namespace hatchfork::fleet {

/// What a control process knows of engines beyond the replicated state: when each one was last heard. Decides which
/// beats need a command, and which engines the leader forgets. No I/O, no clock.
class EngineWatch {
 public:
  explicit EngineWatch(Duration beat_interval) : beat_interval_(beat_interval) {}

  /// Takes a beat; returns the command that must be committed before it is acknowledged, if any.
  std::optional<RegisterEngine> take(Instant now, const EngineHeartbeat& beat, const FleetState& state);
  /// Another control process heard these engines lately itself.
  void hearOf(Instant now, const std::vector<EngineId>& engines);
  /// Engines that this process heard itself since it was asked last: each beat is passed on once, so that telling costs
  /// what was heard, not what engines there are.
  std::vector<EngineId> takeHeard();
  /// Engines of the state that nobody has heard for long, counted from `leading_since` and from when they were first
  /// seen here at the earliest. They are taken for forgotten from then on. Looks at all engines: ask once a beat.
  std::vector<EngineId> silent(Instant now, Instant leading_since, const FleetState& state);
  void expire(Instant now);
  /// From now on the next heartbeat of each engine that reports its build needs a command, whether or not the state has
  /// the build: other replicas may lack it.
  void confirmBuilds() { ++build_confirmations_; }

 private:
  struct Heard {
    /// Last sign of life that this process or another one had.
    Instant at = Instant::min();
    /// Last beat that this process had itself; only these are passed on, so that no sign of life goes round for ever.
    Instant direct_at = Instant::min();
    /// Of the newest life that was heard here; counts of a newer life begin anew.
    WallMillis born = 0;
    std::uint64_t sequence = 0;
    /// Value of `build_confirmations_` at the last command for this engine.
    std::uint64_t build_confirmation = 0;
  };
  /// True if another engine at the same address was heard so lately that a first beat must be a late one.
  bool isAddressTaken(Instant now, const EngineRecord& engine, const FleetState& state) const;

  /// True if the engine's build is to be committed anew.
  bool needsConfirmation(const EngineHeartbeat& beat);

  Duration beat_interval_;
  std::uint64_t build_confirmations_ = 0;
  std::unordered_map<EngineId, Heard> heard_;
  std::vector<EngineId> heard_since_;
};

}  // namespace hatchfork::fleet
