#include "process/store/crash_relay.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::store {

namespace {

/// Subscribed processes send a hello every second.
constexpr Duration kSubscriberLifetime = fromMillis(3500);

}  // namespace

void CrashRelay::addNotes(const fleet::CrashNotesFrame& notes, fleet::CrashNotesFrame& pending) {
  if (!notes.hasNews()) return;
  pending.add(notes);
  if (on_news_) on_news_();
}

void CrashRelay::sendToSubscribers(const fleet::CrashNotesFrame& notes) {
  if (!notes.hasNews()) return;
  const std::string frame = encodeTagged(fleet::FleetMessage(notes));
  for (const auto& [connection, subscriber] : receivers_) subscriber.receiver.send(frame);
}

void CrashRelay::take(Instant now, const fleet::CrashNotesFrame& notes, const Receiver& from) {
  if (notes.is_hello) receivers_[from.connection] = Subscriber{from, now};
  addNotes(watch_.take(now, notes), notes.is_relayed ? relayed_notes_ : local_notes_);
  const bool is_in_sync = notes.digest == watch_.digest() && !notes.wants_all;
  if (!notes.is_hello || is_in_sync) return;
  fleet::CrashNotesFrame all = watch_.everything(now);
  all.wants_all = true;
  from.send(encodeTagged(fleet::FleetMessage(std::move(all))));
}

void CrashRelay::takeAnswer(Instant now, const fleet::CrashNotesFrame& notes) {
  addNotes(watch_.take(now, notes), relayed_notes_);
  if (notes.wants_all && notes.digest != watch_.digest()) send_(upstream_, fleet::FleetMessage(watch_.everything(now)));
}

void CrashRelay::flush() {
  fleet::CrashNotesFrame news = std::exchange(local_notes_, {});
  news.add(watch_.takeNews());
  news.digest = watch_.digest();
  if (news.hasNews()) {
    news.is_relayed = true;
    for (const ReplicaId& aggregator : aggregators_) send_(aggregator, fleet::FleetMessage(news));
  }
  news.add(std::exchange(relayed_notes_, {}));
  sendToSubscribers(news);
}

void CrashRelay::tick(Instant now) {
  std::erase_if(receivers_, [now](const auto& item) { return now > item.second.last_hello_at + kSubscriberLifetime; });
  watch_.expire(now);
  const fleet::FleetMessage hello(watch_.hello());
  const bool is_aggregator = std::find(aggregators_.begin(), aggregators_.end(), upstream_) != aggregators_.end();
  if (is_aggregator && send_(upstream_, hello)) return;
  for (const ReplicaId& aggregator : aggregators_) {
    if (!send_(aggregator, hello)) continue;
    upstream_ = aggregator;
    return;
  }
}

}  // namespace hatchfork::store
