#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>

#include "common/time.hpp"
#include "request/exchange/stream_record.hpp"

namespace hatchfork::request {

/// Records of streams that may still be resumed. Bounded: beyond `max_streams` the oldest records are dropped. No I/O,
/// no clock. Not thread-safe.
class StreamTable {
 public:
  explicit StreamTable(std::size_t max_streams) : max_streams_(max_streams) {}

  /// Keeps a record until `expires_at`; replaces an earlier record of the stream.
  void put(StreamRecord record, Instant expires_at);
  /// Null if there is no record.
  const StreamRecord* find(Instant now, const StreamKey& stream) const;
  /// Calls `visit` for each record that has not expired, with its expiry.
  void visit(Instant now, const std::function<void(const StreamRecord& record, Instant expires_at)>& visit) const;
  /// Drops expired records.
  void expire(Instant now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    StreamRecord record;
    Instant expires_at{};
  };

  std::size_t max_streams_;
  std::unordered_map<StreamKey, Entry> entries_;
  /// Streams in the order in which they were first put.
  std::deque<StreamKey> order_;
};

}  // namespace hatchfork::request
