#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "connection/asio.hpp"
#include "connection/engine_exchange.hpp"
#include "connection/http_server.hpp"
#include "connection/suspension_watch.hpp"
#include "process/exchange/exchange_run.hpp"
#include "process/exchange/job_api.hpp"
#include "process/exchange/placement_client.hpp"
#include "process/exchange/rate_limit_client.hpp"
#include "process/exchange/start_gate.hpp"
#include "process/exchange/store_client.hpp"
#include "process/fleet/crash_watch.hpp"
#include "process/fleet/feed_client.hpp"
#include "process/fleet/fleet_settings.hpp"
#include "process/fleet/load_reporter.hpp"
#include "process/fleet/metrics_server.hpp"
#include "request/admission/pending_budget.hpp"
#include "request/exchange/weighted_split.hpp"
#include "version/dialect.hpp"

namespace hatchfork::exchange {

/// The gateway program of a fleet that forms itself: takes callers' requests by routes and passes them on to engines,
/// and the calls of job owners on to stores. Holds no durable state. It serves on the last configuration it knows while
/// it is cut off from the control processes, and never goes back to an older one. All on one thread.
class GatewayProgram {
 public:
  GatewayProgram(fleet::FleetSettings settings, std::string settings_file, std::unique_ptr<const Dialect> dialect);
  ~GatewayProgram();

  /// Runs until a planned stop has ended. Returns an error when the start failed.
  Status run();

 private:
  Status start();
  void onView(const fleet::FleetView& view, const fleet::FleetChange& change);
  bool mayKeepJobsOf(const Route& route, const Tenant* tenant) const;
  void takeRoutes(std::shared_ptr<const RouteTable> routes);
  /// Links to the stores that answer requests and to those that aggregate loads, not to all of them: a link from every
  /// gateway to every store would grow with their product.
  void linkStores(const fleet::FleetView& view);
  connection::Awaitable<void> handle(const connection::HttpRequest& request, connection::ResponseWriter& writer);
  connection::Awaitable<void> handleReadiness(const connection::HttpRequest& request,
                                              connection::ResponseWriter& writer);
  /// The tenant of a request; null where none is needed.
  Result<const Tenant*> callerOf(const RouteTable& routes, bool allows_anonymous,
                                 const connection::HttpRequest& request) const;
  connection::Awaitable<void> handleJobCall(const JobCall& call, const RouteTable& routes,
                                            const connection::HttpRequest& request, connection::ResponseWriter& writer);
  /// Holds a request until this gateway has started as far as it needs; false if it was refused or its caller left.
  connection::Awaitable<bool> passStart(std::function<bool()> is_open, std::string_view lacking, Instant received_at,
                                        const connection::HttpRequest& request, connection::ResponseWriter& writer);
  /// An online request of an identified caller: admitted by the tenant's limit, then run.
  connection::Awaitable<void> handleOnline(const std::shared_ptr<const RouteTable>& routes, const Route& route,
                                           const Tenant* tenant, Instant received_at,
                                           const connection::HttpRequest& request, connection::ResponseWriter& writer);
  /// A refusal that follows from the configuration: where that can't be shown to be the newest, the caller is asked to
  /// come back instead, since a newer one may allow what this one does not.
  Error unlessCurrent(Error refusal) const;
  /// What the owner of the tenant's limit has to know of a request that may wait or come back.
  LimitedRequest limitedRequest(const Route& route, const Tenant& tenant, const connection::HttpRequest& request) const;
  connection::Awaitable<void> refuse(const connection::HttpRequest& request, connection::ResponseWriter& writer,
                                     Error error);
  bool isReady() const;
  void fillMetrics(metrics::MetricsPage& page) const;
  connection::Awaitable<void> maintenanceLoop();
  connection::Awaitable<void> loadLoop();
  /// Takes what a store tells of requests that end engines.
  void onCrashNotes(const ReplicaId& from, const fleet::CrashNotesFrame& notes);
  /// Tells the stores of this zone what this gateway has seen of them, with other news of the same moment.
  void tellCrashesSoon();
  /// Asks stores until one has told which requests end engines, for a short while after the first view.
  connection::Awaitable<void> learnCrashes();
  /// Sends the question to the first store that can be reached, from number `turn` of the aggregators on. Returns the
  /// number after it, or `turn` if there is none.
  std::size_t askNextStore(std::size_t turn, const fleet::CrashNotesFrame& question);
  void askForCrashes();
  /// Reports what is in flight here, with other changes of the same moment.
  void reportLoadSoon();
  connection::Awaitable<void> stopOnSignal();
  connection::Awaitable<void> reloadOnSignal();

  fleet::FleetSettings settings_;
  std::string settings_file_;
  std::unique_ptr<const Dialect> dialect_;
  connection::asio::io_context context_;
  /// What is held for callers and engines that read slowly.
  std::shared_ptr<connection::SlowReaders> slow_readers_;
  connection::EngineClient engines_;
  /// Of all requests that wait here, for whatever reason.
  request::PendingBudget held_;
  StartGate start_gate_;
  request::EngineSelector selector_;
  request::ArrivalGate gate_;
  request::WeightedSplit split_;
  StoreClient stores_;
  /// Names the engines in digests of loads.
  request::EngineKeys engine_keys_;
  fleet::LoadReporter loads_;
  RateLimitClient rate_limits_;
  PlacementClient placement_;
  fleet::CrashWatch crashes_;
  /// The store that tells this gateway of crashes.
  ReplicaId crash_hub_;
  /// When the first view came; and whether this gateway has been told which requests end engines, or waits no longer.
  Instant first_view_at_{};
  bool knows_crashes_ = false;
  connection::Timer crash_timer_;
  bool crash_timer_armed_ = false;
  JobApi jobs_;
  ExchangeCounters counters_;
  /// Entries stay, since running requests refer to them; there are as many as services were ever routed to.
  std::map<ServiceId, request::AnswerFraming> framing_;
  connection::Timer load_timer_;
  bool load_timer_armed_ = false;
  std::unique_ptr<fleet::FeedClient> feed_;
  std::unique_ptr<connection::HttpServer> callers_;
  std::unique_ptr<connection::HttpServer> readiness_;
  std::unique_ptr<fleet::MetricsServer> metrics_;
  std::shared_ptr<const RouteTable> routes_;
  connection::SuspensionWatch suspensions_;
  bool stopping_ = false;
};

}  // namespace hatchfork::exchange
