#include "process/exchange/gateway_program.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "common/log.hpp"
#include "common/start_timeline.hpp"
#include "connection/stop_signal.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::HttpResponse;
using connection::monotonicNow;

namespace {

/// Batching interval of load reports. Kept short because batch work adapts to online load through these reports.
constexpr Duration kLoadReportDelay = fromMillis(10);
/// Interval of checks that depend on time alone: overdue answers and reports to be repeated.
constexpr Duration kLoadInterval = fromMillis(100);
constexpr Duration kMaintenanceInterval = fromMillis(1000);
constexpr Duration kStopPollInterval = fromMillis(10);
/// Maximum number of requests that wait at a gateway at once, and the bytes of their bodies per megabyte of its memory.
constexpr std::size_t kMaxPendingRequests = 4096;
constexpr std::size_t kPendingBytesPerMegabyte = (1u << 20) / 8;
std::uint64_t drawSeed() {
  std::random_device source;
  return (std::uint64_t{source()} << 32) | source();
}

/// Share of the process memory that may be buffered for slow readers. Bytes are counted once but may briefly exist
/// twice, in the receive and the send buffer; the rest is for the process itself and its view of the fleet.
constexpr double kSlowReaderMemoryShare = 0.25;

request::ByteBudgetLimits byteLimitsOf(const fleet::FleetSettings& settings) {
  constexpr double kBytesPerMegabyte = 1 << 20;
  request::ByteBudgetLimits limits;
  limits.most_bytes = static_cast<std::size_t>(kSlowReaderMemoryShare * settings.memory_mb * kBytesPerMegabyte);
  return limits;
}

/// Stores that answer requests: those that hold jobs, or all until these are known.
std::vector<ReplicaId> answeringStores(const fleet::FleetView& view) {
  return view.store_members.empty() ? fleet::addressesOf(view.stores) : view.store_members;
}

/// Of these, the stores that report at least this release.
std::vector<ReplicaId> storesOfRelease(const fleet::FleetView& view, ReleaseNumber release) {
  const PeerReleases releases = fleet::releasesOf(view.stores);
  std::vector<ReplicaId> stores;
  for (const ReplicaId& store : answeringStores(view)) {
    if (releases.of(store) >= release) stores.push_back(store);
  }
  return stores;
}

request::SelectorLimits selectorLimits(const request::LoadFeatures& features) {
  request::SelectorLimits limits;
  limits.learns_pace = features.engine_pace;
  return limits;
}

}  // namespace

GatewayProgram::GatewayProgram(fleet::FleetSettings settings, std::string settings_file,
                               std::unique_ptr<const Dialect> dialect)
    : settings_(std::move(settings)),
      settings_file_(std::move(settings_file)),
      dialect_(std::move(dialect)),
      slow_readers_(std::make_shared<connection::SlowReaders>(context_, byteLimitsOf(settings_))),
      engines_(context_, slow_readers_),
      pending_budget_(kMaxPendingRequests, settings_.memory_mb * kPendingBytesPerMegabyte),
      start_gate_(context_, pending_budget_, drawSeed()),
      selector_(drawSeed(), selectorLimits(settings_.load)),
      gate_(drawSeed()),
      split_(drawSeed()),
      stores_(context_, settings_.store_port, drawSeed()),
      loads_(settings_.name, settings_.zone, engine_keys_,
             [this](const ReplicaId& to, const fleet::LoadReportFrame& report) { return stores_.send(to, report); }),
      rate_limits_(context_, settings_.rate_limits, pending_budget_,
                   [this](const ReplicaId& to, const fleet::CreditQuestionFrame& question) {
                     return stores_.send(to, question);
                   }),
      placement_(context_, settings_.name,
                 [this](const ReplicaId& to, const fleet::FleetMessage& message) { return stores_.send(to, message); }),
      crashes_(settings_.name, connection::wallNow()),
      trials_(context_, stores_),
      streams_(context_,
               [this](const ReplicaId& to, const fleet::FleetMessage& message) { return stores_.send(to, message); }),
      crash_timer_(context_),
      jobs_(*dialect_, stores_, drawSeed()),
      load_timer_(context_),
      stop_(settings_.grace) {}

GatewayProgram::~GatewayProgram() = default;

