#include "process/fleet/fleet_state.hpp"

#include <algorithm>
#include <limits>

namespace hatchfork::fleet {
namespace {

/// What is remembered of engines that are gone grows with the fleet: a release replaces each engine, and may be
/// followed by another one at once. The least numbers are for fleets that shrink.
constexpr std::size_t kDepartedOfEachEngine = 3;
constexpr std::size_t kLeastDeparted = 20000;
/// Heartbeats are delayed by seconds, in which each engine loses its address once or twice at most.
constexpr std::size_t kFormerOfEachEngine = 2;
constexpr std::size_t kLeastFormer = 2000;
/// Changes of engines that are remembered for subscribers that lack only these: beyond as many as there are engines,
/// the list of all of them is shorter.
constexpr std::size_t kLeastEngineChanges = 4096;
/// Retired builds of a service that are remembered: two upgrades within the longest life of a stream.
constexpr std::size_t kMostRetiredBuilds = 4;

/// The state as it travels in snapshots.
struct FleetSnapshot {
  std::uint64_t document_version = 0;
  std::string document;
  std::vector<EngineRecord> engines;
  std::uint64_t engines_revision = 0;
  std::vector<EngineId> departed;
  std::vector<std::pair<std::string, EngineId>> former;
  /// Births of these, in the same order; none in snapshots of older programs.
  std::vector<WallMillis> departed_born;
  std::vector<WallMillis> former_born;
  consensus::Membership store_group;
  std::map<std::string, ReplicaId> retiring;
  std::uint64_t store_members_term = 0;
  std::vector<ReplicaId> store_members;
  EvacuatedZones evacuated;
  std::map<ServiceId, std::map<EngineBuild, std::uint64_t>> retired_builds;
};
/// Snapshots of older programs have no members of the store group and no retired builds.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FleetSnapshot, document_version, document, engines, engines_revision,
                                                departed, former, departed_born, former_born, store_group, retiring,
                                                store_members_term, store_members, evacuated, retired_builds)

/// A departed life that told no birth stands for every one of its engine.
constexpr WallMillis kEveryLife = std::numeric_limits<WallMillis>::max();

}  // namespace

std::string FleetState::apply(consensus::LogIndex, std::string_view command) {
  const Result<FleetCommand> decoded = decodeTagged<FleetCommand>(command);
  if (!isOk(decoded)) return "malformed";
  const bool changed = std::visit([this](const auto& body) { return applyOne(body); }, valueOf(decoded));
  if (changed && on_change_) on_change_();
  return changed ? "changed" : "unchanged";
}

bool FleetState::applyOne(const PutDocument& command) {
  if (command.version <= document_version_) return false;
  document_version_ = command.version;
  document_ = command.document;
  return true;
}

bool FleetState::applyOne(const RegisterEngine& command) {
  const EngineRecord& engine = command.engine;
  if (hasDeparted(engine.id, engine.born) || isSuperseded(engine)) return false;
  const auto known = engines_.find(engine.id);
  EngineRecord next = engine;
  if (known != engines_.end()) {
    const IncarnationOrder order = compareIncarnations(engine.born, known->second.born);
    if (order == IncarnationOrder::kOlder) return false;
    // A newer life has not said that it leaves.
    if (order == IncarnationOrder::kSame) next.leaving = next.leaving || known->second.leaving;
    if (next.born == 0) next.born = known->second.born;
    // The heartbeat came through a control process of a release without builds.
    if (order == IncarnationOrder::kSame && next.build.empty()) next.build = known->second.build;
    if (known->second == next) return false;
    EngineRecord with_build = known->second;
    with_build.build = next.build;
    if (with_build == next) {
      changeBuild(known->second, next.build);
      return true;
    }
  }
  const auto at_address = engine_at_address_.find(engine.address);
  if (at_address != engine_at_address_.end() && at_address->second != engine.id) {
    const EngineRecord former = engines_.at(at_address->second);
    removeEngine(former.id);
    noteFormer(former);
  }
  // An engine that has moved leaves its former address.
  if (known != engines_.end() && known->second.address != engine.address) {
    engine_at_address_.erase(known->second.address);
  }
  // Counted before its former self is taken off, so that a build is not retired by a change of its only engine.
  addBuild(next);
  if (known != engines_.end()) removeBuild(known->second);
  engines_[engine.id] = next;
  engine_at_address_[engine.address] = engine.id;
  noteEngineChange(engine.id);
  return true;
}

