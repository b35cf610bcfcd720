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
#include "request/exchange/engine_state.hpp"
#include "request/exchange/load_table.hpp"
#include "request/exchange/prompt_shape.hpp"
#include "request/exchange/surge_meter.hpp"
#include "version/engine_changes.hpp"
#include "version/route_table.hpp"

namespace hatchfork::request {

/// What an engine told of its load in an answer.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes there now, in hundredths of what is usual; zero where the engine does not tell.
  std::uint32_t pace = 0;
};
/// Reads "running,waiting,slots" and a fourth figure where there is one; nothing for malformed text.
std::optional<EngineLoad> parseEngineLoad(std::string_view text);

/// Costs that the selection weighs; all times in milliseconds.
struct SelectorLimits {
  /// Prompt tokens that an engine reads in a millisecond.
  double prompt_tokens_per_ms = 85;
  /// Mean time that a running request holds its slot, until it was seen.
  double slot_hold_ms = 700;
  /// Weight of a new observation of that time against all older ones.
  double hold_learning_rate = 0.03;
  /// What each running request adds to the others' first token.
  double running_cost_ms = 0.6;
  /// Loads are known late, so an engine that looks nearly full may be full: from this share of its slots on, the risk
  /// costs more and more, up to this much.
  double risky_share = 0.65;
  double full_risk_ms = 80;
  /// A request that has had no byte of its answer for longer than its prompt takes, and this much, counts against its
  /// engine: it costs as much as the engine is late, up to the most.
  Duration overdue_grace = fromMillis(80);
  double most_silence_ms = 3000;
  /// What an engine costs at most that another process reports to avoid.
  double most_reported_avoid_ms = 600;
  /// Reaching an engine in another zone.
  double other_zone_cost_ms = 4;
  /// Shared prompt parts below this are not worth a detour.
  std::uint32_t affinity_tokens = 1500;
  /// Engines that are at home for one shared prefix: the first one takes its prompts, so that they are read there once;
  /// the others take them while it is loaded, and are expected to keep this share of the prefix.
  std::size_t home_engines = 2;
  double kept_at_other_homes = 0.5;
  /// A reported load counts half after this long.
  Duration load_half_life = fromMillis(2000);
  /// Prompts of so many tokens are long: reading one holds up every other request of its engine.
  std::uint32_t long_prompt_tokens = 4000;
  /// Share of a service's engines that long prompts and background work go to first, the same at all gateways.
  double long_lane_share = 0.34;
  /// A lane is kept apart only for so long after the last long prompt that this process has seen.
  Duration long_lane_kept_for = std::chrono::seconds(15);
  /// What a request outside of its lane costs more: short ones in the long lane, long ones and background work beside
  /// it.
  double short_in_long_lane_ms = 25;
  double long_beside_lane_ms = 120;
  double background_beside_lane_ms = 30;
  /// Background work leaves slots free for this share of the online requests that have lately come in a surge, since it
  /// gives way to the rest in time; but no larger share of an engine's slots than the second.
  double surge_kept_free = 0.3;
  double most_kept_free = 0.125;
  /// And where no more than so many prompt tokens of this process wait to be read.
  std::uint64_t background_most_unread = 3000;
  /// Processes tell each other their loads every so often; what they choose meanwhile is not known to each other. This
  /// long at least, and as long as lies between the loads that were told lately.
  Duration blind_for = fromMillis(100);
  /// Weight of the last interval between told loads against all earlier ones.
  double blind_learning_rate = 0.2;
  /// A choice is made among so many engines sampled at random that about this many blind choices fall on the least
  /// loaded one; where each engine gets more than that between two tellings, loads say nothing and one is drawn.
  double blind_choices_each = 2;
  /// A choice looks at so many engines drawn at random before it looks at more, where a service has several times as
  /// many: with a hundredth of the places taken, any of them has a free one, and a choice costs the same
  /// before any number of engines.
  std::size_t drawn_first = 64;
  std::size_t drawn_from = 256;
  /// A drawn engine is as good as any if it costs no more than this above the reading of the prompt.
  double good_enough_ms = 12;
  /// A choice never looks at more engines than this, but for the homes of a prefix: where so many drawn at random are
  /// taken, so are the others.
  std::size_t looked_at_most = 1024;
  /// True where this process places the requests of its whole zone: what its zone's engines have in flight is known, so
  /// that neither sampling nor the risk of a nearly full engine counts there.
  bool places_zone = false;
  /// The zone whose cold engines this process alone sends to, since one bound over the whole fleet is kept best by one
  /// process; empty for all others, which leave cold engines alone.
  ZoneId cold_zone;
  /// Share of a cold engine's bound that is used: for a moment two processes may take each other's place.
  double cold_share_used = 0.9;
  /// What it costs to wait until a batch run has given its slot up: an order to its store and a cancelled request.
  double give_way_ms = 10;
  /// How the pace of engines is learned; false where all engines of a service are taken as equal.
  bool learns_pace = true;
  EngineSpeedLimits pace;
  /// Where engines are uneven: what a place at one whose places are all taken but one costs more than at an idle one,
  /// so that a fast one gets more requests and yet not all of them: its end would strike them all.
  double even_fill_ms = 400;
  /// A request that wants a free place finds none at an engine of another zone beyond this share of its slots.
  double free_elsewhere_share = 0.75;
  /// The others' requests are counted this often at the most.
  Duration surge_note_interval = fromMillis(20);
  /// What the other processes are known to have in flight counts for this long.
  Duration others_known_for = fromMillis(1000);
  /// Time out of rotation after a failure; doubles with each further one.
  Duration first_ejection = fromMillis(400);
  Duration longest_ejection = fromMillis(5000);
  /// At most this share of a service's engines is out of rotation at once.
  double most_ejected_share = 0.5;
};

