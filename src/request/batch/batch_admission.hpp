#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/routing/load_report.hpp"
#include "request/routing/peer_load_estimator.hpp"
#include "request/routing/service_fleet.hpp"

namespace hatchfork::request {

/// Identifies one running batch attempt within a gateway. Chosen by the caller and never reused.
using AttemptId = std::uint64_t;

/// Engine at which a paused item ran last, and which therefore probably still caches its prompt and answer, and the
/// time of the pause.
struct PausedPlacement {
  EngineId engine;
  Instant at;
};

/// Settings of `BatchAdmission`.
struct BatchAdmissionOptions {
  GatewayId self;
  /// Number of slots that new batch work leaves free for online requests of any gateway, on an engine that does not
  /// preempt. Running batch work is paused only when an online request finds no free slot at all.
  std::uint32_t reserved_slots = 1;
  /// Number of batch attempts per engine that may wait for their first token at the same time. An engine processes
  /// their prompts in the same steps as online prompts and ahead of later ones: many items started at once on an idle
  /// engine would delay the next online request by the processing time of all their prompts.
  std::uint32_t max_starting_attempts = 1;
  /// Interval at which the limit of an engine increases by one batch item after a decrease.
  Duration growth_interval = fromMillis(50);
  PeerLoadOptions peer_load_options;
  /// Longest time that a paused item waits for the engine that caches it.
  Duration max_wait_for_cached_engine = fromMillis(10000);
  /// Target of the online time to first token. A sample above the target multiplies the batch limit of its engine by
  /// `decrease`.
  Duration first_token_target = fromMillis(360);
  double decrease = 0.7;
};

/// Decides, for one service of one gateway, how many batch items may run on each engine and which of them are
/// preempted. Batch work uses only slots that online work leaves idle, and only on engines that this gateway owns
/// (`ownedEngines`) while its list of live gateways is up to date. A paused attempt keeps its tokens and is later
/// resumed at its offset, on any engine. Used by one traffic thread.
class BatchAdmission {
 public:
  explicit BatchAdmission(BatchAdmissionOptions options);

  /// Sets the fleet version. `owned_until` is the end of the ownership and of the configuration lease of the gateway. A
  /// gateway that was frozen beyond this time places no items and pauses the running ones until the lease is renewed.
  void updateFleet(Instant now, const ServiceFleetPtr& fleet, Instant owned_until);
  void renewOwnership(Instant owned_until) { owned_until_ = owned_until; }
  void applyLoadReport(Instant now, const EngineId& engine, const LoadReport& report);

  /// Call directly before an online request is sent to the engine. Returns the batch attempts to pause immediately
  /// (cancel the stream, keep the tokens). They no longer count as running; do not call `endBatch` for them.
  std::vector<AttemptId> beginOnline(Instant now, const EngineId& engine);
  /// Records the first token of an online request; `first_token` is the time from dispatch to the first token.
  void recordOnlineFirstToken(Instant now, const EngineId& engine, Duration first_token);
  /// Records the end of an online request. `had_first_token`: true if `recordOnlineFirstToken` was called for the
  /// request.
  void endOnline(Instant now, const EngineId& engine, bool had_first_token);

  /// Places one batch item and counts it as running. Returns nothing if no engine has room. A paused item is placed on
  /// the engine where it ran last. Another engine, which would have to process the prompt again, is chosen only if that
  /// engine is gone or if the item has been paused for `max_wait_for_cached_engine`.
  std::optional<EngineId> admit(Instant now, AttemptId attempt, const std::optional<PausedPlacement>& paused = {});
  /// Records a token of the attempt. `tokens` is the length of the answer so far, earlier attempts included. Returns
  /// true on the first token of the attempt: the attempt no longer counts as starting, so that another one may start.
  bool recordBatchToken(AttemptId attempt, std::uint32_t tokens);
  /// Records that the attempt completed or failed.
  void endBatch(Instant now, AttemptId attempt);

  /// Call at least every 50 ms. Returns the attempts to pause because of load reports, engines that leave or the end of
  /// ownership.
  std::vector<AttemptId> tick(Instant now);
  /// Number of items that could be placed now; determines how many items to lease.
  std::uint32_t room(Instant now) const;
  std::uint32_t running() const { return static_cast<std::uint32_t>(engine_of_.size()); }

 private:
  struct RunningAttempt {
    AttemptId id = 0;
    bool starting = true;
    /// Length of the answer so far.
    std::uint32_t tokens = 0;
  };
  struct EngineRecord {
    std::uint32_t slots = 0;
    bool owned = false;
    bool leaving = false;
    std::uint32_t online_in_flight = 0;
    /// Online requests of this gateway that wait for their first token.
    std::uint32_t online_waiting = 0;
    LoadReport report;
    PeerLoadEstimator peer_load;
    /// Upper bound of the running attempts; adapts to the first-token times.
    double limit = 0;
    Instant limit_raised_at{};
    /// In order of their start, the newest last.
    std::vector<RunningAttempt> attempts;
  };
  std::uint32_t onlineLoad(Instant now, const EngineRecord& record) const;
  bool isUsable(Instant now, const EngineRecord& record) const;
  /// Number of slots that online work does not use.
  std::uint32_t idleSlots(Instant now, const EngineRecord& record) const;
  /// Largest number of batch attempts that may run if new ones start now.
  std::uint32_t allowed(Instant now, const EngineRecord& record) const;
  /// Number of attempts that fit in addition to the running ones, regardless of `mayStart`.
  std::uint32_t roomOn(Instant now, const EngineRecord& record) const;
  /// True if no online request waits for its first token and fewer than `max_starting_attempts` batch attempts do.
  bool mayStart(const EngineRecord& record) const;
  /// Returns the engine that the paused item must wait for, or null if any engine may be chosen.
  EngineRecord* engineToWaitFor(Instant now, const PausedPlacement& paused);
  EngineId place(AttemptId attempt, const EngineId& engine, EngineRecord& record);
  /// Increases the limit by one for each `growth_interval` that has passed.
  void raiseLimit(Instant now, EngineRecord& record) const;
  /// Removes the attempts with the lowest cost of a restart until at most `most` are left; appends them to `paused`.
  void pauseAbove(EngineRecord& record, std::uint32_t most, std::vector<AttemptId>& paused);

  BatchAdmissionOptions options_;
  Instant owned_until_{};
  std::map<EngineId, EngineRecord> engines_;
  std::map<AttemptId, EngineId> engine_of_;
};

}  // namespace hatchfork::request
