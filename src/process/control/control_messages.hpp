#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "process/batch/batch_types.hpp"
#include "version/admin_action.hpp"
#include "version/configuration.hpp"
#include "version/configuration_transfer.hpp"

/// Requests that gateways send to control replicas, and the replies. The administration API carries the same structs.
namespace hatchfork::control {

/// Renews the freshness lease of a gateway. Answered only by a replica that has proved its state fresh (read index).
struct RenewConfigurationRequest {
  static constexpr std::string_view kKind = "renew_configuration";
  GatewayId gateway;
  /// Drawn at process start, so that a restarted gateway is not taken for its former self.
  std::uint64_t session = 0;
  ZoneId zone;
  /// Revision the gateway enforces now; zero at start.
  Revision enforced = 0;
  /// Revision of the copy that the reply's edits are to build on; zero asks for a page of the document.
  Revision held = 0;
  /// Shard of tenants with which that page is to begin.
  std::uint32_t next_shard = 0;
  /// Version of the list of live gateways that the gateway holds; zero at start.
  std::uint64_t fleet_version = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RenewConfigurationRequest, gateway, session, zone, enforced, held,
                                                next_shard, fleet_version)

/// A gateway that renewed lately at some replica.
struct LiveGateway {
  GatewayId gateway;
  ZoneId zone;
  bool operator==(const LiveGateway&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LiveGateway, gateway, zone)

struct RenewConfigurationReply {
  static constexpr std::string_view kKind = "configuration";
  ConfigurationDelta delta;
  /// Live gateways as the replicas tell each other, in order of name; sent only when `fleet_version` differs from the
  /// request's. A hint for sharing out limits and engine ownership.
  std::vector<LiveGateway> gateways;
  /// Batch groups with unfinished jobs, as far as this replica has heard; only these are worth asking for items.
  std::vector<GroupId> busy_groups;
  /// Engines that the platform lists as leaving or gone; sent together with `gateways`.
  std::vector<EngineId> leaving;
  std::uint64_t fleet_version = 0;
  /// Lease length; the gateway counts it from the moment it sent the request.
  std::uint32_t lease_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RenewConfigurationReply, delta, busy_groups, gateways, leaving,
                                                fleet_version, lease_ms)

/// Submits an operator's change to group 0.
struct ApplyChangeRequest {
  static constexpr std::string_view kKind = "apply_change";
  ConfigurationChange change;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ApplyChangeRequest, change)

struct ApplyChangeReply {
  static constexpr std::string_view kKind = "change_applied";
  Revision revision = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ApplyChangeReply, revision)

/// Records an administrative act in group 0; answered by `ApplyChangeReply` with the present revision.
struct RecordActionRequest {
  static constexpr std::string_view kKind = "record_action";
  AdminAction action;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordActionRequest, action)

/// Opens a job, or finds the one already opened under the same tenant and idempotency key. Another spec under the same
/// key is `kConflict`.
struct CreateJobRequest {
  static constexpr std::string_view kKind = "create_job";
  batch::JobSpec spec;
  WallMillis now = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CreateJobRequest, spec, now)

/// Adds one numbered part (from zero). The same part with the same content is answered as before, other content is
/// `kConflict`.
struct AddPartRequest {
  static constexpr std::string_view kKind = "add_part";
  JobId job;
  std::uint32_t part = 0;
  std::vector<batch::Item> items;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AddPartRequest, job, part, items)

/// Accepts the job as a whole: it has exactly these many parts and runs from now on.
struct SealJobRequest {
  static constexpr std::string_view kKind = "seal_job";
  JobId job;
  std::uint32_t parts = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SealJobRequest, job, parts)

struct CancelJobRequest {
  static constexpr std::string_view kKind = "cancel_job";
  JobId job;
  TenantId tenant;
  WallMillis now = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CancelJobRequest, job, tenant, now)

struct GetJobRequest {
  static constexpr std::string_view kKind = "get_job";
  JobId job;
  TenantId tenant;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GetJobRequest, job, tenant)

/// Looks for the job of an idempotency key, so that a resend is known before anything else is asked about it.
struct FindJobRequest {
  static constexpr std::string_view kKind = "find_job";
  TenantId tenant;
  std::string idempotency_key;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FindJobRequest, tenant, idempotency_key)

/// Reply to every request that names a job.
struct JobReply {
  static constexpr std::string_view kKind = "job";
  batch::JobStatus status;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobReply, status)

/// Reads terminal items of a job in index order, starting at `from`.
struct GetResultsRequest {
  static constexpr std::string_view kKind = "get_results";
  JobId job;
  TenantId tenant;
  ItemIndex from = 0;
  std::uint32_t most = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GetResultsRequest, job, tenant, from, most)

struct ResultsReply {
  static constexpr std::string_view kKind = "results";
  std::vector<batch::ItemResult> results;
  /// Index to continue from; equals the total when the end was reached.
  ItemIndex next = 0;
  ItemIndex total = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ResultsReply, results, next, total)

/// Items of one job that a gateway session holds under lease.
struct HeldItems {
  JobId job;
  std::vector<ItemIndex> items;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeldItems, job, items)

/// Items of a service for which a gateway has idle capacity.
struct WantedItems {
  ServiceId service;
  std::uint32_t most = 0;
  bool operator==(const WantedItems&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WantedItems, service, most)

/// Asks a batch group's leader for items to run, and renews the leases this gateway session already holds there.
struct LeaseItemsRequest {
  static constexpr std::string_view kKind = "lease_items";
  GatewayId gateway;
  std::uint64_t session = 0;
  /// Empty only renews.
  std::vector<WantedItems> wanted;
  /// What this session holds now: a new leader adopts it, and cancelled jobs among it are named in the reply.
  std::vector<HeldItems> holding;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LeaseItemsRequest, gateway, session, wanted, holding)

struct LeasedBundle {
  JobId job;
  batch::JobSpec spec;
  std::vector<batch::LeasedItem> items;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LeasedBundle, job, spec, items)

struct LeaseItemsReply {
  static constexpr std::string_view kKind = "leased";
  std::vector<LeasedBundle> bundles;
  /// Jobs among `holding` whose attempts must stop now.
  std::vector<JobId> cancelled;
  /// Counted by the gateway from the moment it sent the request; covers all items the session holds.
  std::uint32_t lease_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LeaseItemsReply, bundles, cancelled, lease_ms)

/// Commits the start of unrepeatable items before their dispatch. Only the items named in the reply may be run.
struct StartItemsRequest {
  static constexpr std::string_view kKind = "start_items";
  GatewayId gateway;
  std::uint64_t session = 0;
  JobId job;
  std::vector<ItemIndex> items;
  std::vector<AttemptNumber> attempts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartItemsRequest, gateway, session, job, items, attempts)

struct StartItemsReply {
  static constexpr std::string_view kKind = "started";
  std::vector<ItemIndex> granted;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartItemsReply, granted)

/// Commits ends of attempts, many at a time. The first terminal state of an item wins; later ones are ignored.
struct CompleteItemsRequest {
  static constexpr std::string_view kKind = "complete_items";
  GatewayId gateway;
  std::uint64_t session = 0;
  JobId job;
  std::vector<batch::ItemOutcome> outcomes;
  /// Items given back unrun (planned stop, yielding): leasable again at once.
  std::vector<ItemIndex> returned;
  WallMillis now = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CompleteItemsRequest, gateway, session, job, outcomes, returned, now)

struct CompleteItemsReply {
  static constexpr std::string_view kKind = "completed";
  batch::JobState state = batch::JobState::kRunning;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CompleteItemsReply, state)

/// Claims the single run of an online unrepeatable request. The first claim of (tenant, key) is granted, every later
/// one is refused as already claimed.
struct ClaimRunRequest {
  static constexpr std::string_view kKind = "claim_run";
  TenantId tenant;
  std::string idempotency_key;
  /// Hash of the body: another body under the same key is `kConflict`.
  std::string digest;
  /// Names one gateway's handling of one request; never reused.
  std::string claimant;
  WallMillis now = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimRunRequest, tenant, idempotency_key, digest, claimant, now)

struct ClaimRunReply {
  static constexpr std::string_view kKind = "claim";
  bool granted = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimRunReply, granted)

/// Typed failure of any request; `kNotLeader` names where to go in `leader`.
struct ErrorReply {
  static constexpr std::string_view kKind = "error";
  Error error;
  ReplicaId leader;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ErrorReply, error, leader)

using ControlRequest =
    std::variant<RenewConfigurationRequest, ApplyChangeRequest, RecordActionRequest, CreateJobRequest, AddPartRequest,
                 SealJobRequest, CancelJobRequest, GetJobRequest, FindJobRequest, GetResultsRequest, LeaseItemsRequest,
                 StartItemsRequest, CompleteItemsRequest, ClaimRunRequest>;

using ControlReply = std::variant<ErrorReply, RenewConfigurationReply, ApplyChangeReply, JobReply, ResultsReply,
                                  LeaseItemsReply, StartItemsReply, CompleteItemsReply, ClaimRunReply>;

}  // namespace hatchfork::control