Status GatewayProgram::start() {
  start_gate_.start(monotonicNow(), settings_.load.ordered_waiting);
  const std::vector<connection::asio::io_context*> contexts = {&context_};
  connection::HttpServerOptions caller_options;
  caller_options.listen = settings_.callers;
  caller_options.largest_body = CallerLimits{}.most_body_bytes;
  caller_options.write_timeout = settings_.grace;
  caller_options.slow_readers = slow_readers_;
  auto serve = [this](const connection::HttpRequest& request, connection::ResponseWriter& writer) {
    return handle(request, writer);
  };
  callers_ = std::make_unique<connection::HttpServer>(context_, contexts, caller_options, serve);
  slow_readers_->start();
  const Status listening = callers_->start();
  if (!isOk(listening)) return listening;
  noteStartStep("listening");

  connection::HttpServerOptions ready_options;
  ready_options.listen = settings_.readiness;
  ready_options.largest_body = fleet::kMaxProbeBody;
  auto serve_readiness = [this](const connection::HttpRequest& request, connection::ResponseWriter& writer) {
    return handleReadiness(request, writer);
  };
  readiness_ = std::make_unique<connection::HttpServer>(context_, contexts, ready_options, serve_readiness);
  const Status readiness_started = readiness_->start();
  if (!isOk(readiness_started)) return readiness_started;

  metrics_ = std::make_unique<fleet::MetricsServer>(context_, settings_,
                                                    [this](metrics::MetricsPage& page) { fillMetrics(page); });
  const Status metrics_started = metrics_->start();
  if (!isOk(metrics_started)) return metrics_started;

  selector_.setChangeHandler([this] { scheduleLoadReport(); });
  stores_.setDigestHandler([this](const fleet::LoadDigestFrame& digest) {
    const Instant now = monotonicNow();
    if (const auto peers = loads_.take(now, digest)) selector_.notePeerLoads(now, *peers);
  });
  stores_.setCrashHandler(
      [this](const ReplicaId& from, const fleet::CrashNotesFrame& notes) { onCrashNotes(from, notes); });
  crashes_.setServingCheck([this](const EngineId& engine) { return selector_.isServing(engine); });
  crashes_.setAnsweringCheck(
      [this](const request::RequestFingerprint& part) { return answering_prompts_.contains(part); });
  crashes_.setNewsHandler([this] { scheduleCrashReport(); });
  loads_.setKind(fleet::LoadKind::kPlaced);
  stores_.setPlacementHandler([this](const fleet::PlacementAnswer& answer) { placement_.take(answer); });
  stores_.setStreamHandler([this](const fleet::StreamAnswerFrame& answer) { streams_.take(answer); });
  stores_.setConnectHandler([this](const ReplicaId& store) { streams_.onConnected(monotonicNow(), store); });
  stores_.setCreditHandler([this](const fleet::CreditAnswerFrame& answer) { rate_limits_.take(answer); });
  fleet::FeedClientOptions feed_options{settings_.name, settings_.control_port, settings_.seeds};
  auto on_view = [this](const fleet::FleetView& view, const fleet::FleetChange& change) { onView(view, change); };
  feed_ = std::make_unique<fleet::FeedClient>(context_, feed_options, *dialect_, on_view, nullptr);
  feed_->start();
  return okStatus();
}

Status GatewayProgram::run() {
  const Status started = start();
  if (!isOk(started)) return started;
  logEvent(LogLevel::kInfo, "gateway_started",
           {{"callers", toString(settings_.callers)}, {"zone", settings_.zone.value}});
  connection::asio::co_spawn(context_, maintenanceLoop(), connection::asio::detached);
  connection::asio::co_spawn(context_, loadLoop(), connection::asio::detached);
  connection::asio::co_spawn(context_, stopOnSignal(), connection::asio::detached);
  connection::asio::co_spawn(context_, reloadOnSignal(), connection::asio::detached);
  context_.run();
  logEvent(LogLevel::kInfo, "gateway_stopped", {{"answered", counters_.answered}, {"refused", counters_.refused}});
  return okStatus();
}

void GatewayProgram::onView(const fleet::FleetView& view, const fleet::FleetChange& change) {
  const Instant now = monotonicNow();
  if (change.directory) {
    linkStores(view);
    streams_.setMixedServices(now, view.mixed_services);
    selector_.setEvacuated(now, view.evacuated.zones);
  }
  if (change.routes) takeRoutes(view.routes);
  start_gate_.recheck();
  if (!change.engines.isEmpty()) {
    engine_keys_.take(change.engines);
    selector_.takeEngines(now, change.engines);
  }
  if (change.isEmpty() || first_view_at_ != Instant{}) return;
  first_view_at_ = now;
  connection::asio::co_spawn(context_, fetchKnownCrashes(), connection::asio::detached);
}