/// One request that looks for an engine.
struct EngineQuery {
  ServiceId service;
  ZoneId zone;
  PromptShape prompt;
  bool prefix_affinity = false;
  /// Batch work: it takes only what online requests leave.
  bool background = false;
  /// Only engines that are known to have a free place, counting those that batch runs give up unless these are spared.
  /// Loads of other zones are known late, so one of theirs must have more than one.
  bool needs_free_slot = false;
  bool spares_background = false;
  /// Background only: zero for work that can wait, one for work that must run now and leaves no slots free.
  double urgency = 0;
  /// Engines that were tried for this request.
  std::set<EngineId> excluded;
  /// Zones whose engines may run it; nothing for all.
  std::optional<std::set<ZoneId>> zones;
};

/// The choice and what it was made from, for the log.
struct EngineChoice {
  EngineRecord engine;
  double cost_ms = 0;
  /// How long the request will wait for its prompt to be read, and for a slot where it was seen how long requests hold
  /// one.
  double expected_first_ms = 0;
  std::uint32_t in_flight = 0;
  double estimated_running = 0;
  /// Age of the engine's reported load; negative where it reported none.
  std::int64_t load_age_ms = -1;
  bool expects_cached_prefix = false;
  bool in_long_lane = false;
  std::size_t candidates = 0;
  /// A batch run holds the slot that the request is to have.
  bool needs_preemption = false;
  /// How long work is expected to take there against the mean engine of the service, and the age of what the engine
  /// told of that; negative where it told nothing.
  double slowness = 1;
  std::int64_t pace_age_ms = -1;
  /// What speaks against the engine beside its load: that it is in another zone, where loads are known late, or that
  /// its answers are overdue.
  double detour_ms = 0;
};

/// Names one request in flight at an engine.
using TicketId = std::uint64_t;

/// How a request at an engine ended, as far as the engine's health goes.
enum class EngineVerdict {
  kGood,
  /// The engine declined it: full or leaving, but alive.
  kDeclined,
  /// Another engine has its address: it never comes back.
  kGone,
  /// No connection could be made, or it broke, or nothing came for too long.
  kFailed,
  /// Says nothing of the engine: the caller left or the deadline passed.
  kNeutral,
};

