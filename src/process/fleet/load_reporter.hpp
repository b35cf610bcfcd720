#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "request/exchange/load_digest.hpp"

namespace hatchfork::fleet {

/// Stores that aggregate loads for the processes of a zone, the preferred one first: the two highest addresses of the
/// zone, so that every process and every aggregator names the same ones without talking. The leader of the stores is as
/// often another one as there are stores in the zone.
std::vector<ReplicaId> aggregatorsOf(const std::vector<StoreAddress>& stores, const ZoneId& zone);

/// Tells one aggregator what this process has in flight at engines, and takes what all others have. Turns to the next
/// aggregator where one is out of reach or silent: those of the own zone first, then those of the next zone. No I/O, no
/// clock. Belongs to one thread.
class LoadReporter {
 public:
  /// Sends a report to a store; false if there is no connection.
  using SendFunction = std::function<bool(const ReplicaId& to, const LoadReportFrame& report)>;

  /// `engines`: those of the fleet, kept up to date by the owner of both.
  LoadReporter(std::string node, ZoneId zone, const request::EngineKeys& engines, SendFunction send)
      : node_(std::move(node)), zone_(std::move(zone)), engines_(engines), send_(std::move(send)) {}

  void setStores(const std::vector<StoreAddress>& stores);
  /// The stores that it may turn to, the preferred one first: few, so that few links are kept.
  const std::vector<ReplicaId>& aggregators() const { return aggregators_; }
  /// The aggregator in use; empty before the first report went out.
  const ReplicaId& current() const { return current_; }
  /// What reports tell of from now on.
  void setKind(LoadKind kind) { kind_ = kind; }
  /// Reports at once what differs from the last report, and every so often what does not. Call many times a second.
  void report(Instant now, std::vector<request::EngineShare> shares);
  /// What all other processes have in flight; nothing from a store that is not the aggregator in use.
  std::optional<std::vector<request::EngineShare>> take(Instant now, const LoadDigestFrame& digest);

 private:
  bool isAvoided(Instant now, const ReplicaId& store) const;
  /// Gives up an aggregator that has said nothing for long.
  void leaveSilent(Instant now);
  void sendTo(Instant now, std::vector<request::EngineShare> shares);

  std::string node_;
  ZoneId zone_;
  const request::EngineKeys& engines_;
  SendFunction send_;
  /// In the order of preference.
  std::vector<ReplicaId> aggregators_;
  std::map<ReplicaId, Instant> avoided_until_;
  LoadKind kind_ = LoadKind::kChosen;
  ReplicaId current_;
  /// When it was last heard, or was turned to.
  Instant heard_at_{};
  Instant reported_at_{};
  /// The last report that went out.
  std::vector<request::EngineShare> reported_;
  request::LoadDigestReader others_;
};

}  // namespace hatchfork::fleet
