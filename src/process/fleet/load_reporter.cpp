#include "process/fleet/load_reporter.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace hatchfork::fleet {
namespace {

/// Aggregators of a zone: the second one takes over when the first can't be reached.
constexpr std::size_t kAggregatorsEachZone = 2;
/// A report that changes nothing is repeated this often; a few times within the time for which a report counts.
constexpr Duration kRepeatInterval = fromMillis(400);
/// An aggregator that has said nothing for this long is given up; its digests come more often than this.
constexpr Duration kSilenceLimit = fromMillis(900);
/// An aggregator that was given up is not turned to again for this long.
constexpr Duration kAvoidedFor = std::chrono::seconds(4);

}  // namespace

std::vector<ReplicaId> aggregatorsOf(const std::vector<StoreAddress>& stores, const ZoneId& zone) {
  std::vector<ReplicaId> found;
  for (const StoreAddress& store : stores) {
    if (store.zone == zone) found.push_back(store.address);
  }
  std::sort(found.begin(), found.end(), std::greater<>());
  if (found.size() > kAggregatorsEachZone) found.resize(kAggregatorsEachZone);
  return found;
}

void LoadReporter::setStores(const std::vector<StoreAddress>& stores) {
  aggregators_ = aggregatorsOf(stores, zone_);
  std::set<ZoneId> zones;
  for (const StoreAddress& store : stores) {
    if (store.zone != zone_) zones.insert(store.zone);
  }
  if (zones.empty()) return;
  // The zone that follows the own one by name, the first one after the last.
  const auto after = zones.upper_bound(zone_);
  const ZoneId next = after == zones.end() ? *zones.begin() : *after;
  for (const ReplicaId& store : aggregatorsOf(stores, next)) aggregators_.push_back(store);
}

bool LoadReporter::isAvoided(Instant now, const ReplicaId& store) const {
  const auto found = avoided_until_.find(store);
  return found != avoided_until_.end() && now < found->second;
}

void LoadReporter::leaveSilent(Instant now) {
  if (current_.empty() || now <= heard_at_ + kSilenceLimit) return;
  logEvent(LogLevel::kInfo, "load_aggregator_left",
           {{"store", current_.value}, {"cause", "silent"}, {"silent_ms", toMillis(now - heard_at_)}});
  avoided_until_[current_] = now + kAvoidedFor;
  // Should it be alive after all, it must not count this process beside the next one.
  send_(current_, LoadReportFrame{node_, {}, kind_});
  current_ = ReplicaId();
}

void LoadReporter::report(Instant now, std::vector<request::EngineShare> shares) {
  leaveSilent(now);
  const bool is_repeat = !current_.empty() && shares == reported_;
  if (is_repeat && now < reported_at_ + kRepeatInterval) return;
  sendTo(now, std::move(shares));
}

void LoadReporter::sendTo(Instant now, std::vector<request::EngineShare> shares) {
  LoadReportFrame frame{node_, std::move(shares), kind_};
  for (const ReplicaId& store : aggregators_) {
    if (isAvoided(now, store) || !send_(store, frame)) continue;
    if (store != current_) {
      if (!current_.empty()) send_(current_, LoadReportFrame{node_, {}, kind_});
      logEvent(LogLevel::kInfo, "load_aggregator_used", {{"store", store.value}, {"before", current_.value}});
      current_ = store;
      heard_at_ = now;
    }
    reported_at_ = now;
    reported_ = std::move(frame.shares);
    return;
  }
}

std::optional<std::vector<request::EngineShare>> LoadReporter::take(Instant now, const LoadDigestFrame& digest) {
  if (digest.from != current_) return std::nullopt;
  heard_at_ = now;
  if (!others_.take(digest.digest, digest.is_whole)) {
    logEvent(LogLevel::kWarning, "load_digest_refused",
             {{"store", digest.from.value}, {"bytes", digest.digest.size()}, {"cause", "malformed"}});
    return std::nullopt;
  }
  return others_.others(engines_, reported_);
}

}  // namespace hatchfork::fleet
