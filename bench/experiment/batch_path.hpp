#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bench/experiment/fleet_context.hpp"
#include "bench/experiment/online_path.hpp"
#include "bench/experiment/stream_delivery.hpp"
#include "request/batch/lease_demand.hpp"
#include "request/batch/lease_pacer.hpp"

namespace hatchfork::experiment {

/// The batch side of a virtual gateway: what `gateway::BatchRunner` does, on virtual time, with the same decisions.
class BatchPath {
 public:
  BatchPath(FleetContext& context, GatewayId self, ZoneId zone, DecisionsList& decisions, StreamReceiver& receiver);

  /// Call every `kBatchLoopInterval`.
  void step(bool lease_in_force);
  void receive(const StreamDelivery& delivery);
  /// Ends these attempts at once; their items keep their tokens and go on later.
  void pause(std::size_t service, const std::vector<request::AttemptId>& attempts);

  std::uint64_t pauses() const { return pauses_; }
  std::size_t running() const { return running_.size(); }

 private:
  struct Item {
    std::size_t service = 0;
    LeasedItem leased;
    std::uint32_t tokens = 0;
    Instant not_before{};
    std::optional<request::PausedPlacement> paused;
    request::AttemptId attempt = 0;
    request::RoutedAttempt routed;
    Instant heard_at{};
  };
  using ItemPtr = std::shared_ptr<Item>;
  struct ServiceLeases {
    std::deque<ItemPtr> ready;
    std::size_t held = 0;
    Instant lease_until{};
    request::LeasePacer pacer;
  };

  std::uint32_t wantedItems(std::size_t service) const;
  void requestLeases(std::size_t service, std::uint32_t most);
  void takeLeases(std::size_t service, Instant sent_at, const std::vector<LeasedItem>& leased);
  void dropService(std::size_t service);
  void dispatchReady(std::size_t service);
  void run(const ItemPtr& item, const EngineId& engine);
  void passToken(Item& item, const StreamDelivery& delivery);
  void endAttempt(const ItemPtr& item, request::AttemptResult result);
  void failAttempt(const ItemPtr& item);

  FleetContext& context_;
  GatewayId self_;
  ZoneId zone_;
  DecisionsList& decisions_;
  StreamReceiver& receiver_;
  std::vector<ServiceLeases> services_;
  std::unordered_map<request::AttemptId, ItemPtr> running_;
  std::uint64_t pauses_ = 0;
  bool lease_in_force_ = true;
};

}  // namespace hatchfork::experiment
