#include "process/subscription/control_client.hpp"

#include <algorithm>
#include <optional>

#include "common/log.hpp"
#include "connection/awaited.hpp"
#include "process/subscription/wire_messages.hpp"

namespace hatchfork::connection {
namespace {

constexpr Duration kTimerInterval = fromMillis(20);
constexpr Duration kRetryDelay = fromMillis(60);
/// Time without a reply after which the call is sent to another replica.
constexpr Duration kReplicaTimeout = fromMillis(800);

control::ErrorReply unreachable(bool ever_sent) {
  Error error{ErrorKind::kUnavailable, "no control replica answered in time",
              "check that a majority of the control replicas is running and reachable",
              ever_sent ? Executed::kUnknown : Executed::kNo, fromMillis(1000)};
  return control::ErrorReply{std::move(error), ReplicaId()};
}

}  // namespace

ControlClient::ControlClient(asio::io_context& context, std::vector<ControlEndpoint> replicas)
    : context_(context), replicas_(std::move(replicas)) {}

ControlClient::~ControlClient() {
  stop();
}

void ControlClient::start() {
  for (std::size_t replica = 0; replica < replicas_.size(); ++replica) {
    auto link = std::make_shared<ReconnectingLink>(
        context_, replicas_[replica].endpoint, [this, replica](std::string body) { onFrame(replica, body); },
        [this, replica](bool connected) { onState(replica, connected); });
    links_.push_back(link);
    link->start();
  }
  auto loop = [this]() -> Awaitable<void> { co_await timerLoop(); };
  asio::co_spawn(context_, std::move(loop), asio::detached);
}

void ControlClient::stop() {
  stopped_ = true;
  for (const auto& link : links_) link->stop();
}

void ControlClient::call(GroupId group, control::ControlRequest request, Duration timeout, ReplyHandler reply) {
  const std::uint64_t number = ++last_number_;
  Call call;
  call.group = group;
  call.request = taggedToJson(request);
  call.reply = std::move(reply);
  call.deadline = monotonicNow() + timeout;
  Call& stored = calls_.emplace(number, std::move(call)).first->second;
  trySend(number, stored);
}

Awaitable<control::ControlReply> ControlClient::callFrom(GroupId group, control::ControlRequest request,
                                                         Duration timeout) {
  Awaited<control::ControlReply> reply(co_await asio::this_coro::executor);
  auto shared_request = std::make_shared<control::ControlRequest>(std::move(request));
  asio::post(context_, [this, group, timeout, handler = reply.handler(), shared_request] {
    call(group, std::move(*shared_request), timeout, handler);
  });
  co_return co_await reply.wait();
}

std::uint64_t ControlClient::totalBytes() const {
  std::uint64_t total = 0;
  for (const auto& link : links_) total += link->totalBytes();
  return total;
}

std::size_t ControlClient::nextConnected(std::size_t after) const {
  for (std::size_t step = 1; step <= links_.size(); ++step) {
    const std::size_t candidate = (after + step) % links_.size();
    if (links_[candidate]->isConnected()) return candidate;
  }
  return kNoReplica;
}

void ControlClient::trySend(std::uint64_t number, Call& call) {
  std::size_t& preferred = route_[call.group];
  if (!links_[preferred]->isConnected()) {
    const std::size_t other = nextConnected(preferred);
    if (other == kNoReplica) {
      call.sent_to = kNoReplica;
      call.next_retry = monotonicNow() + kRetryDelay;
      return;
    }
    preferred = other;
  }
  const WireMessage message = RequestFrame{number, call.group, call.request};
  call.ever_sent = true;
  call.sent_to = preferred;
  call.next_retry = monotonicNow() + kReplicaTimeout;
  links_[preferred]->send(encodeTagged(message));
}

void ControlClient::redirect(std::uint64_t number, Call& call, const ReplicaId& leader) {
  const std::size_t refused_by = call.sent_to;
  const auto found = std::find_if(replicas_.begin(), replicas_.end(),
                                  [&](const ControlEndpoint& replica) { return replica.replica == leader; });
  if (found != replicas_.end()) {
    const std::size_t index = static_cast<std::size_t>(found - replicas_.begin());
    const bool can_redirect = index != refused_by && links_[index]->isConnected();
    if (can_redirect) {
      route_[call.group] = index;
      trySend(number, call);
      return;
    }
  }
  const std::size_t other = nextConnected(refused_by);
  if (other != kNoReplica) route_[call.group] = other;
  call.sent_to = kNoReplica;
  call.next_retry = monotonicNow() + kRetryDelay;
}

void ControlClient::onFrame(std::size_t replica, const std::string& body) {
  const Result<WireMessage> message = decodeTagged<WireMessage>(body);
  const ReplyFrame* frame = isOk(message) ? std::get_if<ReplyFrame>(&valueOf(message)) : nullptr;
  if (frame == nullptr) {
    logEvent(LogLevel::kWarning, "control_frame_refused", {{"replica", replicas_[replica].replica.value}});
    return;
  }
  const auto found = calls_.find(frame->number);
  // A late reply from a replica that timed out is accepted as well, unless it redirects to another replica.
  if (found == calls_.end()) return;
  Result<control::ControlReply> reply = taggedFromJson<control::ControlReply>(frame->reply);
  if (!isOk(reply)) {
    finish(frame->number, control::ErrorReply{errorOf(reply), ReplicaId()});
    return;
  }
  const auto* error = std::get_if<control::ErrorReply>(&valueOf(reply));
  if (error != nullptr && error->error.kind == ErrorKind::kNotLeader) {
    if (found->second.sent_to == replica) redirect(frame->number, found->second, error->leader);
    return;
  }
  const bool retry = error != nullptr && error->error.kind == ErrorKind::kOutcomeUnknown;
  if (retry) {
    found->second.sent_to = kNoReplica;
    found->second.next_retry = monotonicNow() + kRetryDelay;
    return;
  }
  finish(frame->number, std::move(valueOf(reply)));
}

void ControlClient::onState(std::size_t replica, bool connected) {
  if (connected || stopped_) return;
  for (auto& [number, call] : calls_) {
    if (call.sent_to != replica) continue;
    call.sent_to = kNoReplica;
    call.next_retry = monotonicNow();
  }
}

void ControlClient::finish(std::uint64_t number, control::ControlReply reply) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) return;
  ReplyHandler handler = std::move(found->second.reply);
  calls_.erase(found);
  handler(std::move(reply));
}

Awaitable<void> ControlClient::timerLoop() {
  while (!stopped_) {
    co_await sleepFor(kTimerInterval);
    const Instant now = monotonicNow();
    std::vector<std::uint64_t> expired;
    for (auto& [number, call] : calls_) {
      if (call.deadline <= now) {
        expired.push_back(number);
        continue;
      }
      if (call.next_retry > now) continue;
      const bool silent = call.sent_to != kNoReplica && route_[call.group] == call.sent_to;
      const std::size_t other = silent ? nextConnected(call.sent_to) : kNoReplica;
      if (other != kNoReplica) route_[call.group] = other;
      trySend(number, call);
    }
    for (const std::uint64_t number : expired) finish(number, unreachable(calls_.at(number).ever_sent));
  }
}

}  // namespace hatchfork::connection
