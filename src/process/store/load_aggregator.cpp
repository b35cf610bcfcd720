#include "process/store/load_aggregator.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "common/log.hpp"
#include "process/fleet/load_reporter.hpp"

namespace hatchfork::store {
namespace {

/// Least time between digests: one goes out at each tick of the store, 50 ms apart.
constexpr Duration kDigestInterval = fromMillis(40);
/// Time between totals: they cross zones, and go to each aggregator.
constexpr Duration kTotalsInterval = fromMillis(90);
/// A digest that tells nothing is sent only this often, as a sign of life.
constexpr Duration kEmptyInterval = fromMillis(400);
/// Most entries of one digest: 6 KB a second for a receiver.
constexpr std::size_t kMostEntries = 43;
/// A process that has reported nothing for this long gets no digests any more.
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
  receiver.heard_at = now;
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
  std::erase_if(receivers_, [now](const auto& entry) { return now > entry.second.heard_at + kReceiverLifetime; });
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
  std::string digest = digest_.changes(all_.totals(), kMostEntries);
  if (digest.empty() && now < told_at_ + kEmptyInterval) return;
  told_at_ = now;
  const std::string frame = frameOf(std::move(digest), /*is_whole=*/false);
  for (const auto& [node, receiver] : receivers_) receiver.link.send(frame);
}

std::string LoadAggregator::frameOf(std::string digest, bool is_whole) const {
  return encodeTagged(fleet::FleetMessage(fleet::LoadDigestFrame{self_, is_whole, std::move(digest)}));
}

}  // namespace hatchfork::store
