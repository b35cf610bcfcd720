#pragma once

#include <functional>
#include <map>
#include <memory>

#include "connection/frame_connection.hpp"
#include "process/fleet/fleet_messages.hpp"

namespace hatchfork::fleet {

/// Links to the other processes of one role, made when first used and dropped when unused for long. Frames to a
/// process that can't be reached are dropped: senders repeat by their own timers. Belongs to one thread.
class PeerLinks {
 public:
  PeerLinks(connection::asio::io_context& context, std::uint16_t port) : context_(context), port_(port) {}
  /// Called with frames that a peer sends back on a link from here.
  void setFrameHandler(std::function<void(const std::string& body)> on_frame) { on_frame_ = std::move(on_frame); }
  ~PeerLinks();

  /// False if there is no connection now, so that the frame was surely not sent.
  bool send(const ReplicaId& to, const FleetMessage& message);
  /// A frame came from the peer: a link to it that waits for its next try connects at once.
  void noteUp(const ReplicaId& peer);
  /// Ends links that carried nothing for a while.
  void dropUnused(Instant now);

 private:
  struct Link {
    std::shared_ptr<connection::ReconnectingLink> link;
    Instant used_at{};
  };

  connection::asio::io_context& context_;
  std::uint16_t port_;
  std::function<void(const std::string& body)> on_frame_;
  std::map<ReplicaId, Link> links_;
};

}  // namespace hatchfork::fleet