/// Chooses an engine for each request of one process. Prompts with a large shared prefix go to the engines that
/// rendezvous hashing makes at home for it, which all gateways agree on without talking, unless those are loaded;
/// everything else goes where the estimated time to the first token is least, with a little chance so that gateways do
/// not herd. No I/O, no clock. Belongs to one thread.
class EngineSelector {
 public:
  explicit EngineSelector(std::uint64_t seed, SelectorLimits limits = {}) : limits_(limits), random_(seed) {}

  /// Called whenever what this process has in flight changes.
  void setChangeHandler(std::function<void()> on_change) { on_change_ = std::move(on_change); }
  /// What is known of engines that stay is kept.
  void takeEngines(Instant now, const EngineChanges& changes);
  /// Engines of these zones are chosen for nothing; what they run already is not touched. Engines of a zone that is
  /// taken back may have turned cold, so they count as cold until they have told.
  void setEvacuated(Instant now, const std::set<ZoneId>& zones);
  /// Takes how much cold engines of each service bear.
  void setServices(const std::map<ServiceId, RoutedService>& services);
  std::optional<EngineChoice> choose(Instant now, const EngineQuery& query);

  /// A request is sent to the engine.
  TicketId begin(Instant now, const EngineId& engine, const EngineQuery& query);
  /// The engine has begun to answer: its prompt is read.
  void noteFirstByte(Instant now, TicketId ticket);
  void noteLoad(Instant now, const EngineId& engine, const EngineLoad& load);
  /// What the engine of a request told of its pace, as `EngineLoad::pace`.
  void notePace(Instant now, TicketId ticket, std::uint32_t pace);
  /// How long the engine took for a request that it has answered; before `end`.
  void noteTiming(TicketId ticket, const AnswerTiming& timing);
  /// What all other processes have in flight; goes before loads that engines report, while it is new.
  void notePeerLoads(Instant now, const std::vector<EngineShare>& others);
  /// What batch runs have in flight, told apart from the others' requests.
  void noteBackground(const std::vector<EngineShare>& background);
  /// A batch run at the engine was asked to give way.
  void notePreemption(const EngineId& engine);
  /// What this process has in flight, for the others, by engine. Costs what is in flight, not what engines there are.
  std::vector<EngineShare> ownShares(Instant now);
  /// Requests above the engine's slots, of all processes; zero where the others' are not known.
  double excess(Instant now, const EngineId& engine) const;
  void end(Instant now, TicketId ticket, EngineVerdict verdict);

  bool knows(const EngineId& engine) const { return engines_.contains(engine); }
  /// True if the engine is registered and has not said that it is about to end, also in an evacuated zone.
  bool isServing(const EngineId& engine) const;
  /// The choice of an engine that another process made; nothing if the engine is not known here, or gets no more work.
  std::optional<EngineChoice> describeChosen(Instant now, const EngineId& engine, const EngineQuery& query,
                                             double expected_first_ms, double running) const;
  /// Engines of the service that this process keeps out of rotation.
  std::vector<EngineId> ejectedEngines(Instant now, const ServiceId& service) const;
  /// True if the prompt is to go to the engines at home for its prefix.
  bool isSticky(const EngineQuery& query) const;
  std::size_t engineCount(const ServiceId& service) const;
  std::size_t engineCount(const ServiceId& service, const ZoneId& zone) const;
  /// Mean time between two places that fall free at one busy engine of the service; nothing until it was seen how long
  /// requests hold one.
  std::optional<double> slotFreedIntervalMs(const ServiceId& service) const;
  /// True if engines of the service tell their pace, so that they are not taken as equal.
  bool isUneven(const ServiceId& service) const;
  /// Places of the zone's engines in rotation that fall free in a millisecond while all are taken; zero where it was
  /// not seen yet how long requests hold one.
  double slotsFreedPerMs(Instant now, const ServiceId& service, const ZoneId& zone) const;
  /// Slots of all open engines.
  std::uint32_t allSlots() const;
  /// Slots of the service's engines in each zone, and what the other processes have in flight there; engines out of
  /// rotation and cold ones are left out.
  std::map<ZoneId, ZoneLoad> zoneLoads(Instant now, const ServiceId& service) const;
  /// Null for an engine that is not known.
  const EngineRecord* recordOf(const EngineId& engine) const;
  /// Requests of this process that are in flight at the engine.
  std::uint32_t inFlight(const EngineId& engine) const;
  /// Slots of the service that are estimated to be free.
  double freeSlots(Instant now, const ServiceId& service) const;

