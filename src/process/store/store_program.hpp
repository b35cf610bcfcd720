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
#include "request/limits/drain_meter.hpp"
#include "request/limits/rate_limit_owner.hpp"
#include "version/dialect.hpp"

namespace hatchfork::store {

/// The store program: one replica of the store group, the requests of gateways, and, at the group's leader, the runs of
/// batch items. All on one thread; only disk syncs run on another.
class StoreProgram {
 public:
  StoreProgram(fleet::FleetSettings settings, std::string settings_file, std::unique_ptr<const Dialect> dialect);
  ~StoreProgram();

  /// Runs until a planned stop has ended. Returns an error when the start failed.
  Status run();

 private:
  /// A proposal without an outcome after this long counts as unknown.
  static constexpr Duration kProposalTimeout = fromMillis(2000);

  using ConnectionPtr = connection::FrameServer::ConnectionPtr;
  using ReplyFunction = std::function<void(StoreReply)>;

  /// A read of results that waits for the first one.
  struct HeldRead {
    ReadResultsRequest request;
    Instant deadline;
    ReplyFunction reply;
  };

  Status start();
  void onFrame(const std::string& body, const ConnectionPtr& from);
  void dispatch(const fleet::FleetMessage& message, const ConnectionPtr& from);
  void tick(Instant now);
  /// A process reports its load to this store.
  void onLoadReport(const fleet::LoadReportFrame& report, const ConnectionPtr& from);
  /// What other stores send back on links from here.
  void onReturnedFrame(const std::string& body);
  void onDigest(const fleet::LoadDigestFrame& digest);
  bool sendLoadReport(const ReplicaId& to, const fleet::LoadReportFrame& report);
  /// Batch runs of the leader, for those that place online requests.
  void tellBackground(const std::vector<request::EngineShare>& shares);
  void onBackground(const fleet::BackgroundLoadFrame& background);
  /// A placed request needs the slot of a batch run.
  void askToGiveWay(const EngineId& engine);
  /// Takes what the group keeps of requests that end engines; at the leader, has it keep what it lacks.
  void keepCrashes(Instant now);
  /// Takes the crashes that the log of this store holds, before a leader tells which of them the group keeps.
  void recallCrashes(Instant now);
  void takeKeptCrashes(Instant now, const std::vector<StoredCrash>& crashes);
  /// Tells what was seen here of requests that end engines, with other news of the same moment.
  void tellCrashesSoon();
  void onCreditQuestion(const fleet::CreditQuestionFrame& frame, const ConnectionPtr& from);
  /// Takes the tenants' limits, and the stores that own them, from the newest view.
  void updateRateLimits(const fleet::FleetView& view);
  /// At the leader: tells what its runs have in flight, and once that they are over.
  void reportOwnLoad(Instant now);
  void onRequest(const fleet::StoreRequestFrame& frame, const ConnectionPtr& from);
  void serve(SubmitJobRequest request, ReplyFunction reply);
  void serve(ReadResultsRequest request, ReplyFunction reply);
  void serve(ReadItemRequest request, ReplyFunction reply);
  void serve(EndJobRequest request, ReplyFunction reply);
  StoreReply overLimit(const WaitingLimit& limit, std::uint64_t job_tokens) const;
  void propose(JobCommand command, ReplyFunction reply);
  /// Answers from the state once that is as fresh as this call.
  void answerFresh(std::function<StoreReply()> answer, ReplyFunction reply);
  /// Carries frames of orders and reports, to this process itself too.
  bool sendToStore(const ReplicaId& to, const fleet::FleetMessage& message);
  void updateLeading();
  void noteChange(const JobId& job);
  void answerHeldReads(Instant now);
  void measureProgress(Instant now);
  void onView(const fleet::FleetView& view, const fleet::FleetChange& change);
  void takeDirectory(Instant now, const fleet::FleetView& view);
  std::vector<fleet::StorePresence> presence() const;
  /// Why a submission of so many bytes finds no room here; empty if it does.
  std::string_view lacksRoomFor(std::size_t bytes) const;
  /// Tells the budget what each holder has.
  void measureMemory();
  void fillMemoryMetrics(metrics::MetricsPage& page) const;
  void fillMetrics(metrics::MetricsPage& page) const;
  void fillLineMetrics(metrics::MetricsPage& page) const;
  connection::Awaitable<void> tickLoop();
  connection::Awaitable<void> stopOnSignal();
  connection::Awaitable<void> reloadOnSignal();

  fleet::FleetSettings settings_;
  std::string settings_file_;
  std::unique_ptr<const Dialect> dialect_;
  connection::asio::io_context context_;
  fleet::PeerLinks links_;
  fleet::FrameReader frames_;
  /// Requests that end the engines they run on, as far as any process has seen.
  fleet::CrashWatch crashes_;
  CrashRelay crash_relay_;
  connection::Timer crash_timer_;
  bool crash_timer_armed_ = false;
  /// What of the kept crashes was taken, what was looked at last to be kept, and whether a proposal is in flight.
  std::uint64_t kept_crashes_taken_ = 0;
  std::uint64_t crashes_looked_at_ = 0;
  bool keeping_crashes_ = false;
  JobState* state_ = nullptr;
  memory::MemoryBudget memory_;
  /// Encoded submissions that are proposed and have no outcome yet.
  std::size_t submission_bytes_ = 0;
  std::unique_ptr<fleet::GroupHost> group_;
  std::unique_ptr<JobExecutor> executor_;
  std::unique_ptr<ItemRunner> runner_;
  std::unique_ptr<fleet::FeedClient> feed_;
  std::unique_ptr<connection::FrameServer> frame_server_;
  std::unique_ptr<fleet::MetricsServer> metrics_;
  /// Names the engines in digests of loads.
  request::EngineKeys engine_keys_;
  /// Loads of the processes that report to this store, and what the leader's executor reports and hears itself.
  LoadAggregator aggregator_;
  fleet::LoadReporter own_load_;
  bool reports_load_ = false;
  /// Places the online requests of the gateways that report to this store.
  PlacementService placement_;
  /// Connections of gateways whose requests may stand in line here.
  std::map<const void*, ConnectionPtr> placement_links_;
  /// The leader that last told of its batch runs, and its term.
  ReplicaId background_from_;
  std::uint64_t background_term_ = 0;
  /// The buckets of the tenants whose limits this store owns, and all that own some.
  request::RateLimitOwner rate_limits_;
  std::vector<ReplicaId> limit_owners_;
  std::shared_ptr<const RouteTable> routes_;
  /// How fast tokens of items are finished, and those that were when it was last told.
  request::DrainMeter finished_tokens_;
  std::uint64_t listed_tokens_ = 0;
  std::uint64_t over_limit_jobs_ = 0;
  std::list<HeldRead> held_reads_;
  std::set<JobId> changed_jobs_;
  Instant next_trim_{};
  /// When a quorum last confirmed the leadership of this store.
  Instant confirmed_at_ = Instant::min();
  fleet::HandlerWatch handlers_;
  connection::SuspensionWatch suspensions_;
  bool change_posted_ = false;
  bool stopping_ = false;
};

}  // namespace hatchfork::store
