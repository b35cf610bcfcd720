#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "request/exchange/load_digest.hpp"
#include "request/exchange/load_table.hpp"

namespace hatchfork::store {

/// How a process that reports here is reached.
struct LoadReceiver {
  /// Identity of the connection: another one has heard nothing yet.
  const void* connection = nullptr;
  std::function<void(const std::string& frame)> send;
};

/// Adds up what the processes that report to this store have in flight, exchanges the totals with the aggregators of
/// all zones, and tells the sum to those that report here. Every store can be one; most are not, since nobody reports
/// to them. Independent of who leads the stores.
///
/// Cost: reports and totals cost their own size, not what engines there are; a digest is encoded once for all receivers
/// and holds what has changed, up to a most, so that a receiver's bytes a second do not grow with the fleet: where more
/// changes, each engine is told less often. No I/O, no clock. Belongs to one thread.
class LoadAggregator {
 public:
  using SendFunction = std::function<void(const ReplicaId& to, const fleet::LoadTotalsFrame& totals)>;

  /// `engines`: those of the fleet, kept up to date by the owner of both.
  LoadAggregator(ReplicaId self, const request::EngineKeys& engines, SendFunction send)
      : self_(std::move(self)), engines_(engines), send_(std::move(send)) {}

  void setStores(const std::vector<fleet::StoreAddress>& stores);
  void take(Instant now, const fleet::LoadReportFrame& report, LoadReceiver from);
  void take(Instant now, const fleet::LoadTotalsFrame& totals);
  /// Sends what is due; call many times a second.
  void tick(Instant now);

  /// Online requests that were not placed by this store, and which engines any process avoids.
  std::vector<request::EngineShare> notPlacedHere() const { return not_placed_.totals(); }
  /// The aggregators of all zones, this store left out.
  const std::vector<ReplicaId>& peers() const { return peers_; }
  std::size_t receivers() const { return receivers_.size(); }

 private:
  struct Receiver {
    LoadReceiver link;
    Instant heard_at{};
  };

  void expire(Instant now);
  void sendTotals(Instant now);
  void sendDigest(Instant now);
  std::string frameOf(std::string digest, bool is_whole) const;

  ReplicaId self_;
  const request::EngineKeys& engines_;
  SendFunction send_;
  /// The aggregators of all zones, this store left out.
  std::vector<ReplicaId> peers_;
  std::map<std::string, Receiver> receivers_;
  /// What is reported here, and the same together with the totals of the other aggregators.
  request::LoadTable local_;
  request::LoadTable all_;
  request::LoadTable not_placed_;
  /// Of what is reported here, the batch runs.
  request::LoadTable background_;
  request::LoadDigestWriter digest_;
  Instant next_digest_{};
  Instant next_totals_{};
  /// When the last digest went out, an empty one included.
  Instant told_at_{};
};

}  // namespace hatchfork::store
