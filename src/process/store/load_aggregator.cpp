#include "process/store/load_aggregator.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "common/log.hpp"
#include "process/fleet/load_reporter.hpp"

namespace hatchfork::store {
namespace {

/// Minimum interval between digests; less than the 50 ms between ticks of the store, so that each tick sends a digest.
constexpr Duration kDigestInterval = fromMillis(40);
/// Interval between totals, which cross zones and go to each aggregator.
constexpr Duration kTotalsInterval = fromMillis(90);
/// Interval of digests without changes, which serve as heartbeats.
constexpr Duration kEmptyDigestInterval = fromMillis(400);
/// Maximum number of entries in a digest, which limits the traffic to a receiver to 6 KB per second.
constexpr std::size_t kMaxDigestEntries = 43;
/// A process that has not reported for this long receives no more digests.
constexpr Duration kReceiverLifetime = std::chrono::seconds(2);

}  // namespace

void LoadAggregator::setStores(const std::vector<fleet::StoreAddress>& stores) {
  std::set<ZoneId> zones;
  for (const fleet::StoreAddress& store : stores) zones.insert(store.zone);
  peers_.clear();
  for (const ZoneId& zone : zones) {
    for (const ReplicaId& store : fleet::aggregatorsOf(stores, zone)) {
      if (store != self_) peers_.push_back(store);
    }
  }
}

void LoadAggregator::take(Instant now, const fleet::LoadReportFrame& report, LoadReceiver from) {
  local_.report(now, report.node, report.shares);
  all_.report(now, report.node, report.shares);
  std::vector<request::EngineShare> shares = report.shares;
  if (report.kind != fleet::LoadKind::kChosen) {
    for (request::EngineShare& share : shares) share = request::EngineShare{share.engine, 0, 0, share.avoid_ms};
  }
  not_placed_.report(now, report.node, std::move(shares));
  if (report.kind == fleet::LoadKind::kBackground) background_.report(now, report.node, report.shares);
  Receiver& receiver = receivers_[report.node];
  receiver.last_report_at = now;
  if (receiver.link.connection == from.connection) return;
  receiver.link = std::move(from);
  receiver.link.send(frameOf(digest_.all(), /*is_whole=*/true));
}

void LoadAggregator::take(Instant now, const fleet::LoadTotalsFrame& totals) {
  request::LoadDigestReader reader;
  request::LoadDigestReader background;
  const bool is_readable =
      reader.take(totals.digest, /*is_whole=*/true) && background.take(totals.background, /*is_whole=*/true);
  if (!is_readable) {
    logEvent(LogLevel::kWarning, "load_totals_refused",
             {{"store", totals.from.value}, {"bytes", totals.digest.size()}, {"cause", "malformed"}});
    return;
  }
  all_.report(now, totals.from.value, reader.others(engines_, {}));
  not_placed_.report(now, totals.from.value, reader.others(engines_, background.others(engines_, {})));
}

void LoadAggregator::tick(Instant now) {
  if (now < next_digest_) return;
  expire(now);
  next_digest_ = now + kDigestInterval;
  if (receivers_.empty()) return;
  sendTotals(now);
  sendDigest(now);
}

void LoadAggregator::expire(Instant now) {
  local_.expire(now);
  all_.expire(now);
  not_placed_.expire(now);
  background_.expire(now);
  std::erase_if(receivers_, [now](const auto& entry) { return now > entry.second.last_report_at + kReceiverLifetime; });
}

void LoadAggregator::sendTotals(Instant now) {
  if (now < next_totals_) return;
  next_totals_ = now + kTotalsInterval;
  request::LoadDigestWriter whole;
  request::LoadDigestWriter background;
  const fleet::LoadTotalsFrame frame{self_, whole.changes(local_.totals()), background.changes(background_.totals())};
  for (const ReplicaId& peer : peers_) send_(peer, frame);
}

void LoadAggregator::sendDigest(Instant now) {
  std::string digest = digest_.changes(all_.totals(), kMaxDigestEntries);
  if (digest.empty() && now < last_digest_at_ + kEmptyDigestInterval) return;
  last_digest_at_ = now;
  const std::string frame = frameOf(std::move(digest), /*is_whole=*/false);
  for (const auto& [node, receiver] : receivers_) receiver.link.send(frame);
}

std::string LoadAggregator::frameOf(std::string digest, bool is_whole) const {
  return encodeTagged(fleet::FleetMessage(fleet::LoadDigestFrame{self_, is_whole, std::move(digest)}));
}

}  // namespace hatchfork::store
