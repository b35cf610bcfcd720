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
  /// Engines this gateway routes to (more when it owns more). Bounds the cost of a decision and the number of
  /// connections, whatever the size of the fleet.
  std::size_t subset_size = 12;
  /// An engine is full when its known load reaches this many times its slots; local engines are left for other zones
  /// (spill-over) at the first factor, and the request is refused when all are at the second.
  double spill_load = 0.9;
  double refuse_load = 2.0;
  /// Prefix affinity may not load an engine above this multiple of the mean load of the candidates, plus one request.
  double affinity_load_bound = 1.25;
  /// Prompt tokens waiting at an engine that weigh as much as a full set of slots.
  double prefill_tokens_weight = 4096;
  /// Added to the score of an engine in another zone, and of one whose batch work another gateway owns: this gateway
  /// can make batch work yield at once only on engines it owns.
  double other_zone_penalty = 0.15;
  double not_owned_penalty = 0.1;
  PeerLoadOptions peer_load;
  OutlierOptions outlier;
  AdaptiveConcurrencyOptions concurrency;
  Duration first_token_target = fromMillis(360);
  std::uint64_t seed = 1;
};

/// What routing needs to know of a request.
struct RouteRequest {
  /// Chained hashes of the prompt's blocks (`hashPromptBlocks`); empty for no affinity.
  std::vector<std::uint64_t> prompt_blocks;
  /// Estimated prompt tokens (`estimatePromptTokens`), the answer so far included on a resume.
  std::uint32_t prompt_tokens = 0;
  /// Adapter that must be loaded; empty for none.
  std::string adapter;
  /// Engines already tried.
  std::vector<EngineId> excluded;
};

struct RouteChoice {
  EngineId engine;
  /// False when the request spilled over to another zone.
  bool in_own_zone = true;
  /// Leading prompt blocks believed to be in the engine's cache.
  std::uint32_t cached_blocks = 0;
};

/// How an attempt on an engine ended.
enum class AttemptResult : std::uint8_t {
  kSucceeded,
  /// Connection lost, timeout, broken or crossed answer, 5xx: counts against the engine.
  kFailed,
  /// Ended by the caller or by yielding: says nothing about the engine.
  kCancelled,
};

/// One attempt between `beginAttempt` and `endAttempt`; kept by the caller, unchanged.
struct RoutedAttempt {
  EngineId engine;
  Urgency urgency = Urgency::kOnline;
  /// Prompt tokens that the engine probably still has to process for it.
  std::uint32_t pending_prefill = 0;
};

/// Chooses engines for one service on one traffic thread. The cost of a decision depends on the subset, not on the
/// fleet. Engines of the own zone come first while they have room; among them the better of two random ones and of the
/// one that holds the longest prefix (within the load bound) is taken. Load is the own in-flight work plus what the
/// last report shows of others' work.
class Router {
 public:
  explicit Router(RouterOptions options);

  /// Takes a new fleet version. In-flight counts and cache hints of engines that remain are kept.
  void updateFleet(Instant now, ServiceFleetPtr fleet);
  void applyLoadReport(Instant now, const EngineId& engine, const LoadReport& report);
  void applyCacheEvent(const EngineId& engine, const CacheEvent& event);

  /// Picks an engine. Errors, all with `Executed::kNo` and a retry time: `kNotFound` (no engines configured),
  /// `kUnavailable` (all leaving, ejected or already tried), `kOverloaded` (all full).
  Result<RouteChoice> choose(Instant now, const RouteRequest& request);

  /// Call at dispatch; the result goes into `recordFirstToken` and `endAttempt`, which follows exactly once.
  RoutedAttempt beginAttempt(Instant now, const EngineId& engine, Urgency urgency, const RouteRequest& request);
  /// Call when the first token of the answer arrives, `first_token` after the dispatch.
  void recordFirstToken(Instant now, RoutedAttempt& attempt, Duration first_token);
  void endAttempt(Instant now, RoutedAttempt& attempt, AttemptResult result);

  /// True when the engine may still get new work: in the fleet and not leaving by any of the three signs. Checked again
  /// right before dispatch when time has passed since `choose`.
  bool mayDispatch(const EngineId& engine) const;
  /// Engines this gateway needs connections to, load reports and cache events of.
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
    /// Prompt tokens of own online attempts that have not answered yet.
    std::uint32_t pending_prefill = 0;
    LoadReport report;
    PeerLoadEstimator others;
    AdaptiveConcurrency concurrency;
  };
  /// An engine that may take the request, with the figures it is judged by.
  struct Candidate {
    Slot slot = 0;
    /// Known online requests as a share of the slots.
    double load = 0;
    bool own_zone = false;
    /// Lower is better: load, prompt work ahead, distance.
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
  /// Scratch space of `choose`, kept to spare allocations.
  std::vector<Candidate> candidates_;
  std::vector<Candidate> eligible_;
  /// The last `collectCandidates` passed over an engine only because of its concurrency limit.
  bool any_at_limit_ = false;
  OutlierDetector outliers_;
  PrefixIndex prefixes_;
  std::mt19937_64 random_;
};

}  // namespace hatchfork::request