bool FleetState::applyOne(const RegisterEngines& command) {
  bool changed = false;
  for (const EngineRecord& engine : command.engines) changed = applyOne(RegisterEngine{engine}) || changed;
  return changed;
}

const EngineRecord* FleetState::engineAt(const std::string& address) const {
  const auto found = engine_at_address_.find(address);
  return found == engine_at_address_.end() ? nullptr : &engines_.at(found->second);
}

bool FleetState::applyOne(const DepartEngine& command) {
  const auto known = engines_.find(command.engine);
  if (known == engines_.end() && departed_.contains(command.engine)) return false;
  WallMillis born = known == engines_.end() ? command.received_at : known->second.born;
  if (born == 0) born = kEveryLife;
  noteDeparted(command.engine, born);
  removeEngine(command.engine);
  return true;
}

bool FleetState::applyOne(const ForgetEngines& command) {
  const std::uint64_t before = engines_revision_;
  for (const EngineId& engine : command.engines) {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) continue;
    const EngineRecord record = found->second;
    removeEngine(engine);
    noteFormer(record);
  }
  return engines_revision_ > before;
}

bool FleetState::isSuperseded(const EngineRecord& engine) const {
  const auto holder = engine_at_address_.find(engine.address);
  if (holder == engine_at_address_.end() || holder->second == engine.id) return false;
  const auto former = former_at_address_.find(engine.address);
  if (former == former_at_address_.end()) return false;
  const auto life = former->second.find(engine.id);
  return life != former->second.end() && compareIncarnations(engine.born, life->second) != IncarnationOrder::kNewer;
}

void FleetState::noteFormer(const EngineRecord& engine) {
  const auto [life, is_new] = former_at_address_[engine.address].emplace(engine.id, engine.born);
  life->second = std::max(life->second, engine.born);
  if (!is_new) return;
  former_order_.emplace_back(engine.address, engine.id);
  if (former_order_.size() <= std::max(kLeastFormer, kFormerOfEachEngine * engines_.size())) return;
  const auto& [address, oldest] = former_order_.front();
  const auto found = former_at_address_.find(address);
  if (found != former_at_address_.end()) {
    found->second.erase(oldest);
    if (found->second.empty()) former_at_address_.erase(found);
  }
  former_order_.pop_front();
}

void FleetState::removeEngine(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  const auto at_address = engine_at_address_.find(found->second.address);
  if (at_address != engine_at_address_.end() && at_address->second == engine) engine_at_address_.erase(at_address);
  removeBuild(found->second);
  late_builds_.erase(engine);
  engines_.erase(found);
  noteEngineChange(engine);
}

void FleetState::changeBuild(EngineRecord& engine, const EngineBuild& build) {
  removeBuild(engine);
  engine.build = build;
  addBuild(engine);
  late_builds_[engine.id] = ++last_late_build_;
}

std::set<EngineId> FleetState::lateBuildsSince(std::uint64_t number) const {
  std::set<EngineId> engines;
  for (const auto& [engine, change] : late_builds_) {
    if (change > number) engines.insert(engine);
  }
  return engines;
}

void FleetState::addBuild(const EngineRecord& engine) {
  ++builds_[engine.service][engine.build];
  const auto retired = retired_builds_.find(engine.service);
  if (retired != retired_builds_.end()) retired->second.erase(engine.build);
}

void FleetState::removeBuild(const EngineRecord& engine) {
  const auto service = builds_.find(engine.service);
  const auto build = service->second.find(engine.build);
  if (--build->second > 0) return;
  service->second.erase(build);
  if (service->second.empty()) builds_.erase(service);
  std::map<EngineBuild, std::uint64_t>& retired = retired_builds_[engine.service];
  retired[engine.build] = engines_revision_;
  if (retired.size() <= kMostRetiredBuilds) return;
  retired.erase(std::min_element(retired.begin(), retired.end(),
                                 [](const auto& left, const auto& right) { return left.second < right.second; }));
}

void FleetState::noteEngineChange(const EngineId& engine) {
  ++engines_revision_;
  engine_changes_.push_back(engine);
  if (engine_changes_.size() > std::max(kLeastEngineChanges, engines_.size())) engine_changes_.pop_front();
}

bool FleetState::remembersChangesSince(std::uint64_t revision) const {
  return revision <= engines_revision_ && engines_revision_ - revision <= engine_changes_.size();
}

std::optional<std::set<EngineId>> FleetState::enginesChangedSince(std::uint64_t revision) const {
  if (!remembersChangesSince(revision)) return std::nullopt;
  const std::uint64_t missed = engines_revision_ - revision;
  return std::set<EngineId>(engine_changes_.end() - static_cast<std::ptrdiff_t>(missed), engine_changes_.end());
}

