#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/admission/engine_speed.hpp"

namespace hatchfork::request {

/// Weights and bounds of the selection; all costs in milliseconds.
struct SelectorLimits {
  /// Prompt tokens that an engine processes per millisecond.
  double prompt_tokens_per_ms = 85;
  /// Mean time that a running request holds its slot, used until a time has been observed.
  double slot_hold_ms = 700;
  /// Weight of a new observation of that time against all older ones.
  double hold_learning_rate = 0.03;
  /// Delay that each running request adds to the first token of the others.
  double running_cost_ms = 0.6;
  /// Reported loads lag behind, so an engine that looks nearly full may be full: from this share of its slots on, a
  /// risk cost is added that rises to `full_risk_ms`.
  double risky_share = 0.65;
  double full_risk_ms = 80;
  /// Grace period beyond the expected first byte of an answer. An engine with an answer that is overdue by more costs
  /// as much as the answer is late, up to the maximum.
  Duration overdue_grace = fromMillis(80);
  double max_overdue_cost_ms = 3000;
  /// Maximum cost of an engine that another process reports to avoid.
  double max_reported_avoid_ms = 600;
  /// Cost of reaching an engine in another zone.
  double other_zone_cost_ms = 4;
  /// Shared prompt parts with fewer tokens than this do not influence the choice.
  std::uint32_t affinity_tokens = 1500;
  /// Number of home engines of a shared prefix: the first one receives its prompts, so that the prefix is processed
  /// there once; the others receive them while the first is loaded, and are expected to have this share of the prefix
  /// in their caches.
  std::size_t home_engines = 2;
  double secondary_home_cached_share = 0.5;
  /// Half-life of a reported load.
  Duration load_half_life = fromMillis(2000);
  /// Prompts with at least this many tokens are long: processing one delays every other request of its engine.
  std::uint32_t long_prompt_tokens = 4000;
  /// Share of a service's engines, the same at all gateways, that long prompts and background work are sent to first
  /// (the long lane).
  double long_lane_share = 0.34;
  /// The lane is reserved for this long after the last long prompt that this process has seen.
  Duration long_lane_lifetime = std::chrono::seconds(15);
  /// Extra cost of a request outside its lane: short prompts in the long lane, long prompts and background work
  /// outside.
  double short_in_long_lane_ms = 25;
  double long_outside_lane_ms = 120;
  double background_outside_lane_ms = 30;
  /// Background work leaves slots free for this share of the recent surge of online requests, since it can be preempted
  /// in time for the rest; but no larger share of an engine's slots than the second bound.
  double surge_reserve_share = 0.3;
  double max_reserve_share = 0.125;
  /// Background work starts only at engines with no more unread prompt tokens of this process than this.
  std::uint64_t background_most_unread = 3000;
  /// Processes exchange their loads periodically; between two reports they do not see each other's choices. Lower bound
  /// of the assumed report interval, which otherwise is the mean interval between recent reports.
  Duration min_report_interval = fromMillis(100);
  /// Weight of the last report interval against all earlier ones.
  double report_interval_learning_rate = 0.2;
  /// The sample of engines is sized so that, between two reports, about this many choices of all processes fall on the
  /// least loaded engine. Where each engine gets more than that, loads carry no information and an engine is drawn at
  /// random.
  double choices_per_engine_and_report = 2;
  /// In services with more than `sampled_from` engines, `sampled_first` engines drawn at random are examined first.
  /// With a hundredth of the slots taken any of them has a free slot, and a choice costs the same for any number of
  /// engines.
  std::size_t sampled_first = 64;
  std::size_t sampled_from = 256;
  /// A sampled engine is accepted if its cost exceeds the processing time of the prompt by no more than this.
  double good_enough_ms = 12;
  /// Maximum number of engines that a choice examines, except for prompts with home engines. Where this many engines
  /// drawn at random are full, the rest are taken to be full as well.
  std::size_t max_examined = 1024;
  /// True if this process places all requests of its zone. The load of the zone's engines is then known exactly, so
  /// neither sampling nor the risk cost applies there.
  bool places_zone = false;
  /// Zone whose cold engines only this process sends to, since a single process keeps a fleet-wide rate bound best.
  /// Empty for all other processes, which send nothing to cold engines.
  ZoneId cold_zone;
  /// Share of a cold engine's rate bound that is used, since two processes may send to an engine at once for a moment
  /// during a handover.
  double cold_share_used = 0.9;
  /// Delay until a batch run has released its slot: an order to its store and a cancelled request.
  double preemption_ms = 10;
  /// Parameters for learning the speed of engines; if `learns_pace` is false, all engines of a service are treated as
  /// equal.
  bool learns_pace = true;
  EngineSpeedLimits pace;
  /// For services with engines of different speed: cost of an engine with one free slot above that of an idle one. A
  /// fast engine gets more requests, yet not all of them, since its crash would affect them all.
  double uneven_fill_ms = 400;
  /// For a request that needs a free slot, engines in another zone count as full from this share of their slots on.
  double other_zone_free_share = 0.75;
  /// Minimum interval between two samples of the peers' requests.
  Duration surge_note_interval = fromMillis(20);
  /// Time for which a report of peer loads is valid.
  Duration peer_load_lifetime = fromMillis(1000);
  /// Time out of rotation after a failure; doubles with each consecutive one.
  Duration initial_ejection = fromMillis(400);
  Duration max_ejection = fromMillis(5000);
  /// Maximum share of a service's engines that are out of rotation at once.
  double max_ejected_share = 0.5;
  /// Time after which every process that may rely on its list of engines has received a new build.
  Duration build_settle_time = std::chrono::seconds(2);
};

}  // namespace hatchfork::request
