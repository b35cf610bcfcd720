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

/// Connection to a process that reports its load to this store.
struct LoadReceiver {
  /// Identity of the connection; a new connection starts with a complete digest.
  const void* connection = nullptr;
  std::function<void(const std::string& frame)> send;
};

/// Sums the in-flight load of the processes that report to this store, exchanges the totals with the aggregators of all
/// zones, and sends the sum to the reporting processes. Every store can act as aggregator; most do not, since no
/// process reports to them. Independent of the leadership of the store group.
///
/// Cost: proportional to the size of reports and totals, not to the number of engines. A digest is encoded once for all
/// receivers and holds a bounded number of changes, so that the bytes per second of a receiver do not grow with the
/// fleet; with more changes, each engine is reported less often. No I/O, no clock. Not thread-safe.
class LoadAggregator {
 public:
  using SendFunction = std::function<void(const ReplicaId& to, const fleet::LoadTotalsFrame& totals)>;

  /// `engines`: the engines of the fleet; must outlive the aggregator, and is kept up to date by the owner.
  LoadAggregator(ReplicaId self, const request::EngineKeys& engines, SendFunction send)
      : self_(std::move(self)), engines_(engines), send_(std::move(send)) {}

  void setStores(const std::vector<fleet::StoreAddress>& stores);
  void take(Instant now, const fleet::LoadReportFrame& report, LoadReceiver from);
  void take(Instant now, const fleet::LoadTotalsFrame& totals);
  /// Sends the totals and digests that are due; to be called many times a second.
  void tick(Instant now);

  /// Returns the load of online requests that were not placed by this store, and the engines that any process avoids.
  std::vector<request::EngineShare> notPlacedHere() const { return not_placed_.totals(); }
  /// The aggregators of all zones, without this store.
  const std::vector<ReplicaId>& peers() const { return peers_; }
  std::size_t receivers() const { return receivers_.size(); }

 private:
  struct Receiver {
    LoadReceiver link;
    Instant last_report_at{};
  };

  void expire(Instant now);
  void sendTotals(Instant now);
  void sendDigest(Instant now);
  std::string frameOf(std::string digest, bool is_whole) const;

  ReplicaId self_;
  const request::EngineKeys& engines_;
  SendFunction send_;
  std::vector<ReplicaId> peers_;
  std::map<std::string, Receiver> receivers_;
  /// Load reported to this store.
  request::LoadTable local_;
  /// Load reported to this store, together with the totals of the other aggregators.
  request::LoadTable all_;
  /// Load in `all_` without batch runs and without the requests that this store placed; engines to avoid are included.
  request::LoadTable not_placed_;
  /// Load of batch runs reported to this store.
  request::LoadTable background_;
  request::LoadDigestWriter digest_;
  Instant next_digest_{};
  Instant next_totals_{};
  /// Time at which the last digest was sent, including empty digests.
  Instant last_digest_at_{};
};

}  // namespace hatchfork::store
