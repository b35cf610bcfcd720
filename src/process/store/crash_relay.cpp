#include "process/store/crash_relay.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::store {

namespace {

/// Processes ask every second.
constexpr Duration kListenerLifetime = fromMillis(3500);

}  // namespace

void CrashRelay::keep(const fleet::CrashNotesFrame& notes, fleet::CrashNotesFrame& kept) {
  if (!notes.hasNews()) return;
  kept.add(notes);
  if (on_news_) on_news_();
}

void CrashRelay::sendToListeners(const fleet::CrashNotesFrame& notes) {
  if (!notes.hasNews()) return;
  const std::string frame = encodeTagged(fleet::FleetMessage(notes));
  for (const auto& [connection, listener] : receivers_) listener.receiver.send(frame);
}

void CrashRelay::take(Instant now, const fleet::CrashNotesFrame& notes, const Receiver& from) {
  if (notes.is_hello) receivers_[from.connection] = Listener{from, now};
  keep(watch_.take(now, notes), notes.is_relayed ? told_by_hubs_ : told_here_);
  const bool is_told_all = notes.digest == watch_.digest() && !notes.wants_all;
  if (!notes.is_hello || is_told_all) return;
  fleet::CrashNotesFrame all = watch_.everything(now);
  all.wants_all = true;
  from.send(encodeTagged(fleet::FleetMessage(std::move(all))));
}

void CrashRelay::takeAnswer(Instant now, const fleet::CrashNotesFrame& notes) {
  keep(watch_.take(now, notes), told_by_hubs_);
  if (notes.wants_all && notes.digest != watch_.digest()) send_(asked_, fleet::FleetMessage(watch_.everything(now)));
}

void CrashRelay::flush() {
  fleet::CrashNotesFrame news = std::exchange(told_here_, {});
  news.add(watch_.takeNews());
  news.digest = watch_.digest();
  if (news.hasNews()) {
    news.is_relayed = true;
    for (const ReplicaId& hub : hubs_) send_(hub, fleet::FleetMessage(news));
  }
  news.add(std::exchange(told_by_hubs_, {}));
  sendToListeners(news);
}

void CrashRelay::tick(Instant now) {
  std::erase_if(receivers_, [now](const auto& item) { return now > item.second.heard_at + kListenerLifetime; });
  watch_.expire(now);
  const fleet::FleetMessage hello(watch_.hello());
  const bool is_hub = std::find(hubs_.begin(), hubs_.end(), asked_) != hubs_.end();
  if (is_hub && send_(asked_, hello)) return;
  for (const ReplicaId& hub : hubs_) {
    if (!send_(hub, hello)) continue;
    asked_ = hub;
    return;
  }
}

}  // namespace hatchfork::store
