#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "connection/asio.hpp"
#include "connection/frame_connection.hpp"
#include "process/control/control_messages.hpp"

namespace hatchfork::connection {

/// A control replica as named in the settings.
struct ControlEndpoint {
  ReplicaId replica;
  Endpoint endpoint;
};

/// Calls control replicas: follows the leader of each group, and asks again elsewhere when a replica is lost or does
/// not lead. Every request may be sent more than once: the replicas recognise resends. Threading: `call` on the control
/// thread, `callFrom` from a coroutine on any thread.
class ControlClient {
 public:
  using ReplyHandler = std::function<void(control::ControlReply)>;

  ControlClient(asio::io_context& context, std::vector<ControlEndpoint> replicas);
  ~ControlClient();

  void start();
  void stop();
  /// Answers exactly once. After `timeout`: `kUnavailable`, executed "no" if the request was never sent, else
  /// "unknown".
  void call(GroupId group, control::ControlRequest request, Duration timeout, ReplyHandler reply);
  Awaitable<control::ControlReply> callFrom(GroupId group, control::ControlRequest request, Duration timeout);
  /// Bytes both ways on all links: the cost of control for this node.
  std::uint64_t totalBytes() const;

 private:
  struct Call {
    GroupId group = 0;
    nlohmann::json request;
    ReplyHandler reply;
    Instant deadline;
    /// Replica the call waits for; nothing while it waits for its next try.
    std::size_t sent_to = kNowhere;
    Instant next_try;
    bool ever_sent = false;
  };
  static constexpr std::size_t kNowhere = static_cast<std::size_t>(-1);

  struct Route {
    std::size_t replica = 0;
    Instant asked_at{};
  };

  void onFrame(std::size_t replica, const std::string& body);
  void onState(std::size_t replica, bool connected);
  void trySend(std::uint64_t number, Call& call);
  void finish(std::uint64_t number, control::ControlReply reply);
  void redirect(std::uint64_t number, Call& call, const ReplicaId& leader);
  std::size_t nextConnected(std::size_t after) const;
  Awaitable<void> timerLoop();

  asio::io_context& context_;
  std::vector<ControlEndpoint> replicas_;
  std::vector<std::shared_ptr<ReconnectingLink>> links_;
  std::map<std::uint64_t, Call> calls_;
  /// Where each group's requests go first.
  std::map<GroupId, std::size_t> route_;
  std::uint64_t last_number_ = 0;
  bool stopped_ = false;
};

}  // namespace hatchfork::connection
