#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "process/consensus/replicated_group.hpp"
#include "process/fleet/crash_messages.hpp"
#include "process/fleet/limit_messages.hpp"
#include "process/fleet/placement_messages.hpp"
#include "process/fleet/run_messages.hpp"
#include "process/fleet/stream_messages.hpp"
#include "request/exchange/load_table.hpp"
#include "version/engine_changes.hpp"
#include "version/evacuated_zones.hpp"
#include "version/release.hpp"

/// The frames between the processes of a fleet that forms itself: CBOR of `FleetMessage`, one for each frame. A process
/// is named by the IP number of its machine, so a name is also the way to it.
namespace hatchfork::fleet {

/// A consensus message between two replicas of one group.
struct GroupFrame {
  static constexpr std::string_view kKind = "g";
  GroupId group = 0;
  ReplicaId from;
  ReplicaId to;
  /// Opaque bytes of the consensus module.
  std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GroupFrame, group, from, to, body)

/// A command that a replica passes on to the leader of its group.
struct ProposalFrame {
  static constexpr std::string_view kKind = "p";
  GroupId group = 0;
  ReplicaId from;
  /// Unique among the proposals of one life of `from`.
  std::uint64_t number = 0;
  std::string command;
  /// See `GroupHost::propose`; empty for none, and from older releases.
  std::string subject;
};
inline void to_json(nlohmann::json& json, const ProposalFrame& frame) {
  json = nlohmann::json{
      {"group", frame.group}, {"from", frame.from}, {"number", frame.number}, {"command", frame.command}};
  if (!frame.subject.empty()) json["subject"] = frame.subject;
}
inline void from_json(const nlohmann::json& json, ProposalFrame& frame) {
  json.at("group").get_to(frame.group);
  json.at("from").get_to(frame.from);
  json.at("number").get_to(frame.number);
  json.at("command").get_to(frame.command);
  frame.subject = json.value("subject", std::string());
}

enum class ProposalResult : std::uint8_t {
  /// Committed and applied.
  kApplied,
  /// Provably never appended.
  kNotRun,
  /// May be applied later.
  kUnknown,
};
/// A value of a later release is read as the first of these.
NLOHMANN_JSON_SERIALIZE_ENUM(ProposalResult, {{ProposalResult::kUnknown, 2},
                                              {ProposalResult::kApplied, 0},
                                              {ProposalResult::kNotRun, 1}})

struct ProposalReplyFrame {
  static constexpr std::string_view kKind = "pr";
  GroupId group = 0;
  std::uint64_t number = 0;
  ProposalResult result = ProposalResult::kUnknown;
  /// What the state machine answered with `kApplied`; with `kNotRun` the cause, if it is known.
  std::string reply;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProposalReplyFrame, group, number, result, reply)

/// The field of a frame that tells a release; absent where none is told.
inline void writeRelease(nlohmann::json& json, ReleaseNumber release) {
  if (release != kUnknownRelease) json["release"] = release;
}
inline ReleaseNumber readRelease(const nlohmann::json& json) {
  return json.value("release", kUnknownRelease);
}

/// What a store tells of itself.
struct StorePresence {
  std::string node;
  ReplicaId address;
  ZoneId zone;
  consensus::Incarnation incarnation = 0;
  /// True once the store belongs to the store group.
  bool formed = false;
  /// At the leader of the store group: its committed membership, and the term in which it leads.
  std::optional<consensus::Membership> membership;
  std::uint64_t term = 0;
  ReleaseNumber release = kUnknownRelease;
};
inline void to_json(nlohmann::json& json, const StorePresence& presence) {
  json = nlohmann::json{{"node", presence.node},     {"address", presence.address},
                        {"zone", presence.zone},     {"incarnation", presence.incarnation},
                        {"formed", presence.formed}, {"term", presence.term}};
  if (presence.membership) json["membership"] = *presence.membership;
  writeRelease(json, presence.release);
}
inline void from_json(const nlohmann::json& json, StorePresence& presence) {
  json.at("node").get_to(presence.node);
  json.at("address").get_to(presence.address);
  json.at("zone").get_to(presence.zone);
  json.at("incarnation").get_to(presence.incarnation);
  json.at("formed").get_to(presence.formed);
  json.at("term").get_to(presence.term);
  presence.membership.reset();
  if (json.contains("membership")) presence.membership = json.at("membership").get<consensus::Membership>();
  presence.release = readRelease(json);
}

/// What one control process has heard itself of stores and engines, for the other control processes.
struct DirectoryFrame {
  static constexpr std::string_view kKind = "d";
  ReplicaId from;
  std::vector<StorePresence> stores;
  /// Engines that sent it a beat since its last frame.
  std::vector<EngineId> engines;
  /// Of the sender.
  ReleaseNumber release = kThisRelease;
};
inline void to_json(nlohmann::json& json, const DirectoryFrame& frame) {
  json = nlohmann::json{{"from", frame.from}, {"stores", frame.stores}, {"engines", frame.engines}};
  writeRelease(json, frame.release);
}
inline void from_json(const nlohmann::json& json, DirectoryFrame& frame) {
  json.at("from").get_to(frame.from);
  json.at("stores").get_to(frame.stores);
  json.at("engines").get_to(frame.engines);
  frame.release = readRelease(json);
}

/// Opens a subscription to the fleet's state, and is repeated by stores as their sign of life.
struct SubscribeFrame {
  static constexpr std::string_view kKind = "s";
  std::string node;
  /// What the subscriber holds already.
  std::uint64_t document_version = 0;
  std::uint64_t engines_revision = 0;
  /// Empty for gateways, one for a store.
  std::vector<StorePresence> store;
  /// Of the sender.
  ReleaseNumber release = kThisRelease;
};
inline void to_json(nlohmann::json& json, const SubscribeFrame& frame) {
  json = nlohmann::json{{"node", frame.node},
                        {"document_version", frame.document_version},
                        {"engines_revision", frame.engines_revision},
                        {"store", frame.store}};
  writeRelease(json, frame.release);
}
inline void from_json(const nlohmann::json& json, SubscribeFrame& frame) {
  json.at("node").get_to(frame.node);
  json.at("document_version").get_to(frame.document_version);
  json.at("engines_revision").get_to(frame.engines_revision);
  json.at("store").get_to(frame.store);
  frame.release = readRelease(json);
}

/// A store as subscribers know it.
struct StoreAddress {
  ReplicaId address;
  ZoneId zone;
  /// As the store told it; `kUnknownRelease` where a control process of an older release is between.
  ReleaseNumber release = kUnknownRelease;
  auto operator<=>(const StoreAddress&) const = default;
};
inline void to_json(nlohmann::json& json, const StoreAddress& store) {
  json = nlohmann::json{{"address", store.address}, {"zone", store.zone}};
  writeRelease(json, store.release);
}
inline void from_json(const nlohmann::json& json, StoreAddress& store) {
  json.at("address").get_to(store.address);
  json.at("zone").get_to(store.zone);
  store.release = readRelease(json);
}

/// Where other processes are, and what the stores are to do.
struct DirectoryUpdate {
  /// Addresses of the control processes and the stores that are known.
  std::vector<ReplicaId> controls;
  std::vector<StoreAddress> stores;
  /// Stores that an operator wants emptied.
  std::vector<ReplicaId> retiring;
  /// Members that the store group forms with; none before that is decided.
  consensus::Membership store_group;
  /// Stores that hold the jobs now, as the newest leader of the group told; none before one was heard.
  std::vector<ReplicaId> store_members;
  EvacuatedZones evacuated;
  /// True from a control process that tells the builds of engines, and the services that run several of them or have
  /// done so recently.
  bool tells_builds = false;
  std::vector<ServiceId> mixed_services;
  bool operator==(const DirectoryUpdate&) const = default;
};
/// Control processes of older releases tell nothing of evacuated zones and of builds.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DirectoryUpdate, controls, stores, retiring, store_group, store_members,
                                                evacuated, tells_builds, mixed_services)

