#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "process/consensus/replicated_group.hpp"
#include "process/control/control_messages.hpp"
#include "process/control/fleet_view.hpp"

/// Frames on the connections to and between control replicas: each frame holds one `WireMessage` in CBOR.
namespace hatchfork::connection {

/// A consensus message between two replicas.
struct PeerFrame {
  static constexpr std::string_view kKind = "p";
  GroupId group = 0;
  ReplicaId from;
  ReplicaId to;
  /// Message of the consensus module, opaque here.
  std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerFrame, group, from, to, body)

/// A gateway announcement.
struct AnnouncementFrame {
  static constexpr std::string_view kKind = "a";
  control::GatewayAnnouncement announcement;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnnouncementFrame, announcement)

/// A request from a gateway; `number` is unique per connection.
struct RequestFrame {
  static constexpr std::string_view kKind = "q";
  std::uint64_t number = 0;
  GroupId group = 0;
  /// `control::ControlRequest`, tagged.
  nlohmann::json request;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestFrame, number, group, request)

/// The reply to the request with the same `number`.
struct ReplyFrame {
  static constexpr std::string_view kKind = "r";
  std::uint64_t number = 0;
  /// `control::ControlReply`, tagged.
  nlohmann::json reply;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplyFrame, number, reply)

using WireMessage = std::variant<PeerFrame, AnnouncementFrame, RequestFrame, ReplyFrame>;

}  // namespace hatchfork::connection
