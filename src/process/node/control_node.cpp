#include "process/node/control_node.hpp"

#include <random>

#include "common/log.hpp"
#include "connection/stop_signal.hpp"
#include "version/policy/policy_check.hpp"

namespace hatchfork::node {

using connection::monotonicNow;
using connection::WireMessage;

namespace {

constexpr Duration kTickInterval = fromMillis(10);
constexpr Duration kAnnouncementInterval = fromMillis(1000);
constexpr Duration kLeadershipHandOverTime = fromMillis(2000);

}  // namespace

ControlNode::ControlNode(ControlSettings settings) : settings_(std::move(settings)), http_client_(context_) {}

ControlNode::~ControlNode() {
  for (const auto& [replica, link] : peers_) link->stop();
}

Status ControlNode::start() {
  // Syncs end on the disk's thread; what they release must be sent on at once.
  auto post = [this](std::function<void()> work) {
    connection::asio::post(context_, [this, work = std::move(work)] {
      work();
      flush();
    });
  };
  disk_ = std::make_unique<PosixDisk>(settings_.data_folder, post);
  control::ControlServiceOptions options;
  options.self = settings_.name;
  for (const auto& replica : settings_.replicas) options.initial_members.push_back(replica.replica);
  options.batch_groups = settings_.batch_groups;
  options.configuration_lease = settings_.configuration_lease;
  options.item_lease = settings_.item_lease;
  options.timing.election_timeout = settings_.election_timeout;
  options.timing.heartbeat_interval = settings_.heartbeat_interval;
  options.random_seed = std::random_device()();
  options.check_policy = checkPolicy;
  auto opened = control::ControlService::open(options, *disk_, monotonicNow());
  if (!isOk(opened)) return errorOf(opened);
  service_ = std::move(valueOf(opened));

  auto on_frame = [this](const std::string& body, const ConnectionPtr& from) { onFrame(body, from); };
  peer_server_ = std::make_unique<connection::FrameServer>(context_, settings_.listen(), on_frame);
  const Status listening = peer_server_->start();
  if (!isOk(listening)) return listening;

  admin_ = std::make_unique<AdminApi>(settings_, *service_, [this] { flush(); });
  connection::HttpServerOptions http_options;
  http_options.listen = settings_.admin;
  auto handler = [this](const connection::HttpRequest& request, connection::ResponseWriter& writer) {
    return admin_->handle(request, writer);
  };
  admin_server_ = std::make_unique<connection::HttpServer>(
      context_, std::vector<connection::asio::io_context*>{&context_}, http_options, handler);
  const Status admin_listening = admin_server_->start();
  if (!isOk(admin_listening)) return admin_listening;

  if (settings_.platform.port != 0) {
    platform_poller_ = std::make_unique<PlatformPoller>(
        http_client_, settings_.platform,
        [this](std::vector<EngineId> leaving) { service_->setLeavingEngines(std::move(leaving)); });
    connection::asio::co_spawn(context_, platform_poller_->run(), connection::asio::detached);
  }
  for (const auto& replica : settings_.replicas) {
    if (replica.replica == settings_.name) continue;
    auto link = std::make_shared<connection::ReconnectingLink>(
        context_, replica.endpoint, [](const std::string&) {}, [](bool) {});
    peers_.emplace(replica.replica, link);
    link->start();
  }
  return okStatus();
}

Status ControlNode::run() {
  const Status started = start();
  if (!isOk(started)) return started;
  logEvent(LogLevel::kInfo, "control_started",
           {{"peers", toString(settings_.listen())}, {"admin", toString(settings_.admin)}});
  connection::asio::co_spawn(context_, tickLoop(), connection::asio::detached);
  connection::asio::co_spawn(context_, stopOnSignal(), connection::asio::detached);
  context_.run();
  logEvent(LogLevel::kInfo, "control_stopped");
  return okStatus();
}

void ControlNode::onFrame(const std::string& body, const ConnectionPtr& from) {
  Result<WireMessage> message = decodeTagged<WireMessage>(body);
  if (isOk(message)) {
    onMessage(std::move(valueOf(message)), from);
    return;
  }
  logEvent(LogLevel::kWarning, "frame_refused", {{"cause", describe(errorOf(message))}});
  from->close();
}

void ControlNode::onMessage(WireMessage message, const ConnectionPtr& from) {
  const Instant now = monotonicNow();
  if (auto* peer = std::get_if<connection::PeerFrame>(&message)) {
    service_->receivePeer(now, consensus::PeerMessage{peer->group, peer->from, peer->to, std::move(peer->body)});
  } else if (const auto* announcement = std::get_if<connection::AnnouncementFrame>(&message)) {
    service_->receiveAnnouncement(now, announcement->announcement);
  } else if (const auto* request = std::get_if<connection::RequestFrame>(&message)) {
    answer(*request, from);
  }
  flush();
}

void ControlNode::answer(const connection::RequestFrame& frame, const ConnectionPtr& from) {
  auto reply = [from, number = frame.number](const control::ControlReply& body) {
    const WireMessage message = connection::ReplyFrame{number, taggedToJson(body)};
    from->send(encodeTagged(message));
  };
  Result<control::ControlRequest> request = taggedFromJson<control::ControlRequest>(frame.request);
  if (!isOk(request)) {
    reply(control::ErrorReply{errorOf(request), ReplicaId()});
    return;
  }
  service_->handle(monotonicNow(), frame.group, std::move(valueOf(request)), reply);
}

void ControlNode::flush() {
  for (consensus::PeerMessage& message : service_->drain(monotonicNow())) {
    const auto link = peers_.find(message.to);
    if (link == peers_.end()) continue;
    const WireMessage frame =
        connection::PeerFrame{message.group, std::move(message.from), std::move(message.to), std::move(message.body)};
    link->second->send(encodeTagged(frame));
  }
}

void ControlNode::announce() {
  const WireMessage frame = connection::AnnouncementFrame{service_->announcement()};
  const std::string bytes = encodeTagged(frame);
  for (const auto& [replica, link] : peers_) link->send(bytes);
}

connection::Awaitable<void> ControlNode::tickLoop() {
  while (true) {
    const Instant now = monotonicNow();
    service_->tick(now);
    if (now >= next_announcement_) {
      next_announcement_ = now + kAnnouncementInterval;
      announce();
    }
    flush();
    co_await connection::sleepFor(kTickInterval);
  }
}

connection::Awaitable<void> ControlNode::stopOnSignal() {
  co_await connection::awaitStopSignal();
  logEvent(LogLevel::kInfo, "planned_stop_started");
  admin_->setNotReady();
  admin_server_->startDraining();
  service_->transferLeadership(monotonicNow());
  const Instant give_up = monotonicNow() + kLeadershipHandOverTime;
  while (service_->leadsAny(monotonicNow()) && monotonicNow() < give_up) co_await connection::sleepFor(kTickInterval);
  co_await connection::sleepFor(settings_.linger);
  admin_server_->stopAccepting();
  while (admin_server_->openConnections() > 0 && monotonicNow() < give_up + settings_.linger) {
    co_await connection::sleepFor(kTickInterval);
  }
  context_.stop();
}

}  // namespace hatchfork::node
