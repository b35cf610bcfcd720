#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/admission/zone_load.hpp"
#include "request/exchange/engine_pool.hpp"
#include "request/exchange/engine_query.hpp"
#include "request/exchange/engine_state.hpp"
#include "request/exchange/load_table.hpp"
#include "request/exchange/selector_limits.hpp"
#include "request/exchange/surge_meter.hpp"
#include "version/engine_changes.hpp"
#include "version/route_table.hpp"

namespace hatchfork::request {

/// Load that an engine reported in an answer.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Current duration of work at the engine, in hundredths of the usual one; zero if the engine does not report it.
  std::uint32_t pace = 0;
};
/// Parses "running,waiting,slots" and an optional fourth number, the pace; absent for malformed text.
std::optional<EngineLoad> parseEngineLoad(std::string_view text);

/// Chooses an engine for each request of one process. Prompts with a large shared prefix go to the prefix's home
/// engines, which all gateways compute alike by rendezvous hashing, unless those are loaded. All other requests go to
/// the engine with the least estimated time to the first token, with some jitter so that gateways do not herd. No I/O,
/// no clock. Not thread-safe.
class EngineSelector {
 public:
  explicit EngineSelector(std::uint64_t seed, SelectorLimits limits = {}) : limits_(limits), random_(seed) {}

  /// Sets a callback that runs whenever the requests in flight of this process change.
  void setChangeHandler(std::function<void()> on_change) { on_change_ = std::move(on_change); }
  /// Applies a change of the fleet. The state of engines that remain is kept.
  void takeEngines(Instant now, const EngineChanges& changes);
  /// Excludes the engines of these zones from all choices; requests in flight there are not affected. Engines of a zone
  /// that is restored may have become cold, so they count as cold until they report otherwise.
  void setEvacuated(Instant now, const std::set<ZoneId>& zones);
  /// Sets the services, including the rate bounds of their cold engines.
  void setServices(const std::map<ServiceId, RoutedService>& services);
  std::optional<EngineChoice> choose(Instant now, const EngineQuery& query);

  /// Records that a request is sent to the engine.
  TicketId begin(Instant now, const EngineId& engine, const EngineQuery& query);
  /// Records that the engine has started to answer, so that its prompt has been processed.
  void noteFirstByte(Instant now, TicketId ticket);
  void noteLoad(Instant now, const EngineId& engine, const EngineLoad& load);
  /// Records the pace that the engine of a request reported, as in `EngineLoad::pace`.
  void notePace(Instant now, TicketId ticket, std::uint32_t pace);
  /// Records the engine's timing of an answered request; call before `end`.
  void noteTiming(TicketId ticket, const AnswerTiming& timing);
  /// Applies a report of the load of all peer processes, which takes precedence over engine-reported loads while valid.
  void notePeerLoads(Instant now, const std::vector<EngineShare>& others);
  /// Applies a report of the batch runs in flight, which are counted apart from the peers' online requests.
  void noteBackground(const std::vector<EngineShare>& background);
  /// Records that a batch run at the engine was ordered to yield its slot.
  void notePreemption(const EngineId& engine);
  /// Returns the load of this process by engine, for its peers. Time grows with the requests in flight, not with the
  /// fleet.
  std::vector<EngineShare> ownShares(Instant now);
  /// Number of requests of all processes above the engine's slots; zero if the peers' load is not known.
  double excess(Instant now, const EngineId& engine) const;
  void end(Instant now, TicketId ticket, EngineVerdict verdict);

  bool knows(const EngineId& engine) const { return engines_.contains(engine); }
  /// True if an open engine of the service runs this build.
  bool hasOpenEngine(const ServiceId& service, const EngineBuild& build) const;
  /// True if the service has registered engines of a build other than this one, leaving engines included.
  bool hasOtherBuilds(const ServiceId& service, const EngineBuild& build) const;
  /// True if the service has any open engine.
  bool hasOpenEngine(const ServiceId& service) const;
  /// True if the engine is registered and not leaving, also in an evacuated zone.
  bool isServing(const EngineId& engine) const;
  /// Describes a choice made by another process; absent if the engine is not known here or must get no new requests.
  std::optional<EngineChoice> describeChosen(Instant now, const EngineId& engine, const EngineQuery& query,
                                             double expected_first_ms, double running) const;
  /// Engines of the service that this process keeps out of rotation.
  std::vector<EngineId> ejectedEngines(Instant now, const ServiceId& service) const;
  /// True if the prompt is to be sent to the home engines of its prefix.
  bool isSticky(const EngineQuery& query) const;
  std::size_t engineCount(const ServiceId& service) const;
  std::size_t engineCount(const ServiceId& service, const ZoneId& zone) const;
  /// Mean time between two slots becoming free at one busy engine of the service; absent until the slot hold time has
  /// been observed.
  std::optional<double> slotFreedIntervalMs(const ServiceId& service) const;
  /// True if the engines of the service report their speed, so that they are not treated as equal.
  bool isUneven(const ServiceId& service) const;
  /// Number of slots per millisecond that become free at the zone's engines in rotation while all are taken; zero until
  /// the slot hold time has been observed.
  double slotsFreedPerMs(Instant now, const ServiceId& service, const ZoneId& zone) const;
  /// Slots of all open engines.
  std::uint32_t allSlots() const;
  /// Slots of the service's engines by zone, and the peers' requests in flight there; engines out of rotation and cold
  /// engines are left out.
  std::map<ZoneId, ZoneLoad> zoneLoads(Instant now, const ServiceId& service) const;
  /// Null if the engine is not known.
  const EngineRecord* recordOf(const EngineId& engine) const;
  /// Number of requests of this process in flight at the engine.
  std::uint32_t inFlight(const EngineId& engine) const;
  /// Estimated number of free slots of the service.
  double freeSlots(Instant now, const ServiceId& service) const;

