#include "process/fleet/fleet_state.hpp"

#include <algorithm>

namespace hatchfork::fleet {
namespace {

constexpr std::size_t kMostDeparted = 20000;

/// The state as it travels in snapshots.
struct FleetSnapshot {
  std::uint64_t document_version = 0;
  std::string document;
  std::vector<EngineRecord> engines;
  std::uint64_t engines_revision = 0;
  std::vector<EngineId> departed;
  consensus::Membership store_group;
  std::map<std::string, ReplicaId> retiring;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetSnapshot, document_version, document, engines, engines_revision, departed,
                                   store_group, retiring)

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
  if (departed_.contains(engine.id)) return false;
  const auto known = engines_.find(engine.id);
  EngineRecord next = engine;
  if (known != engines_.end()) {
    next.leaving = next.leaving || known->second.leaving;
    if (known->second == next) return false;
  }
  std::erase_if(engines_,
                [&](const auto& entry) { return entry.first != engine.id && entry.second.address == engine.address; });
  engines_[engine.id] = next;
  ++engines_revision_;
  return true;
}

bool FleetState::applyOne(const DepartEngine& command) {
  if (departed_.contains(command.engine)) return false;
  noteDeparted(command.engine);
  engines_.erase(command.engine);
  ++engines_revision_;
  return true;
}

bool FleetState::applyOne(const ForgetEngines& command) {
  std::size_t forgotten = 0;
  for (const EngineId& engine : command.engines) forgotten += engines_.erase(engine);
  if (forgotten > 0) ++engines_revision_;
  return forgotten > 0;
}

bool FleetState::applyOne(const FormStoreGroup& command) {
  if (!store_group_.members.empty()) return false;
  store_group_ = command.members;
  return true;
}

bool FleetState::applyOne(const RetireStore& command) {
  return retiring_.emplace(command.node, command.address).second;
}

void FleetState::noteDeparted(const EngineId& engine) {
  departed_.insert(engine);
  departed_order_.push_back(engine);
  if (departed_order_.size() <= kMostDeparted) return;
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
  snapshot.store_group = store_group_;
  snapshot.retiring = retiring_;
  return encodeStruct(snapshot);
}

Status FleetState::restore(std::string_view bytes) {
  Result<FleetSnapshot> decoded = decodeStruct<FleetSnapshot>(bytes);
  if (!isOk(decoded)) return errorOf(decoded);
  FleetSnapshot& snapshot = valueOf(decoded);
  document_version_ = snapshot.document_version;
  document_ = std::move(snapshot.document);
  engines_.clear();
  for (EngineRecord& engine : snapshot.engines) {
    const EngineId id = engine.id;
    engines_.emplace(id, std::move(engine));
  }
  engines_revision_ = snapshot.engines_revision;
  departed_order_.assign(snapshot.departed.begin(), snapshot.departed.end());
  departed_ = std::set<EngineId>(departed_order_.begin(), departed_order_.end());
  store_group_ = std::move(snapshot.store_group);
  retiring_ = std::move(snapshot.retiring);
  if (on_change_) on_change_();
  return okStatus();
}

}  // namespace hatchfork::fleet