/// The parts of the fleet's state that the subscriber lacks, most often none. Each one proves that the versions it
/// names were the newest at some moment shortly before.
struct UpdateFrame {
  static constexpr std::string_view kKind = "u";
  std::uint64_t document_version = 0;
  std::uint64_t engines_revision = 0;
  std::optional<std::string> document;
  /// Engines that the subscriber lacks, as encoded `EngineChanges` in the order in which they apply: those that changed
  /// after a revision it holds, or all of some revision and what changed after that. Encoded one by one, so that the
  /// list of all is encoded once for all subscribers.
  std::vector<std::string> engines;
  std::optional<DirectoryUpdate> directory;
};
inline void to_json(nlohmann::json& json, const UpdateFrame& update) {
  json = nlohmann::json{{"v", update.document_version}, {"r", update.engines_revision}};
  if (update.document) json["document"] = *update.document;
  if (!update.engines.empty()) json["engines"] = update.engines;
  if (update.directory) json["directory"] = *update.directory;
}
inline void from_json(const nlohmann::json& json, UpdateFrame& update) {
  json.at("v").get_to(update.document_version);
  json.at("r").get_to(update.engines_revision);
  if (json.contains("document")) update.document = json.at("document").get<std::string>();
  if (json.contains("directory")) update.directory = json.at("directory").get<DirectoryUpdate>();
  if (json.contains("engines")) json.at("engines").get_to(update.engines);
}

