#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "common/ids.hpp"
#include "request/exchange/prompt_shape.hpp"
#include "version/engine_record.hpp"

namespace hatchfork::request {

/// Properties of a request that determine the choice of an engine.
struct EngineQuery {
  ServiceId service;
  ZoneId zone;
  PromptShape prompt;
  bool prefix_affinity = false;
  /// Batch work: uses only capacity that online requests leave.
  bool background = false;
  /// Only engines with a free slot are eligible, counting slots of preemptible batch runs unless `spares_background` is
  /// set. Loads of other zones lag behind, so engines there need more than one free slot.
  bool needs_free_slot = false;
  bool spares_background = false;
  /// Background work only: zero for work that can wait, one for work that must run now and leaves no slots free.
  double urgency = 0;
  /// Engines already tried for this request.
  std::set<EngineId> excluded;
  /// Zones whose engines may run the request; all if absent.
  std::optional<std::set<ZoneId>> zones;
  /// Build whose engines alone may run the request, since they wrote its text so far; any if absent.
  std::optional<EngineBuild> build;
  /// Prefers builds that the service has run for `SelectorLimits::build_settle_time`: a stream that begins at an engine
  /// of a new build may be resumed at a process that has not received that build yet.
  bool prefers_settled_builds = false;
};

/// The chosen engine and the figures behind the choice, for the log.
struct EngineChoice {
  EngineRecord engine;
  double cost_ms = 0;
  /// Expected time until the prompt is processed, plus the wait for a slot if the slot hold time of the service has
  /// been observed.
  double expected_first_ms = 0;
  std::uint32_t in_flight = 0;
  double estimated_running = 0;
  /// Age of the engine's load report; negative if there is none.
  std::int64_t load_age_ms = -1;
  bool expects_cached_prefix = false;
  bool in_long_lane = false;
  std::size_t candidates = 0;
  /// A batch run must be preempted to free the slot.
  bool needs_preemption = false;
  /// Expected duration of work relative to the mean engine of the service, and the age of the engine's own report of
  /// its speed; negative if there is none.
  double slowness = 1;
  std::int64_t pace_age_ms = -1;
  /// Extra cost of the engine besides its load: being in another zone, where reported loads lag behind, or overdue
  /// answers.
  double detour_ms = 0;
};

/// Identifies one request in flight at an engine.
using TicketId = std::uint64_t;

/// Outcome of a request with regard to the engine's health.
enum class EngineVerdict {
  kGood,
  /// The engine declined the request: full or leaving, but alive.
  kDeclined,
  /// Another engine has taken over the address: this engine does not return.
  kGone,
  /// Connection failed, connection lost or answer timed out.
  kFailed,
  /// No information about the engine: the caller disconnected or the deadline passed.
  kNeutral,
};

}  // namespace hatchfork::request