 private:
  struct Ticket {
    EngineId engine;
    /// Birth of the life that it was begun at.
    WallMillis born = 0;
    std::uint64_t unread_tokens = 0;
    Instant due{};
    bool answering = false;
    /// Only online requests tell how long online requests hold their slots.
    bool background = false;
    Instant answering_at{};
    /// True if the engine had a place for it at once, as far as was known.
    bool had_place = false;
  };

  void takePace(Instant now, EngineState& state, std::uint32_t pace);
  /// The engine of a ticket; null once it is gone or has started again.
  EngineState* engineOf(const Ticket& ticket);
  void takeEngine(Instant now, const EngineRecord& record);
  void dropEngine(const EngineId& engine);
  /// Closed engines stand in no pool.
  void addToPool(EngineState& state);
  void removeFromPool(EngineState& state);
  /// Null for a service without engines.
  EnginePool* poolOf(const ServiceId& service);
  const EnginePool* poolOf(const ServiceId& service) const;
  /// Requests a second that this process may send to the engine while it is cold; zero without a bound.
  double coldRate(const EngineState& state) const;
  bool isCold(Instant now, const EngineState& state) const { return now < state.cold_until && coldRate(state) > 0; }
  /// False if the engine was tried for the request, or may not run it.
  static bool isAllowed(const EngineState& state, const EngineQuery& query);
  /// False for a cold engine that another process sends to, or that had its share of this moment.
  bool bearsAnother(Instant now, const EngineState& state, const EngineQuery& query) const;
  /// Notes a long prompt, which makes or keeps the long lane of its service.
  void noteLongPrompt(Instant now, const EngineQuery& query);
  bool isLong(const EngineQuery& query) const { return query.prompt.prompt_tokens >= limits_.long_prompt_tokens; }
  bool hasLongLane(Instant now, const EngineQuery& query) const;
  /// True while what the other processes told is new.
  bool knowsOthers(Instant now) const;
  /// What they told of this engine; nothing where the newest telling did not name it.
  KnownLoad othersAt(const EngineState& state) const;
  std::uint32_t backgroundAt(const EngineState& state) const;
  void noteSurges(Instant now);
  /// Learns how often the others' loads are told.
  void noteTelling(Instant now);
  /// Slots of each engine of the service that are kept free for a surge of online requests.
  double keptFreeEach(Instant now, const ServiceId& service) const;
  bool hasBackgroundRoom(Instant now, const EngineState& state, double kept_free) const;
  /// By how much an answer of the engine is overdue here.
  double overdueMs(Instant now, const EngineState& state) const;
  double silenceCost(Instant now, const EngineState& state) const;
  double riskCost(const EngineState& state, double running) const;
  bool hasFreePlace(Instant now, const EngineState& state, const EngineQuery& query) const;
  double laneCost(Instant now, const EngineState& state, const EngineQuery& query) const;
  double estimatedRunning(Instant now, const EngineState& state) const;
  double slotHoldMs(const ServiceId& service) const;
  void learnHold(Instant now, const Ticket& ticket, const EngineState& state);
  /// True if the engine's service has engines that are not to be taken as equal.
  static bool isUneven(const EngineState& state) {
    return state.service_pace != nullptr && state.service_pace->isUneven();
  }
  /// How long work takes at the engine against the mean one; one where engines are taken as equal.
  double slowness(Instant now, const EngineState& state) const {
    return isUneven(state) ? state.pace.slowness(now, *state.service_pace, limits_.pace) : 1;
  }
  /// Time to the first token beside reading and waiting, above or below that of the mean engine.
  double paceMs(const EngineState& state, double slowness) const {
    return isUneven(state) ? (slowness - 1) * state.service_pace->firstMs() : 0;
  }
  /// When an engine that works at its own pace begins to answer.
  Duration answerDue(Instant now, const EngineState& state) const;
  /// Time until the prompt is read, and until a slot is free before that.
  double readingMs(Instant now, const EngineState& state, const EngineQuery& query, double kept, double slowness) const;
  double slotWaitMs(Instant now, const EngineState& state, double slowness) const;
  /// True if the engine has no free slot but one that a batch run gives up.
  bool mustGiveWay(Instant now, const EngineState& state) const;
  double cost(Instant now, const EngineState& state, const EngineQuery& query, double kept) const;
  /// The engines at home for a prefix, the first one first.
  std::vector<EngineId> homesOf(std::uint64_t prefix, const std::vector<EngineState*>& usable) const;
  /// Share of the prompt's shared parts that the engine is expected to keep.
  double keptShare(Instant now, const EngineState& state, std::uint64_t prefix,
                   const std::vector<EngineId>& homes) const;
  /// The cheapest of a few engines drawn at random, the own zone's first, if it is as good as any: its slot is free and
  /// nothing speaks against it. While most places of a large service are free, a choice costs the same at any size.
  std::optional<EngineChoice> chooseAmongDrawn(Instant now, const EngineQuery& query, const EnginePool& pool);
  std::optional<EngineChoice> cheapestDrawn(Instant now, const EngineQuery& query,
                                            const std::vector<EngineState*>& drawn);
  /// The engines of the pool that may be chosen; where there are very many, some drawn at random.
  std::vector<EngineState*> candidates(Instant now, const EngineQuery& query, const EnginePool& pool);
  /// Engines that a process may choose among before it chooses blindly, as many as it should.
  std::size_t sampleSize(Instant now, const EngineQuery& query, const EnginePool& pool, std::size_t usable) const;
  /// Samples some of the engines, so that processes that know the same loads do not all choose the same engine; among
  /// those whose answers are not overdue, where there are any.
  void sampleEngines(Instant now, const EngineQuery& query, const EnginePool& pool, std::vector<EngineState*>& usable);
  EngineChoice describe(Instant now, const EngineState& state, const EngineQuery& query, double cost_ms, double kept,
                        std::size_t among) const;

