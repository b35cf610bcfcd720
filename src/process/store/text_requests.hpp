#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "process/fleet/run_messages.hpp"

namespace hatchfork::store {

/// A text that a store has summarised and the leader needs.
struct NeededText {
  ReplicaId runner;
  fleet::TextRequest request;
  /// Bytes that the answer will contain.
  std::uint64_t bytes = 0;
};

/// The texts that a new leader still has to read of the runs it has taken over. Requests them in steps, so that the
/// bytes that are under way to the leader are bounded, whatever is in flight. No I/O, no clock. Not thread-safe.
class TextRequests {
 public:
  /// Adds a text; those with `is_first` are requested before all others.
  void add(NeededText text, bool is_first);
  /// Returns the texts to be requested now.
  std::vector<NeededText> takeNext(Instant now);
  /// Removes a text that has arrived or is no longer needed. False if it was not needed.
  bool remove(std::uint64_t number);
  /// Returns the runs whose texts were requested long ago and have not arrived.
  std::vector<std::uint64_t> overdue(Instant now) const;
  bool needs(std::uint64_t number) const { return offsets_.contains(number); }
  /// Bytes at the start of the text that the leader has already; zero for a text that is not needed.
  std::uint64_t offsetOf(std::uint64_t number) const;
  std::size_t size() const { return offsets_.size(); }
  void clear();

 private:
  struct Requested {
    std::uint64_t bytes = 0;
    Instant requested_at{};
  };

  std::deque<NeededText> waiting_;
  /// Requested texts by run.
  std::map<std::uint64_t, Requested> requested_;
  std::uint64_t requested_bytes_ = 0;
  /// Offsets of all needed texts by run.
  std::map<std::uint64_t, std::uint64_t> offsets_;
};

}  // namespace hatchfork::store
