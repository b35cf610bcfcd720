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

/// Client of the control replicas. Follows the leader of each group, and retries on another replica if the connection
/// is lost or the replica is not the leader. A request may be sent more than once: the replicas deduplicate resends.
/// Threading: `call` on the control thread, `callFrom` from a coroutine on any thread.
class ControlClient {
 public:
  using ReplyHandler = std::function<void(control::ControlReply)>;

  ControlClient(asio::io_context& context, std::vector<ControlEndpoint> replicas);
  ~ControlClient();

  void start();
  void stop();
  /// Calls `reply` exactly once. After `timeout` the reply is the error `kUnavailable`, with executed "no" if the
  /// request was never sent and "unknown" otherwise.
  void call(GroupId group, control::ControlRequest request, Duration timeout, ReplyHandler reply);
  Awaitable<control::ControlReply> callFrom(GroupId group, control::ControlRequest request, Duration timeout);
  /// Bytes sent and received on all links: the control traffic of this node.
  std::uint64_t totalBytes() const;

 private:
  struct Call {
    GroupId group = 0;
    nlohmann::json request;
    ReplyHandler reply;
    Instant deadline;
    /// Index of the replica that the request was sent to; `kNoReplica` while the call waits for its next retry.
    std::size_t sent_to = kNoReplica;
    Instant next_retry;
    bool ever_sent = false;
  };
  static constexpr std::size_t kNoReplica = static_cast<std::size_t>(-1);

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
  /// Index of the preferred replica of each group.
  std::map<GroupId, std::size_t> route_;
  std::uint64_t last_number_ = 0;
  bool stopped_ = false;
};

}  // namespace hatchfork::connection
