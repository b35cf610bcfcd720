#include "process/fleet/peer_links.hpp"

#include "common/log.hpp"
#include "common/start_timeline.hpp"

namespace hatchfork::fleet {
namespace {

constexpr Duration kUnusedLifetime = std::chrono::seconds(15);

}  // namespace

PeerLinks::~PeerLinks() {
  for (const auto& [peer, entry] : links_) entry.link->stop();
}

connection::ReconnectingLink& PeerLinks::linkTo(const ReplicaId& to, Lane lane) {
  Link& entry = links_[{to, lane}];
  entry.used_at = connection::monotonicNow();
  if (entry.link) return *entry.link;
  auto on_state = [to, lane](bool connected) {
    if (connected) noteStartStep("peer_linked");
    logEvent(LogLevel::kInfo, connected ? "peer_connected" : "peer_lost",
             {{"peer", to.value}, {"lane", lane == Lane::kUrgent ? "urgent" : "bulk"}});
  };
  auto on_frame = [this](const std::string& body) {
    if (on_frame_) on_frame_(body);
  };
  entry.link = std::make_shared<connection::ReconnectingLink>(context_, connection::Endpoint{to.value, port_}, on_frame,
                                                              on_state);
  entry.link->start();
  return *entry.link;
}

bool PeerLinks::send(const ReplicaId& to, const FleetMessage& message, Lane lane) {
  connection::ReconnectingLink& link = linkTo(to, lane);
  std::string bytes = encodeTagged(message);
  if (!std::holds_alternative<GroupFrame>(message)) return link.isConnected() && link.send(bytes);
  // A vote that is asked for while the processes start must not wait for the next election.
  link.sendSoon(std::move(bytes));
  return true;
}

void PeerLinks::noteUp(const ReplicaId& peer) {
  for (const Lane lane : {Lane::kBulk, Lane::kUrgent}) {
    const auto found = links_.find({peer, lane});
    if (found != links_.end()) found->second.link->retryNow();
  }
}

void PeerLinks::dropUnused(Instant now) {
  std::erase_if(links_, [now](const auto& entry) {
    const bool unused = now > entry.second.used_at + kUnusedLifetime;
    if (unused) entry.second.link->stop();
    return unused;
  });
}

}  // namespace hatchfork::fleet
