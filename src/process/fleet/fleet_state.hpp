#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/codec.hpp"
#include "process/consensus/replicated_group.hpp"
#include "process/consensus/state_machine.hpp"
#include "version/engine_record.hpp"
#include "version/evacuated_zones.hpp"

namespace hatchfork::fleet {

/// Puts a document of routes in force if its version is above the one held; else changes nothing.
struct PutDocument {
  static constexpr std::string_view kKind = "put_document";
  std::uint64_t version = 0;
  std::string document;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutDocument, version, document)

/// Adds an engine, or marks it as leaving. A newer life takes the place of an older one, which is never added again,
/// nor is a departed life. An engine at the address of another takes its place, unless it was there before that one:
/// then its heartbeat was delayed.
struct RegisterEngine {
  static constexpr std::string_view kKind = "register_engine";
  EngineRecord engine;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegisterEngine, engine)

/// `RegisterEngine` for each of them, in their order: a start of thousands of engines would be as many entries.
struct RegisterEngines {
  static constexpr std::string_view kKind = "register_engines";
  std::vector<EngineRecord> engines;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegisterEngines, engines)

/// The engine has said that it is gone, also where it never registered. The life that is registered ends; where none
/// is, every life that began before `received_at`.
struct DepartEngine {
  static constexpr std::string_view kKind = "depart_engine";
  EngineId engine;
  WallMillis received_at = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DepartEngine, engine, received_at)

/// Forgets engines that have been silent for long. They are added again by their next beat.
struct ForgetEngines {
  static constexpr std::string_view kKind = "forget_engines";
  std::vector<EngineId> engines;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ForgetEngines, engines)

/// Fixes the members that the store group forms with; the first one holds for ever.
struct FormStoreGroup {
  static constexpr std::string_view kKind = "form_store_group";
  consensus::Membership members;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FormStoreGroup, members)

/// Asks for a store to be emptied.
struct RetireStore {
  static constexpr std::string_view kKind = "retire_store";
  std::string node;
  ReplicaId address;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RetireStore, node, address)

/// Keeps which stores hold the jobs, as the leader of the store group told in its term, so that all processes know it
/// as soon as they start.
struct NoteStoreMembers {
  static constexpr std::string_view kKind = "note_store_members";
  std::uint64_t term = 0;
  std::vector<ReplicaId> members;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(NoteStoreMembers, term, members)

/// Keeps all work from the engines of a zone, or lets it go there again. The last order of a zone holds.
struct SetZoneEvacuated {
  static constexpr std::string_view kKind = "set_zone_evacuated";
  ZoneId zone;
  bool evacuated = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetZoneEvacuated, zone, evacuated)

using FleetCommand = std::variant<PutDocument, RegisterEngine, DepartEngine, ForgetEngines, FormStoreGroup, RetireStore,
                                  NoteStoreMembers, SetZoneEvacuated, RegisterEngines>;

/// Replicated state of the control group of a fleet that forms itself: the document of routes, the engines, the first
/// members of the store group and the stores to be emptied. Threading: control thread only.
class FleetState final : public consensus::StateMachine {
 public:
  /// Called after each command that changed something.
  using ChangeHandler = std::function<void()>;

  explicit FleetState(ChangeHandler on_change = nullptr) : on_change_(std::move(on_change)) {}

  std::string apply(consensus::LogIndex index, std::string_view command) override;
  std::string snapshot() const override;
  Status restore(std::string_view bytes) override;