bool FleetState::applyOne(const FormStoreGroup& command) {
  if (!store_group_.members.empty()) return false;
  store_group_ = command.members;
  return true;
}

bool FleetState::applyOne(const RetireStore& command) {
  return retiring_.emplace(command.node, command.address).second;
}

bool FleetState::applyOne(const NoteStoreMembers& command) {
  if (command.term < store_members_term_ || command.members == store_members_) return false;
  store_members_term_ = command.term;
  store_members_ = command.members;
  return true;
}

bool FleetState::applyOne(const SetZoneEvacuated& command) {
  const bool changed =
      command.evacuated ? evacuated_.zones.insert(command.zone).second : evacuated_.zones.erase(command.zone) > 0;
  if (changed) ++evacuated_.revision;
  return changed;
}

bool FleetState::hasDeparted(const EngineId& engine, WallMillis born) const {
  const auto departed = departed_.find(engine);
  return departed != departed_.end() && (born == 0 || born <= departed->second);
}

void FleetState::noteDeparted(const EngineId& engine, WallMillis born) {
  const auto [departed, is_new] = departed_.emplace(engine, born);
  departed->second = std::max(departed->second, born);
  if (!is_new) return;
  departed_order_.push_back(engine);
  if (departed_order_.size() <= std::max(kLeastDeparted, kDepartedOfEachEngine * engines_.size())) return;
  departed_.erase(departed_order_.front());
  departed_order_.pop_front();
}

std::string FleetState::snapshot() const {
  FleetSnapshot snapshot;
  snapshot.document_version = document_version_;
  snapshot.document = document_;
  for (const auto& [id, engine] : engines_) snapshot.engines.push_back(engine);
  snapshot.engines_revision = engines_revision_;
  snapshot.departed.assign(departed_order_.begin(), departed_order_.end());
  for (const EngineId& engine : departed_order_) snapshot.departed_born.push_back(departed_.at(engine));
  snapshot.former.assign(former_order_.begin(), former_order_.end());
  for (const auto& [address, engine] : former_order_) {
    snapshot.former_born.push_back(former_at_address_.at(address).at(engine));
  }
  snapshot.store_group = store_group_;
  snapshot.retiring = retiring_;
  snapshot.store_members_term = store_members_term_;
  snapshot.store_members = store_members_;
  snapshot.evacuated = evacuated_;
  snapshot.retired_builds = retired_builds_;
  return encodeStruct(snapshot);
}

Status FleetState::restore(std::string_view bytes) {
  Result<FleetSnapshot> decoded = decodeStruct<FleetSnapshot>(bytes);
  if (!isOk(decoded)) return errorOf(decoded);
  FleetSnapshot& snapshot = valueOf(decoded);
  document_version_ = snapshot.document_version;
  document_ = std::move(snapshot.document);
  engines_.clear();
  engine_at_address_.clear();
  engine_changes_.clear();
  builds_.clear();
  late_builds_.clear();
  retired_builds_ = std::move(snapshot.retired_builds);
  for (EngineRecord& engine : snapshot.engines) {
    const EngineId id = engine.id;
    engine_at_address_[engine.address] = id;
    ++builds_[engine.service][engine.build];
    engines_.emplace(id, std::move(engine));
  }
  engines_revision_ = snapshot.engines_revision;
  former_order_.assign(snapshot.former.begin(), snapshot.former.end());
  former_at_address_.clear();
  for (std::size_t i = 0; i < former_order_.size(); ++i) {
    const auto& [address, engine] = former_order_[i];
    former_at_address_[address][engine] = i < snapshot.former_born.size() ? snapshot.former_born[i] : 0;
  }
  departed_order_.assign(snapshot.departed.begin(), snapshot.departed.end());
  departed_.clear();
  for (std::size_t i = 0; i < departed_order_.size(); ++i) {
    departed_[departed_order_[i]] = i < snapshot.departed_born.size() ? snapshot.departed_born[i] : kEveryLife;
  }
  store_group_ = std::move(snapshot.store_group);
  retiring_ = std::move(snapshot.retiring);
  store_members_term_ = snapshot.store_members_term;
  store_members_ = std::move(snapshot.store_members);
  evacuated_ = std::move(snapshot.evacuated);
  if (on_change_) on_change_();
  return okStatus();
}

}  // namespace hatchfork::fleet