  void noteChange() const {
    if (on_change_) on_change_();
  }

  SelectorLimits limits_;
  std::mt19937_64 random_;
  std::function<void()> on_change_;
  std::map<EngineId, EngineState> engines_;
  /// Engines that this process has requests at, or avoids; those without either are taken out when shares are told.
  std::set<EngineId> engaged_;
  /// Mean time that an online request of a service holds its slot.
  std::map<ServiceId, double> hold_ms_;
  /// What is usual at the engines of a service; engines point into it.
  std::map<ServiceId, ServiceSpeed> paces_;
  std::set<ZoneId> evacuated_;
  std::map<ServiceId, RoutedService> services_;
  std::map<ServiceId, EnginePool> pools_;
  /// When the others' loads were last told, how often, and the mean time between that.
  Instant others_noted_at_ = Instant::min();
  std::uint64_t others_telling_ = 0;
  std::uint64_t background_telling_ = 0;
  Duration told_every_{};
  Instant next_surge_note_{};
  /// Surges of the other processes' requests.
  std::map<ServiceId, SurgeMeter> surges_;
  /// When the last long prompt for a service came by.
  std::map<ServiceId, Instant> long_prompt_at_;
  /// When other processes last had so much unread at one engine that there may be a long prompt among it. That is no
  /// proof, so only background work makes room for it.
  std::map<ServiceId, Instant> long_prompt_heard_at_;
  std::unordered_map<TicketId, Ticket> tickets_;
  TicketId last_ticket_ = 0;
};

}  // namespace hatchfork::request