  std::uint64_t documentVersion() const { return document_version_; }
  const std::string& document() const { return document_; }
  const std::map<EngineId, EngineRecord>& engines() const { return engines_; }
  /// Null for an address where no engine is registered.
  const EngineRecord* engineAt(const std::string& address) const;
  /// Rises by one with each engine that is added, changed or removed.
  std::uint64_t enginesRevision() const { return engines_revision_; }
  /// True if all changes since that revision are remembered.
  bool remembersChangesSince(std::uint64_t revision) const;
  /// Engines added, changed or removed since that revision; nothing where that is no longer remembered.
  std::optional<std::set<EngineId>> enginesChangedSince(std::uint64_t revision) const;
  /// True if that life has departed; any life without a birth once one of the engine has.
  bool hasDeparted(const EngineId& engine, WallMillis born = 0) const;
  /// True if no life of the engine is registered and one has departed.
  bool isGone(const EngineId& engine) const { return departed_.contains(engine) && !engines_.contains(engine); }
  const consensus::Membership& storeGroup() const { return store_group_; }
  /// Stores that hold the jobs, as far as a leader of their group has told; none before the first one did.
  const std::vector<ReplicaId>& storeMembers() const { return store_members_; }
  const EvacuatedZones& evacuated() const { return evacuated_; }
  /// Builds that the engines of each service run.
  const std::map<ServiceId, std::map<EngineBuild, std::size_t>>& builds() const { return builds_; }
  /// Builds of each service whose last engine has left, the newest ones, and the revision of the engines at which it
  /// did.
  const std::map<ServiceId, std::map<EngineBuild, std::uint64_t>>& retiredBuilds() const { return retired_builds_; }
  /// Number of changes of nothing but an engine's build. Releases that know no builds take these for no change, so the
  /// revision of the engines stays as it is. Not replicated.
  std::uint64_t lateBuilds() const { return last_late_build_; }
  /// Engines with such a change after the given number of them.
  std::set<EngineId> lateBuildsSince(std::uint64_t number) const;
  /// Stores to be emptied, by node name.
  const std::map<std::string, ReplicaId>& retiring() const { return retiring_; }

 private:
  bool applyOne(const PutDocument& command);
  bool applyOne(const RegisterEngine& command);
  bool applyOne(const RegisterEngines& command);
  bool applyOne(const DepartEngine& command);
  bool applyOne(const ForgetEngines& command);
  bool applyOne(const FormStoreGroup& command);
  bool applyOne(const RetireStore& command);
  bool applyOne(const NoteStoreMembers& command);
  bool applyOne(const SetZoneEvacuated& command);
  void noteDeparted(const EngineId& engine, WallMillis born);
  void noteEngineChange(const EngineId& engine);
  void removeEngine(const EngineId& engine);
  /// Takes a registered engine whose build alone has changed.
  void changeBuild(EngineRecord& engine, const EngineBuild& build);
  void addBuild(const EngineRecord& engine);
  void removeBuild(const EngineRecord& engine);
  /// True if the engine was at the address before the one that is there now.
  bool isSuperseded(const EngineRecord& engine) const;
  /// The engine is no longer at its address, but has not departed.
  void noteFormer(const EngineRecord& engine);

  ChangeHandler on_change_;
  std::uint64_t document_version_ = 0;
  std::string document_;
  std::map<EngineId, EngineRecord> engines_;
  std::uint64_t engines_revision_ = 0;
  /// The engines of the last changes, the newest last: the last one belongs to `engines_revision_`. Not replicated.
  std::deque<EngineId> engine_changes_;
  /// Who is at each address, so that a newcomer there takes its place without a search.
  std::map<std::string, EngineId> engine_at_address_;
  /// Engines that were at an address and lost it, by the address: silent ones and replaced ones. The oldest are
  /// forgotten.
  std::map<std::string, std::map<EngineId, WallMillis>> former_at_address_;
  std::deque<std::pair<std::string, EngineId>> former_order_;
  /// Engines of which a life has departed, and when the newest such life began; the highest time for one that told no
  /// birth.
  std::map<EngineId, WallMillis> departed_;
  /// The same in the order in which they left; the oldest are forgotten.
  std::deque<EngineId> departed_order_;
  consensus::Membership store_group_;
  std::map<std::string, ReplicaId> retiring_;
  std::uint64_t store_members_term_ = 0;
  std::vector<ReplicaId> store_members_;
  EvacuatedZones evacuated_;
  std::map<ServiceId, std::map<EngineBuild, std::size_t>> builds_;
  std::map<ServiceId, std::map<EngineBuild, std::uint64_t>> retired_builds_;
  /// Registered engines by the last change of nothing but their build.
  std::map<EngineId, std::uint64_t> late_builds_;
  std::uint64_t last_late_build_ = 0;
};

}  // namespace hatchfork::fleet
