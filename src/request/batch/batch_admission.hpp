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

/// Names one running batch attempt inside a gateway; chosen by the caller, never reused.
using AttemptId = std::uint64_t;

/// Where an item that was paused ran last, and so probably still has its prompt and answer in the cache.
struct PausedAt {
  EngineId engine;
  Instant at;
};

struct BatchAdmissionOptions {
  GatewayId self;
  /// Slots that new batch work leaves free on an engine that does not preempt, for online requests of any gateway.
  /// Batch work that runs already is paused only when an online request finds no free slot at all.
  std::uint32_t reserved_slots = 1;
  /// Batch attempts that may wait for their first token at once on an engine. Their prompts are read in the same steps
  /// as online prompts, and before those that come later: a heap of items on an idle engine would hold up the next
  /// online request for the time of all their prompts.
  std::uint32_t most_starting = 1;
  /// After the limit of an engine shrank, it gets one more batch item each time this time passes.
  Duration growth_interval = fromMillis(50);
  PeerLoadOptions others_load;
  /// How long a paused item waits for the engine that caches it.
  Duration return_patience = fromMillis(10000);
  /// Target of the online first token; samples above it shrink the batch limit of that engine by `decrease`.
  Duration first_token_target = fromMillis(360);
  double decrease = 0.7;
};

/// Decides, for one service of one gateway, how many batch items may run on each engine now and which must give way.
/// Batch enters only slots that online work leaves idle, and only on engines this gateway owns (`ownedEngines`), while
/// its knowledge of the live gateways is fresh. A paused attempt keeps its tokens and is later resumed at its offset,
/// on any engine. One traffic thread.
class BatchAdmission {
 public:
  explicit BatchAdmission(BatchAdmissionOptions options);

  /// Takes a new fleet version. `owned_until` bounds the ownership: the end of the gateway's configuration lease. A
  /// gateway that was frozen past it places nothing and pauses what it runs until it is renewed.
  void updateFleet(Instant now, const ServiceFleetPtr& fleet, Instant owned_until);
  void renewOwnership(Instant owned_until) { owned_until_ = owned_until; }
  void applyLoadReport(Instant now, const EngineId& engine, const LoadReport& report);

  /// Call right before an online request is sent to the engine. Returns the batch attempts to pause at once (cancel the
  /// stream, keep the tokens); they no longer count as running, `endBatch` must not be called for them.
  std::vector<AttemptId> beginOnline(Instant now, const EngineId& engine);
  void recordOnlineFirstToken(Instant now, const EngineId& engine, Duration first_token);
  /// `had_first_token` tells whether `recordOnlineFirstToken` was called for the request.
  void endOnline(Instant now, const EngineId& engine, bool had_first_token);

  /// Places one batch item and counts it as running, or nothing when no engine has room for it. A paused item is placed
  /// where it ran last; on other engines, which would have to read it again, only when that engine is gone or has had
  /// no room for `return_patience`.
  std::optional<EngineId> admit(Instant now, AttemptId attempt, const std::optional<PausedAt>& paused = {});
  /// A token of the attempt has come; `tokens` is the length of the answer now, earlier attempts included. True with
  /// the attempt's first token: it no longer counts as starting, so that another one may start.
  bool recordBatchToken(AttemptId attempt, std::uint32_t tokens);
  /// The attempt ended by itself: completed or failed.
  void endBatch(Instant now, AttemptId attempt);

  /// Call at least every 50 ms. Returns attempts to pause because of load reports, leaving engines or an ended
  /// ownership.
  std::vector<AttemptId> tick(Instant now);
  /// Items that could be placed now; how many to lease ahead.
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
    /// Own online requests that wait for their first token.
    std::uint32_t online_waiting = 0;
    LoadReport report;
    PeerLoadEstimator others;
    /// Upper bound steered by first-token times and by recent yielding.
    double limit = 0;
    Instant grown_at{};
    /// Newest last.
    std::vector<RunningAttempt> attempts;
  };
  std::uint32_t onlineLoad(Instant now, const EngineRecord& record) const;
  bool isUsable(Instant now, const EngineRecord& record) const;
  /// Slots that online work does not hold.
  std::uint32_t idleSlots(Instant now, const EngineRecord& record) const;
  /// Batch attempts up to which new ones may start.
  std::uint32_t allowed(Instant now, const EngineRecord& record) const;
  /// Attempts that fit, whenever they may start.
  std::uint32_t roomOn(Instant now, const EngineRecord& record) const;
  bool mayStart(const EngineRecord& record) const;
  /// The engine that the paused item should wait for, if it should.
  EngineRecord* waitsFor(Instant now, const PausedAt& paused);
  EngineId place(AttemptId attempt, const EngineId& engine, EngineRecord& record);
  void grow(Instant now, EngineRecord& record) const;
  void pauseAbove(EngineRecord& record, std::uint32_t most, std::vector<AttemptId>& paused);

  BatchAdmissionOptions options_;
  Instant owned_until_{};
  std::map<EngineId, EngineRecord> engines_;
  std::map<AttemptId, EngineId> engine_of_;
};

}  // namespace hatchfork::request
