#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <string>

#include "connection/asio.hpp"
#include "connection/frame_server.hpp"
#include "connection/suspension_watch.hpp"
#include "process/fleet/crash_watch.hpp"
#include "process/fleet/feed_client.hpp"
#include "process/fleet/fleet_settings.hpp"
#include "process/fleet/frame_reader.hpp"
#include "process/fleet/group_host.hpp"
#include "process/fleet/handler_watch.hpp"
#include "process/fleet/load_reporter.hpp"
#include "process/fleet/metrics_server.hpp"
#include "process/fleet/peer_links.hpp"
#include "process/memory/memory_budget.hpp"
#include "process/store/crash_relay.hpp"
#include "process/store/item_runner.hpp"
#include "process/store/job_executor.hpp"
#include "process/store/job_state.hpp"
#include "process/store/load_aggregator.hpp"
#include "process/store/placement_service.hpp"
#include "process/store/store_messages.hpp"
#include "request/exchange/stream_table.hpp"
#include "request/limits/drain_meter.hpp"
#include "request/limits/rate_limit_owner.hpp"
#include "version/dialect.hpp"

namespace hatchfork::store {

/// The store program: a replica of the store group. Serves the requests of gateways and, as the leader of the group,
/// runs batch items. Runs on one thread; only disk syncs use a second thread.
class StoreProgram {
 public:
  StoreProgram(fleet::FleetSettings settings, std::string settings_file, std::unique_ptr<const Dialect> dialect);
  ~StoreProgram();

  /// Runs until a planned stop is complete. Returns an error if the start failed.
  Status run();

 private:
  /// The outcome of a proposal is unknown if there is no decision within this time.
  static constexpr Duration kProposalTimeout = fromMillis(2000);

  using ConnectionPtr = connection::FrameServer::ConnectionPtr;
  using ReplyFunction = std::function<void(StoreReply)>;

  /// A read of results that is parked until the first result or its deadline.
  struct PendingRead {
    ReadResultsRequest request;
    Instant deadline;
    ReplyFunction reply;
  };

  Status start();
  void onFrame(const std::string& body, const ConnectionPtr& from);
  Result<std::optional<fleet::FleetMessage>> readFrame(const std::string& body);
  void dispatch(const fleet::FleetMessage& message, const ConnectionPtr& from);
  void tick(Instant now);
  void onLoadReport(const fleet::LoadReportFrame& report, const ConnectionPtr& from);
  /// Handles frames that other stores send back on outgoing links.
  void onReturnedFrame(const std::string& body);
  void onDigest(const fleet::LoadDigestFrame& digest);
  bool sendLoadReport(const ReplicaId& to, const fleet::LoadReportFrame& report);
  /// Sends the load of batch runs to the stores that place online requests; called at the leader.
  void sendBackgroundLoad(const std::vector<request::EngineShare>& shares);
  void onBackgroundLoad(const fleet::BackgroundLoadFrame& background);
  /// Requests the preemption of a batch run whose slot a placed request needs.
  void requestPreemption(const EngineId& engine);
  /// Applies the crashes that the group keeps of requests that crash engines; the leader also proposes missing crashes.
  void proposeCrashes(Instant now);
  /// Returns the difference between the crashes that the group keeps and those that it should keep, in one command.
  SaveCrashes missingCrashes(Instant now);
  /// Applies the crashes in the log of this store, before a leader has confirmed which of these entries are committed.
  void recoverCrashes(Instant now);
  void applyKeptCrashes(Instant now, const std::vector<StoredCrash>& crashes);
  /// Schedules the report of locally observed engine crashes, batched with other reports of the same moment.
  void scheduleCrashReport();
  void onCreditQuestion(const fleet::CreditQuestionFrame& frame, const ConnectionPtr& from);
  void onStreamNotes(const fleet::StreamNotesFrame& frame);
  void onStreamQuestion(const fleet::StreamQuestionFrame& frame, const ConnectionPtr& from);
  /// Updates the tenants' limits, and the stores that own them, from the latest view.
  void updateRateLimits(const fleet::FleetView& view);
  /// Reports the in-flight load of the leader's runs; reports once more, with no load, after leadership is lost.
  void reportOwnLoad(Instant now);
  void onRequest(const fleet::StoreRequestFrame& frame, const ConnectionPtr& from);
  void serve(SubmitJobRequest request, ReplyFunction reply);
  void serve(ReadResultsRequest request, ReplyFunction reply);
  void serve(ReadItemRequest request, ReplyFunction reply);
  void serve(EndJobRequest request, ReplyFunction reply);
  void serve(TrialRequest request, ReplyFunction reply);
  StoreReply overLimitReply(const WaitingLimit& limit, std::uint64_t job_tokens) const;
  /// Answers from the state once a quorum has confirmed that the state is as recent as this call.
  void answerFresh(std::function<StoreReply()> answer, ReplyFunction reply);
  /// Sends a frame with a run order or a run report to a store, which may be this process.
  bool sendToStore(const ReplicaId& to, const fleet::FleetMessage& message);
  void updateLeadership();
  /// True once no store is left that would forget the ends of jobs that the group does not have.
  bool canKeepEnds() const;
  void noteChange(const JobId& job);
  /// Has the executor start waiting items after a moment, in which further reports may arrive.
  void scheduleStart();
  void answerPendingReads(Instant now);
  void measureDrainRate(Instant now);
  void onView(const fleet::FleetView& view, const fleet::FleetChange& change);
  void applyDirectory(Instant now, const fleet::FleetView& view);
  std::vector<fleet::StorePresence> presence() const;
  /// Returns the cause to refuse a submission of `bytes` bytes for lack of memory; empty if there is room.
  std::string_view memoryRefusalCause(std::size_t bytes) const;
  /// Reports the memory use of each consumer to the budget.
  void measureMemory();
  /// Logs the memory of the process and of each consumer while it is near its limit.
  void watchMemory(Instant now);
  void fillMemoryMetrics(metrics::MetricsPage& page) const;
  void fillMetrics(metrics::MetricsPage& page) const;
  void fillQueueMetrics(metrics::MetricsPage& page) const;
  connection::Awaitable<void> tickLoop();
  connection::Awaitable<void> stopOnSignal();
  connection::Awaitable<void> reloadOnSignal();

