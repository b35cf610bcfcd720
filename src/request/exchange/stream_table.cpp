#include "request/exchange/stream_table.hpp"

namespace hatchfork::request {

void StreamTable::put(StreamRecord record, Instant expires_at) {
  const StreamKey stream = record.stream;
  const auto [entry, is_new] = entries_.insert_or_assign(stream, Entry{std::move(record), expires_at});
  if (!is_new) return;
  order_.push_back(stream);
  while (entries_.size() > max_streams_) {
    entries_.erase(order_.front());
    order_.pop_front();
  }
}

const StreamRecord* StreamTable::find(Instant now, const StreamKey& stream) const {
  const auto found = entries_.find(stream);
  return found == entries_.end() || now >= found->second.expires_at ? nullptr : &found->second.record;
}

void StreamTable::visit(Instant now,
                        const std::function<void(const StreamRecord& record, Instant expires_at)>& visit) const {
  for (const auto& [stream, entry] : entries_) {
    if (now < entry.expires_at) visit(entry.record, entry.expires_at);
  }
}

void StreamTable::expire(Instant now) {
  std::erase_if(entries_, [now](const auto& item) { return now >= item.second.expires_at; });
  std::erase_if(order_, [this](const StreamKey& stream) { return !entries_.contains(stream); });
}

}  // namespace hatchfork::request
