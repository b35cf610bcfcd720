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

bool PeerLinks::send(const ReplicaId& to, const FleetMessage& message) {
  Link& entry = links_[to];
  entry.used_at = connection::monotonicNow();
  if (!entry.link) {
    auto on_state = [to](bool connected) {
      if (connected) noteStartStep("peer_linked");
      logEvent(LogLevel::kInfo, connected ? "peer_connected" : "peer_lost", {{"peer", to.value}});
    };
    auto on_frame = [this](const std::string& body) {
      if (on_frame_) on_frame_(body);
    };
    entry.link = std::make_shared<connection::ReconnectingLink>(context_, connection::Endpoint{to.value, port_},
                                                                on_frame, on_state);
    entry.link->start();
  }
  std::string bytes = encodeTagged(message);
  if (!std::holds_alternative<GroupFrame>(message)) return entry.link->isConnected() && entry.link->send(bytes);
  // A vote that is asked for while the processes start must not wait for the next election.
  entry.link->sendSoon(std::move(bytes));
  return true;
}

void PeerLinks::noteUp(const ReplicaId& peer) {
  const auto found = links_.find(peer);
  if (found != links_.end()) found->second.link->retryNow();
}

void PeerLinks::dropUnused(Instant now) {
  std::erase_if(links_, [now](const auto& entry) {
    const bool unused = now > entry.second.used_at + kUnusedLifetime;
    if (unused) entry.second.link->stop();
    return unused;
  });
}

}  // namespace hatchfork::fleet