void GatewayProgram::takeRoutes(std::shared_ptr<const RouteTable> routes) {
  routes_ = std::move(routes);
  const CallerLimits& limits = routes_->limits();
  // The margins ensure that a caller within the limits is never cut off by a difference in counting.
  callers_->setBounds(limits.most_header_bytes + 1024, limits.most_body_bytes, limits.header_timeout,
                      limits.idle_timeout + std::chrono::seconds(1));
  selector_.setServices(routes_->services());
}

void GatewayProgram::linkStores(const fleet::FleetView& view) {
  loads_.setStores(view.stores);
  rate_limits_.setOwners(view.store_members);
  std::vector<ReplicaId> wanted = loads_.aggregators();
  const std::vector<ReplicaId> answering = answeringStores(view);
  wanted.insert(wanted.end(), answering.begin(), answering.end());
  stores_.setStores(wanted);
  streams_.setStores(monotonicNow(), storesOfRelease(view, kEngineBuildRelease));
}

bool GatewayProgram::isReady() const {
  return !stop_.hasBegun() && routes_ != nullptr && has_crash_reports_;
}

Awaitable<void> GatewayProgram::handleReadiness(const connection::HttpRequest& request,
                                                connection::ResponseWriter& writer) {
  HttpResponse response = connection::jsonResponse(isReady() ? 200 : 503, "{}");
  if (request.path != dialect_->readinessPath()) response.status = 404;
  co_await writer.send(std::move(response));
}

Awaitable<void> GatewayProgram::maintenanceLoop() {
  while (true) {
    co_await connection::sleepFor(kMaintenanceInterval);
    engines_.closeIdle([this](const EngineId& engine) { return selector_.knows(engine); });
    rate_limits_.expire(monotonicNow());
    crashes_.expire(monotonicNow());
    trials_.expire(monotonicNow());
    streams_.expire(monotonicNow());
    subscribeToCrashes();
  }
}

void GatewayProgram::scheduleLoadReport() {
  if (std::exchange(load_timer_armed_, true)) return;
  load_timer_.expires_after(kLoadReportDelay);
  load_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    load_timer_armed_ = false;
    const Instant now = monotonicNow();
    loads_.report(now, selector_.ownShares(now));
  });
}

Awaitable<void> GatewayProgram::loadLoop() {
  while (true) {
    co_await connection::sleepFor(kLoadInterval);
    suspensions_.look();
    const Instant now = monotonicNow();
    loads_.report(now, selector_.ownShares(now));
    placement_.setPlacer(loads_.current());
    if (crash_reporter_ != loads_.current()) subscribeToCrashes();
    placement_.tick(now);
  }
}

/// Graceful shutdown: reports not ready at once, but still accepts and answers requests while callers notice, closing
/// each connection after its answer; then closes idle connections and waits for running requests to end. Requests that
/// don't end in time get an answer that says so, where none has begun.
Awaitable<void> GatewayProgram::stopOnSignal() {
  co_await connection::awaitStopSignal();
  stop_.begin(monotonicNow());
  logEvent(LogLevel::kInfo, "planned_stop_started",
           {{"requests", callers_->activeRequests()}, {"connections", callers_->openConnections()}});
  callers_->startDraining();
  start_gate_.stop();
  co_await connection::sleepFor(stop_.acceptsUntil() - monotonicNow());
  callers_->stopAccepting();
  logEvent(LogLevel::kInfo, "stop_closes_idle_connections",
           {{"requests", callers_->activeRequests()}, {"connections", callers_->openConnections()}});
  co_await awaitConnectionEnds(stop_.endsRequestsAt());
  rate_limits_.stop();
  stop_.endRequests();
  co_await awaitConnectionEnds(stop_.exitsAt());
  if (callers_->activeRequests() > 0) {
    logEvent(LogLevel::kWarning, "stop_cuts_requests", {{"requests", callers_->activeRequests()}});
  }
  context_.stop();
}

Awaitable<void> GatewayProgram::awaitConnectionEnds(Instant give_up) {
  while (monotonicNow() < give_up && callers_->openConnections() > 0) co_await connection::sleepFor(kStopPollInterval);
}

Awaitable<void> GatewayProgram::reloadOnSignal() {
  while (true) {
    co_await connection::awaitReloadSignal();
    const Result<fleet::FleetSettings> settings =
        fleet::readFleetSettings(settings_file_, fleet::ProcessRole::kGateway);
    if (!isOk(settings)) {
      logEvent(LogLevel::kError, "reload_refused", {{"error", describe(errorOf(settings))}});
      continue;
    }
    feed_->addSeeds(valueOf(settings).seeds);
    logEvent(LogLevel::kInfo, "settings_reloaded", {{"file", settings_file_}});
  }
}

}  // namespace hatchfork::exchange