/// A request to a store, and its answer; `number` is unique on its connection.
struct StoreRequestFrame {
  static constexpr std::string_view kKind = "q";
  std::uint64_t number = 0;
  /// `store::StoreRequest`, tagged and encoded.
  std::string request;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreRequestFrame, number, request)

struct StoreReplyFrame {
  static constexpr std::string_view kKind = "r";
  std::uint64_t number = 0;
  std::string reply;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreReplyFrame, number, reply)

/// Whose requests a process reports.
enum class LoadKind : std::uint8_t {
  /// Online requests whose engines the process chose itself.
  kChosen,
  /// Online requests that the receiver placed, so that it knows them sooner than from the report.
  kPlaced,
  /// Batch runs, which give way.
  kBackground,
};

/// What a process has in flight at engines, for the aggregator that it reports to. Replaces its last report.
struct LoadReportFrame {
  static constexpr std::string_view kKind = "l";
  std::string node;
  std::vector<request::EngineShare> shares;
  LoadKind kind = LoadKind::kChosen;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadReportFrame, node, shares, kind)

/// Totals of all processes that report to one aggregator, for the other aggregators: a whole `LoadDigestWriter` digest.
struct LoadTotalsFrame {
  static constexpr std::string_view kKind = "lt";
  ReplicaId from;
  std::string digest;
  /// Of these, what batch runs have.
  std::string background;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadTotalsFrame, from, digest, background)

/// What the batch runs have in flight at each engine: from the leader of the stores to those that place online
/// requests. A whole `LoadDigestWriter` digest.
struct BackgroundLoadFrame {
  static constexpr std::string_view kKind = "bl";
  ReplicaId from;
  std::uint64_t term = 0;
  std::string digest;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BackgroundLoadFrame, from, term, digest)

/// An online request has been placed at an engine whose slots are taken: a batch run there is to give way now.
struct GiveWayFrame {
  static constexpr std::string_view kKind = "gw";
  EngineId engine;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GiveWayFrame, engine)

/// Totals of all processes of the fleet, from an aggregator to those that report to it: the same bytes for all of them.
struct LoadDigestFrame {
  static constexpr std::string_view kKind = "ld";
  ReplicaId from;
  /// Engines that are not named have no load; else they have the load that was told last.
  bool is_whole = false;
  std::string digest;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadDigestFrame, from, is_whole, digest)

using FleetMessage =
    std::variant<GroupFrame, ProposalFrame, ProposalReplyFrame, DirectoryFrame, SubscribeFrame, UpdateFrame,
                 StoreRequestFrame, StoreReplyFrame, LoadReportFrame, LoadTotalsFrame, LoadDigestFrame, RunOrder,
                 RunLease, RunReport, RunOffer, CreditQuestionFrame, CreditAnswerFrame, PlacementQuestion,
                 PlacementAnswer, PlacementNotes, BackgroundLoadFrame, GiveWayFrame, CrashNotesFrame, StreamNotesFrame,
                 StreamQuestionFrame, StreamAnswerFrame, RunSummaries, RunTexts>;

}  // namespace hatchfork::fleet