 private:
  struct Ticket {
    EngineId engine;
    /// Incarnation of the engine at the start of the request.
    WallMillis born = 0;
    std::uint64_t unread_tokens = 0;
    Instant due{};
    bool answering = false;
    /// True for batch work, which does not count for the slot hold time of online requests.
    bool background = false;
    Instant answering_at{};
    /// True if the engine had a free slot at the start, as far as known.
    bool had_free_slot = false;
  };

  void takePace(Instant now, EngineState& state, std::uint32_t pace);
  /// The engine of a ticket; null once the engine is gone or has restarted.
  EngineState* engineOf(const Ticket& ticket);
  void takeEngine(Instant now, const EngineRecord& record, bool is_first_list);
  void dropEngine(const EngineId& engine);
  /// Adds an open engine to the pool of its service; closed engines are in no pool.
  void addToPool(EngineState& state);
  void removeFromPool(EngineState& state);
  /// Null if the service has no engines.
  EnginePool* poolOf(const ServiceId& service);
  const EnginePool* poolOf(const ServiceId& service) const;
  /// Requests per second that this process may send to the engine while it is cold; zero if unbounded.
  double coldRate(const EngineState& state) const;
  bool isCold(Instant now, const EngineState& state) const { return now < state.cold_until && coldRate(state) > 0; }
  /// Counts an engine for its build. `is_first_list`: all builds of a process's first list of engines count as settled.
  void addToBuilds(Instant now, const EngineRecord& record, bool is_first_list);
  void removeFromBuilds(const EngineState& state);
  /// False if the engine was already tried for the request or is not allowed to run it.
  static bool isAllowed(Instant now, const EngineState& state, const EngineQuery& query);
  std::optional<EngineChoice> chooseAmongAllowed(Instant now, const EngineQuery& query);
  /// False for a cold engine that another process sends to, or whose rate bound is used up at the moment.
  bool admitsAnother(Instant now, const EngineState& state, const EngineQuery& query) const;
  /// Records a long prompt, which starts or extends the long lane of its service.
  void noteLongPrompt(Instant now, const EngineQuery& query);
  bool isLong(const EngineQuery& query) const { return query.prompt.prompt_tokens >= limits_.long_prompt_tokens; }
  bool hasLongLane(Instant now, const EngineQuery& query) const;
  /// True while the last report of peer loads is valid.
  bool hasPeerLoads(Instant now) const;
  /// Peer load at the engine; none if the newest report does not name the engine.
  PeerLoad peerLoadAt(const EngineState& state) const;
  std::uint32_t backgroundAt(const EngineState& state) const;
  void noteSurges(Instant now);
  /// Updates the mean interval between reports of peer loads.
  void notePeerReport(Instant now);
  /// Slots kept free at each engine of the service for a surge of online requests.
  double surgeReservePerEngine(Instant now, const ServiceId& service) const;
  bool hasBackgroundRoom(Instant now, const EngineState& state, double reserve) const;
  /// Time by which an answer of the engine to this process is overdue.
  double overdueMs(Instant now, const EngineState& state) const;
  double overdueCost(Instant now, const EngineState& state) const;
  double riskCost(const EngineState& state, double running) const;
  bool hasFreeSlot(Instant now, const EngineState& state, const EngineQuery& query) const;
  double laneCost(Instant now, const EngineState& state, const EngineQuery& query) const;
  double estimatedRunning(Instant now, const EngineState& state) const;
  double slotHoldMs(const ServiceId& service) const;
  void learnSlotHold(Instant now, const Ticket& ticket, const EngineState& state);
  /// True if the service has engines of different speed.
  static bool isUneven(const EngineState& state) {
    return state.service_pace != nullptr && state.service_pace->isUneven();
  }
  /// Duration of work at the engine relative to the mean engine; one if engines are treated as equal.
  double slowness(Instant now, const EngineState& state) const {
    return isUneven(state) ? state.pace.slowness(now, *state.service_pace, limits_.pace) : 1;
  }
  /// Difference from the mean engine in the time to the first token, besides processing and waiting.
  double paceMs(const EngineState& state, double slowness) const {
    return isUneven(state) ? (slowness - 1) * state.service_pace->firstMs() : 0;
  }
  /// Time until an answer is overdue, at the engine's own speed.
  Duration answerDue(Instant now, const EngineState& state) const;
  /// Time until the prompt is processed, and the time until a slot is free before that.
  double readingMs(Instant now, const EngineState& state, const EngineQuery& query, double cached_share,
                   double slowness) const;
  double slotWaitMs(Instant now, const EngineState& state, double slowness) const;
  /// True if the only free slots of the engine are those of preemptible batch runs.
  bool needsPreemption(Instant now, const EngineState& state) const;
  double cost(Instant now, const EngineState& state, const EngineQuery& query, double cached_share) const;
  /// Home engines of a prefix, in order of preference.
  std::vector<EngineId> homesOf(std::uint64_t prefix, const std::vector<EngineState*>& usable) const;
  /// Share of the prompt's shared parts that the engine is expected to have in its cache.
  double cachedShare(Instant now, const EngineState& state, std::uint64_t prefix,
                     const std::vector<EngineId>& homes) const;
  /// Returns the cheapest of a few engines drawn at random, from the request's own zone first, if its cost is within
  /// `good_enough_ms`. While most slots of a large service are free, a choice costs the same for any number of engines.
  std::optional<EngineChoice> chooseFromSample(Instant now, const EngineQuery& query, const EnginePool& pool);
  std::optional<EngineChoice> cheapestOf(Instant now, const EngineQuery& query, const std::vector<EngineState*>& drawn);
  /// Engines of the pool that are eligible; in large pools, a random sample of them.
  std::vector<EngineState*> candidates(Instant now, const EngineQuery& query, const EnginePool& pool);
  /// Number of engines to sample, given the interval between load reports.
  std::size_t sampleSize(Instant now, const EngineQuery& query, const EnginePool& pool, std::size_t usable) const;
  /// Reduces `usable` to a random sample, so that processes with the same view do not all choose the same engine.
  /// Engines with overdue answers are left out if there are others.
  void sampleEngines(Instant now, const EngineQuery& query, const EnginePool& pool, std::vector<EngineState*>& usable);
  EngineChoice describe(Instant now, const EngineState& state, const EngineQuery& query, double cost_ms,
                        double cached_share, std::size_t among) const;

