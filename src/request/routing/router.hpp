#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "request/limits/adaptive_concurrency.hpp"
#include "request/routing/load_report.hpp"
#include "request/routing/outlier_detector.hpp"
#include "request/routing/peer_load_estimator.hpp"
#include "request/routing/prefix_index.hpp"
#include "request/routing/service_fleet.hpp"
#include "request/urgency.hpp"

namespace hatchfork::request {

struct RouterOptions {
  GatewayId self;
  ZoneId zone;
  /// Number of engines this gateway routes to (more if it owns more). Bounds the cost of a decision and the number of
  /// connections, independently of the size of the fleet.
  std::size_t subset_size = 12;
  /// Load limits as multiples of an engine's slots: above `spill_load` in the own zone requests spill over to other
  /// zones, and if all engines are above the second limit the request is rejected.
  double spill_load = 0.9;
  double reject_load = 2.0;
  /// Maximum load of an engine chosen for prefix affinity, as a multiple of the candidates' mean load, plus one
  /// request.
  double affinity_load_bound = 1.25;
  /// Number of prompt tokens waiting at an engine that weigh as much as a full set of slots.
  double prefill_tokens_weight = 4096;
  /// Added to the score of an engine in another zone, and of one whose batch work another gateway owns: this gateway
  /// can preempt batch work at once only on engines it owns.
  double other_zone_penalty = 0.15;
  double not_owned_penalty = 0.1;
  PeerLoadOptions peer_load;
  OutlierOptions outlier;
  AdaptiveConcurrencyOptions concurrency;
  Duration first_token_target = fromMillis(360);
  std::uint64_t seed = 1;
};

/// Properties of a request that determine its route.
struct RouteRequest {
  /// Chained hashes of the prompt's blocks (`hashPromptBlocks`); empty for no affinity.
  std::vector<std::uint64_t> prompt_blocks;
  /// Estimated prompt tokens (`estimatePromptTokens`), the answer so far included on a resume.
  std::uint32_t prompt_tokens = 0;
  /// Adapter that the engine must have loaded; empty if none.
  std::string adapter;
  /// Engines already tried.
  std::vector<EngineId> excluded;
  /// Build that wrote the answer so far, whose engines alone may continue it; any if absent.
  std::optional<EngineBuild> build;
};

struct RouteChoice {
  EngineId engine;
  /// False if the request spilled over to another zone.
  bool in_own_zone = true;
  /// Number of leading prompt blocks believed to be in the engine's cache.
  std::uint32_t cached_blocks = 0;
};

/// How an attempt on an engine ended.
enum class AttemptResult : std::uint8_t {
  kSucceeded,
  /// Connection lost, timeout, broken answer, answer of another request, 5xx: counts against the engine.
  kFailed,
  /// Cancelled by the caller or by preemption: does not count for or against the engine.
  kCancelled,
};

/// An attempt between `beginAttempt` and `endAttempt`; stored by the caller, who must not change it.
struct RoutedAttempt {
  EngineId engine;
  Urgency urgency = Urgency::kOnline;
  /// Prompt tokens that the engine probably still has to process for this attempt.
  std::uint32_t pending_prefill = 0;
};

/// Chooses engines for one service on one traffic thread. The cost of a decision depends on the size of the subset, not
/// of the fleet. Engines of the own zone are preferred while they have capacity; among these the router takes the
/// better of two random ones, or an engine with a longer cached prefix and a better score (within the load bound). The
/// load is the own work in flight plus the peer load estimated from load reports.
class Router {
 public:
  explicit Router(RouterOptions options);

  /// Applies a new fleet version. In-flight counts of engines that remain in the subset are kept; cache hints are kept
  /// only if the subset does not change.
  void updateFleet(Instant now, ServiceFleetPtr fleet);
  void applyLoadReport(Instant now, const EngineId& engine, const LoadReport& report);
  void applyCacheEvent(const EngineId& engine, const CacheEvent& event);

  /// Chooses an engine. Errors, all with `Executed::kNo`: `kNotFound` (no engines configured); with a retry time
  /// `kUnavailable` (all leaving, ejected or already tried) and `kOverloaded` (all full).
  Result<RouteChoice> choose(Instant now, const RouteRequest& request);

  /// Records a dispatch. Pass the result to `recordFirstToken` and `endAttempt`; the latter must follow exactly once.
  RoutedAttempt beginAttempt(Instant now, const EngineId& engine, Urgency urgency, const RouteRequest& request);
  /// Records the first token of the answer, received `first_token` after the dispatch.
  void recordFirstToken(Instant now, RoutedAttempt& attempt, Duration first_token);
  void endAttempt(Instant now, RoutedAttempt& attempt, AttemptResult result);

  /// True if the engine may still get new work: in the subset and not leaving by any of the three marks. Check again
  /// right before the dispatch if time has passed since `choose`.
  bool mayDispatch(const EngineId& engine) const;
  /// Empty if the engine is not in the subset or no build is configured for it.
  EngineBuild buildOf(const EngineId& engine) const;
  /// Engines whose connections, load reports and cache events this gateway needs.
  const std::vector<EngineId>& subset() const { return subset_ids_; }
  std::uint32_t onlineInFlight(const EngineId& engine) const;

 private:
  using Slot = std::uint32_t;
  struct EngineRecord {
    FleetEngine engine;
    bool owned = false;
    bool own_zone = false;
    std::uint32_t online_in_flight = 0;
    std::uint32_t batch_in_flight = 0;
    /// Prompt tokens of own online attempts without an answer yet.
    std::uint32_t pending_prefill = 0;
    LoadReport report;
    PeerLoadEstimator others;
    AdaptiveConcurrency concurrency;
  };
  /// An engine that may take the request, with its score and the figures behind it.
  struct Candidate {
    Slot slot = 0;
    /// Estimated online requests of all gateways as a share of the slots.
    double load = 0;
    bool own_zone = false;
    /// Sum of load, pending prompt work and penalties; lower is better.
    double score = 0;
    std::uint32_t cached_blocks = 0;
  };

  EngineRecord makeRecord(const FleetEngine& engine) const;
  bool isLeaving(const EngineRecord& record) const;
  bool accepts(Instant now, const EngineRecord& record, const RouteRequest& request);
  double onlineLoad(Instant now, const EngineRecord& record) const;
  Candidate judge(Instant now, Slot slot, const RouteRequest& request) const;
  void collectCandidates(Instant now, const RouteRequest& request);
  std::optional<Candidate> pick(double load_limit, bool own_zone_only);
  Error refusal(Instant now) const;
  EngineRecord* find(const EngineId& engine);
  const EngineRecord* find(const EngineId& engine) const;

  RouterOptions options_;
  ServiceFleetPtr fleet_;
  std::vector<EngineRecord> records_;
  std::unordered_map<EngineId, Slot> slots_;
  std::vector<EngineId> subset_ids_;
  /// Buffers of `choose`, kept to avoid allocations.
  std::vector<Candidate> candidates_;
  std::vector<Candidate> eligible_;
  /// True if the last `collectCandidates` skipped an engine because of its concurrency limit.
  bool skipped_at_limit_ = false;
  OutlierDetector outliers_;
  PrefixIndex prefixes_;
  std::mt19937_64 random_;
};

}  // namespace hatchfork::request