  fleet::FleetSettings settings_;
  std::string settings_file_;
  std::unique_ptr<const Dialect> dialect_;
  connection::asio::io_context context_;
  fleet::PeerLinks links_;
  fleet::FrameReader frames_;
  /// Requests that crash the engines they run on, as observed by any process.
  fleet::CrashWatch crashes_;
  CrashRelay crash_relay_;
  connection::Timer crash_timer_;
  connection::Timer start_timer_;
  bool crash_timer_armed_ = false;
  /// Version of the stored crashes that was applied last, digest of the observed crashes that were last compared with
  /// the stored crashes, and whether a proposal is in flight.
  std::uint64_t kept_crashes_applied_ = 0;
  std::uint64_t crashes_compared_ = 0;
  bool crash_proposal_in_flight_ = false;
  JobState* state_ = nullptr;
  memory::MemoryBudget memory_;
  /// Jobs whose submissions are proposed and have no outcome yet, with the number of these submissions.
  std::map<JobId, std::size_t> submissions_;
  /// Bytes of item bodies in these jobs, each counted once.
  std::size_t submission_bytes_ = 0;
  std::unique_ptr<fleet::GroupHost> group_;
  std::unique_ptr<JobExecutor> executor_;
  std::unique_ptr<ItemRunner> runner_;
  std::unique_ptr<fleet::FeedClient> feed_;
  std::unique_ptr<connection::FrameServer> frame_server_;
  std::unique_ptr<fleet::MetricsServer> metrics_;
  /// Keys of the engines in load digests.
  request::EngineKeys engine_keys_;
  /// Aggregates the loads of the processes that report to this store; `own_load_` reports the load of the leader's
  /// executor, and receives the digests for the executor.
  LoadAggregator aggregator_;
  fleet::LoadReporter own_load_;
  bool reports_load_ = false;
  /// Places the online requests of the gateways that report to this store.
  PlacementService placement_;
  /// Connections of gateways whose requests may be queued here.
  std::map<const void*, ConnectionPtr> placement_links_;
  /// The leader that last reported its batch runs, and its term.
  ReplicaId background_leader_;
  std::uint64_t background_term_ = 0;
  /// Buckets of the tenants whose rate limits this store owns, and all stores that own rate limits.
  request::RateLimitOwner rate_limits_;
  std::vector<ReplicaId> limit_owners_;
  std::shared_ptr<const RouteTable> routes_;
  /// Which build began the streams that gateways have recorded here.
  request::StreamTable streams_;
  /// Rate at which tokens of items are finished, and the number of listed tokens at the last measurement.
  request::DrainMeter finished_tokens_;
  std::uint64_t listed_tokens_ = 0;
  std::uint64_t over_limit_jobs_ = 0;
  std::list<PendingRead> pending_reads_;
  std::set<JobId> changed_jobs_;
  Instant next_trim_{};
  Instant next_memory_log_{};
  /// Time at which a quorum last confirmed the leadership of this store.
  Instant confirmed_at_ = Instant::min();
  fleet::HandlerWatch handlers_;
  connection::SuspensionWatch suspensions_;
  bool change_posted_ = false;
  bool stopping_ = false;
};

}  // namespace hatchfork::store
