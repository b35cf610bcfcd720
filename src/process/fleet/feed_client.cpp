#include "process/fleet/feed_client.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <functional>

#include "common/log.hpp"
#include "common/start_timeline.hpp"

namespace hatchfork::fleet {

using connection::Awaitable;
using connection::FrameConnection;
using connection::monotonicNow;

namespace {

/// A machine that just comes up may have swallowed the first packet: the first tries are given up soon.
constexpr Duration kFirstConnectTimeout = fromMillis(20);
constexpr Duration kConnectTimeout = fromMillis(300);
/// Without a proof for this long the control process is given up.
constexpr Duration kSilenceLimit = fromMillis(800);
constexpr Duration kPollInterval = fromMillis(300);
/// Between two rounds in which no control process could be reached or proved its state; twice as much after each.
constexpr Duration kFirstPauseBetweenRounds = fromMillis(5);
constexpr Duration kPauseBetweenRounds = fromMillis(100);
/// A proof may be as old as its lifetime at the control process when it arrives, so together this is less than the time
/// for which a new build is not used for streams.
constexpr Duration kBuildsCurrentFor = fromMillis(1000);
constexpr Duration kPresenceInterval = fromMillis(400);

}  // namespace

FeedClient::FeedClient(connection::asio::io_context& context, FeedClientOptions options, const Dialect& dialect,
                       ViewHandler on_view, PresenceSource presence)
    : context_(context),
      options_(std::move(options)),
      dialect_(dialect),
      on_view_(std::move(on_view)),
      presence_(std::move(presence)),
      controls_(options_.seeds.begin(), options_.seeds.end()),
      connect_patience_(kFirstConnectTimeout),
      round_pause_(kFirstPauseBetweenRounds),
      turn_(std::hash<std::string>{}(options_.node)) {}

void FeedClient::start() {
  connection::asio::co_spawn(context_, run(), connection::asio::detached);
}

void FeedClient::addSeeds(const std::vector<ReplicaId>& seeds) {
  controls_.insert(seeds.begin(), seeds.end());
}

Awaitable<void> FeedClient::run() {
  while (true) {
    const std::vector<ReplicaId> controls(controls_.begin(), controls_.end());
    const ReplicaId control = controls[turn_++ % controls.size()];
    co_await subscribeAt(control);
    if (turn_ % controls.size() != 0) continue;
    co_await connection::sleepFor(round_pause_);
    round_pause_ = std::min(2 * round_pause_, kPauseBetweenRounds);
    connect_patience_ = std::min(2 * connect_patience_, kConnectTimeout);
  }
}

Awaitable<std::shared_ptr<FrameConnection>> FeedClient::connect(const ReplicaId& control) {
  auto socket = std::make_shared<connection::tcp::socket>(context_);
  connection::Timer timeout(context_);
  timeout.expires_after(connect_patience_);
  timeout.async_wait([socket](boost::system::error_code error) {
    boost::system::error_code ignored;
    if (!error) socket->close(ignored);
  });
  boost::system::error_code error;
  const connection::tcp::endpoint target(connection::asio::ip::make_address(control.value, error),
                                         options_.control_port);
  if (!error) {
    co_await socket->async_connect(target, connection::asio::redirect_error(connection::asio::use_awaitable, error));
  }
  timeout.cancel();
  if (error || !socket->is_open()) co_return nullptr;
  co_return std::make_shared<FrameConnection>(
      std::move(*socket), [this](const std::string& body) { onFrame(body); }, nullptr);
}

Awaitable<void> FeedClient::subscribeAt(ReplicaId control) {
  std::shared_ptr<FrameConnection> link = co_await connect(control);
  if (!link) co_return;
  noteStartStep("feed_linked");
  link->start();
  link->send(subscription());
  const Instant began = monotonicNow();
  Instant presence_due = began + kPresenceInterval;
  bool proved = false;
  while (link->isOpen()) {
    co_await connection::sleepFor(kPollInterval);
    const Instant now = monotonicNow();
    const Instant last = std::max(proved_at_, began);
    if (!proved && proved_at_ >= began) {
      proved = true;
      logEvent(LogLevel::kInfo, "feed_joined",
               {{"control", control.value}, {"after_ms", toMillis(proved_at_ - began)}});
    }
    if (now > last + kSilenceLimit) break;
    if (presence_ && now >= presence_due) {
      presence_due = now + kPresenceInterval;
      link->send(subscription());
    }
  }
  const bool was_open = link->isOpen();
  link->close();
  if (proved) {
    logEvent(LogLevel::kWarning, "feed_lost",
             {{"control", control.value},
              {"cause", was_open ? "silent" : "closed"},
              {"proof_age_ms", toMillis(monotonicNow() - proved_at_)}});
  }
}

bool FeedClient::hasCurrentBuilds(Instant now) const {
  return proved_at_ != Instant::min() && now < proved_at_ + kBuildsCurrentFor;
}

std::string FeedClient::subscription() const {
  SubscribeFrame frame;
  frame.node = options_.node;
  frame.document_version = view_.routes ? view_.routes->version() : 0;
  frame.engines_revision = view_.engines_revision;
  if (presence_) frame.store = presence_();
  return encodeTagged(FleetMessage(std::move(frame)));
}

void FeedClient::onFrame(const std::string& body) {
  Result<std::optional<FleetMessage>> message = frames_.read(body);
  if (!isOk(message)) {
    logEvent(LogLevel::kWarning, "frame_refused", {{"cause", describe(errorOf(message))}});
    return;
  }
  if (!valueOf(message)) return;
  if (auto* update = std::get_if<UpdateFrame>(&*valueOf(message))) take(*update);
}

void FeedClient::take(UpdateFrame& frame) {
  const std::uint64_t held = view_.routes ? view_.routes->version() : 0;
  // An older state than the one held can only come from a process that lost its proof: it proves nothing.
  if (frame.document_version < held || frame.engines_revision < view_.engines_revision) return;
  FleetChange change;
  if (frame.document && frame.document_version > held) {
    if (!takeDocument(frame.document_version, *frame.document)) return;
    change.routes = true;
  }
  // Engines without a new revision have changed in nothing but their build.
  if (!frame.engines.empty()) {
    if (!readEngines(frame, change.engines)) return;
    view_.engines_revision = frame.engines_revision;
  }
  if (frame.directory) {
    takeDirectory(std::move(*frame.directory));
    change.directory = true;
  }
  proved_at_ = monotonicNow();
  round_pause_ = kFirstPauseBetweenRounds;
  connect_patience_ = kFirstConnectTimeout;
  noteStartStep("feed_joined");
  on_view_(view_, change);
}

bool FeedClient::takeDocument(std::uint64_t version, const std::string& document) {
  Result<std::shared_ptr<const RouteTable>> parsed = dialect_.parseRoutes(document);
  if (!isOk(parsed)) {
    logEvent(LogLevel::kError, "document_unreadable", {{"version", version}, {"error", describe(errorOf(parsed))}});
    return false;
  }
  const std::uint64_t before = view_.routes ? view_.routes->version() : 0;
  view_.routes = std::move(valueOf(parsed));
  noteStartStep("routes_in_force");
  logEvent(LogLevel::kInfo, "routes_in_force", {{"version", view_.routes->version()}, {"before", before}});
  return true;
}

bool FeedClient::readEngines(const UpdateFrame& frame, EngineChanges& engines) const {
  for (const std::string& bytes : frame.engines) {
    Result<EngineChanges> changes = decodeStruct<EngineChanges>(bytes);
    if (!isOk(changes)) {
      logEvent(LogLevel::kError, "engines_unreadable",
               {{"revision", frame.engines_revision}, {"error", describe(errorOf(changes))}});
      return false;
    }
    engines.append(std::move(valueOf(changes)));
  }
  return true;
}

void FeedClient::takeDirectory(DirectoryUpdate update) {
  controls_.insert(update.controls.begin(), update.controls.end());
  // A control process that has just started knows of no store yet: the last list stands.
  if (!update.stores.empty()) view_.stores = std::move(update.stores);
  view_.retiring = std::move(update.retiring);
  view_.store_group = std::move(update.store_group);
  // As above: a control process that has just started has heard of no leader yet.
  if (!update.store_members.empty()) view_.store_members = std::move(update.store_members);
  if (update.tells_builds) takeMixedServices(update.mixed_services);
  takeEvacuated(std::move(update.evacuated));
}

void FeedClient::takeMixedServices(const std::vector<ServiceId>& services) {
  std::set<ServiceId> mixed(services.begin(), services.end());
  if (mixed == view_.mixed_services) return;
  view_.mixed_services = std::move(mixed);
  std::vector<std::string_view> names;
  for (const ServiceId& service : view_.mixed_services) names.push_back(service.value);
  logEvent(LogLevel::kInfo, "mixed_services_changed", {{"services", fmt::format("{}", fmt::join(names, ","))}});
}

/// The next control process may lag a little behind the one before.
void FeedClient::takeEvacuated(EvacuatedZones evacuated) {
  if (evacuated.revision <= view_.evacuated.revision) return;
  view_.evacuated = std::move(evacuated);
  std::vector<std::string_view> names;
  for (const ZoneId& zone : view_.evacuated.zones) names.push_back(zone.value);
  logEvent(LogLevel::kInfo, "evacuated_zones_changed",
           {{"revision", view_.evacuated.revision}, {"zones", fmt::format("{}", fmt::join(names, ","))}});
}

PeerReleases releasesOf(const std::vector<StoreAddress>& stores) {
  PeerReleases releases;
  for (const StoreAddress& store : stores) releases.note(store.address, store.release);
  return releases;
}

ReleaseNumber leastReleaseOf(const std::vector<StoreAddress>& stores) {
  return std::min(kThisRelease, releasesOf(stores).lowestOf(addressesOf(stores)));
}

std::vector<ReplicaId> addressesOf(const std::vector<StoreAddress>& stores) {
  std::vector<ReplicaId> addresses;
  for (const StoreAddress& store : stores) addresses.push_back(store.address);
  return addresses;
}

}  // namespace hatchfork::fleet
