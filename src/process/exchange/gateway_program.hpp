#pragma once

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
#include "process/exchange/planned_stop.hpp"
#include "process/exchange/rate_limit_client.hpp"
#include "process/exchange/start_gate.hpp"
#include "process/exchange/store_client.hpp"
#include "process/exchange/stream_client.hpp"
#include "process/exchange/trial_client.hpp"
#include "process/fleet/crash_watch.hpp"
#include "process/fleet/feed_client.hpp"
#include "process/fleet/fleet_settings.hpp"
#include "process/fleet/load_reporter.hpp"
#include "process/fleet/metrics_server.hpp"
#include "request/admission/pending_budget.hpp"
#include "request/exchange/weighted_split.hpp"
#include "version/dialect.hpp"

namespace hatchfork::exchange {

/// The gateway process: routes callers' requests to engines and the calls of job owners to stores. Holds no durable
/// state. While disconnected from the control processes, it serves with the last received configuration, and it never
/// reverts to an older one. Runs on a single thread.
class GatewayProgram {
 public:
  GatewayProgram(fleet::FleetSettings settings, std::string settings_file, std::unique_ptr<const Dialect> dialect);
  ~GatewayProgram();

  /// Runs until a graceful shutdown has completed. Returns an error if the start failed.
  Status run();

 private:
  Status start();
  void onView(const fleet::FleetView& view, const fleet::FleetChange& change);
  /// True if all stores lie in the regions allowed for this route and tenant.
  bool mayStoreJobsOf(const Route& route, const Tenant* tenant) const;
  void takeRoutes(std::shared_ptr<const RouteTable> routes);
  /// Connects to the stores that answer requests and to those that aggregate loads. Not to all stores: the number of
  /// connections would grow with the product of gateways and stores.
  void linkStores(const fleet::FleetView& view);
  connection::Awaitable<void> handle(const connection::HttpRequest& request, connection::ResponseWriter& writer);
  connection::Awaitable<void> handleReadiness(const connection::HttpRequest& request,
                                              connection::ResponseWriter& writer);
  /// Returns the tenant of a request; null for an anonymous caller.
  Result<const Tenant*> authenticateCaller(const RouteTable& routes, bool allows_anonymous,
                                           const connection::HttpRequest& request) const;
  connection::Awaitable<void> handleJobCall(const JobCall& call, const RouteTable& routes,
                                            const connection::HttpRequest& request, connection::ResponseWriter& writer);
  /// Parks a request until `is_open` returns true. Returns false if the request was refused or its caller left.
  connection::Awaitable<bool> awaitStartup(std::function<bool()> is_open, std::string_view missing, Instant received_at,
                                           const connection::HttpRequest& request, connection::ResponseWriter& writer);
  /// Refuses a request that the stopping gateway may not be able to answer in time. `longest`: time that it may take.
  connection::Awaitable<bool> refusesForStop(Instant received_at, Duration longest,
                                             const connection::HttpRequest& request,
                                             connection::ResponseWriter& writer);
  /// Handles an online request of an identified caller: applies the tenant's rate limit, then runs the request.
  connection::Awaitable<void> handleOnline(const std::shared_ptr<const RouteTable>& routes, const Route& route,
                                           const Tenant* tenant, Instant received_at,
                                           const connection::HttpRequest& request, connection::ResponseWriter& writer);
  /// Returns `refusal` if the configuration is confirmed to be the newest. Otherwise returns a retryable error, since a
  /// newer configuration may allow the request.
  Error unlessCurrent(Error refusal) const;
  /// Describes the request for the owner of the tenant's rate limit, which may let it wait or schedule a retry.
  LimitedRequest limitedRequest(const Route& route, const Tenant& tenant, const connection::HttpRequest& request) const;
  connection::Awaitable<void> refuse(const connection::HttpRequest& request, connection::ResponseWriter& writer,
                                     Error error);
  bool isReady() const;
  void fillMetrics(metrics::MetricsPage& page) const;
  connection::Awaitable<void> maintenanceLoop();
  connection::Awaitable<void> loadLoop();
  /// Handles a store's report about requests that crash engines.
  void onCrashNotes(const ReplicaId& from, const fleet::CrashNotesFrame& notes);
  /// Schedules a report of crashes observed here to the stores of this zone; batches crashes that are close in time.
  void scheduleCrashReport();
  /// Requests the known crashes from stores until one answers or the time limit, counted from the first fleet view,
  /// has passed.
  connection::Awaitable<void> fetchKnownCrashes();
  /// Sends `request` to the first reachable aggregator, starting at index `turn`. Returns the index after it, or
  /// `turn` if none is reachable.
  std::size_t sendToNextStore(std::size_t turn, const fleet::CrashNotesFrame& request);
  /// Subscribes to crash reports at the current aggregator.
  void subscribeToCrashes();
  /// Schedules a report of this gateway's requests in flight; batches changes that are close in time.
  void scheduleLoadReport();
  connection::Awaitable<void> stopOnSignal();
  /// Waits until all connections of callers have ended, or until `give_up`.
  connection::Awaitable<void> awaitConnectionEnds(Instant give_up);
  connection::Awaitable<void> reloadOnSignal();

  fleet::FleetSettings settings_;
  std::string settings_file_;
  std::unique_ptr<const Dialect> dialect_;
  connection::asio::io_context context_;
  /// Bytes buffered for callers and engines that read slowly.
  std::shared_ptr<connection::SlowReaders> slow_readers_;
  connection::EngineClient engines_;
  /// Budget of all requests that wait at this gateway, for any reason.
  request::PendingBudget pending_budget_;
  StartGate start_gate_;
  request::EngineSelector selector_;
  request::ArrivalGate gate_;
  request::WeightedSplit split_;
  StoreClient stores_;
  /// Maps the engine keys of load digests to engines.
  request::EngineKeys engine_keys_;
  fleet::LoadReporter loads_;
  RateLimitClient rate_limits_;
  PlacementClient placement_;
  fleet::CrashWatch crashes_;
  request::AnsweringPrompts answering_prompts_;
  TrialClient trials_;
  StreamClient streams_;
  /// Store that reports crashes to this gateway.
  ReplicaId crash_reporter_;
  /// Time at which the first view was received.
  Instant first_view_at_{};
  /// True once the known crashes were received or the wait for them timed out.
  bool has_crash_reports_ = false;
  connection::Timer crash_timer_;
  bool crash_timer_armed_ = false;
  JobApi jobs_;
  ExchangeCounters counters_;
  connection::Timer load_timer_;
  bool load_timer_armed_ = false;
  std::unique_ptr<fleet::FeedClient> feed_;
  std::unique_ptr<connection::HttpServer> callers_;
  std::unique_ptr<connection::HttpServer> readiness_;
  std::unique_ptr<fleet::MetricsServer> metrics_;
  std::shared_ptr<const RouteTable> routes_;
  connection::SuspensionWatch suspensions_;
  PlannedStop stop_;
};

}  // namespace hatchfork::exchange