  void noteChange() const {
    if (on_change_) on_change_();
  }

  SelectorLimits limits_;
  std::mt19937_64 random_;
  std::function<void()> on_change_;
  std::map<EngineId, EngineState> engines_;
  /// Engines that this process has requests at or avoids; entries without either are removed by `ownShares`.
  std::set<EngineId> active_engines_;
  /// Mean time that an online request of a service holds its slot.
  std::map<ServiceId, double> slot_hold_ms_;
  /// Usual speed of the engines of a service; engine states point into it.
  std::map<ServiceId, ServiceSpeed> paces_;
  std::set<ZoneId> evacuated_;
  std::map<ServiceId, RoutedService> services_;
  std::map<ServiceId, EnginePool> pools_;
  /// Builds of the registered engines of each service.
  struct BuildState {
    std::size_t engines = 0;
    Instant settled_at = Instant::min();
  };
  std::map<ServiceId, std::map<EngineBuild, BuildState>> builds_;
  /// Time of the last report of peer loads, number of reports so far, and mean interval between reports.
  Instant peer_loads_at_ = Instant::min();
  std::uint64_t peer_report_ = 0;
  std::uint64_t background_report_ = 0;
  Duration mean_report_interval_{};
  Instant next_surge_note_{};
  /// Surges of the peers' requests.
  std::map<ServiceId, SurgeMeter> surges_;
  /// Time of the last long prompt of a service.
  std::map<ServiceId, Instant> long_prompt_at_;
  /// Time at which peers last had enough unread tokens at one engine to include a long prompt. Several short prompts
  /// can add up to that, so only background work uses the lane then.
  std::map<ServiceId, Instant> peer_long_prompt_at_;
  std::unordered_map<TicketId, Ticket> tickets_;
  TicketId last_ticket_ = 0;
};

}  // namespace hatchfork::request
