#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "common/time.hpp"

/// Queue of requests for a zone whose engines are at capacity. Queues of single engines serve requests in order of
/// arrival, at an engine chosen before it is known where a slot becomes free first, and one late request makes the next
/// request late.
namespace hatchfork::request {

struct ZoneQueueLimits {
  /// Bound on the queued requests of one service.
  std::size_t max_queued = 4000;
  /// While a less urgent class waits, the least urgent class gets one of this number of slots.
  std::uint32_t floor_every = 8;
};

/// Identifies a queued request; chosen by the caller.
using QueueEntryId = std::uint64_t;

/// Properties that determine the order of a queued request.
struct QueuedRequest {
  /// Rank of the request class; lower ranks are more urgent.
  std::uint32_t priority = 0;
  /// True if the request was refused before and is a retry: it is late already, so fresh requests of its class go
  /// first.
  bool has_returned = false;
  /// Virtual start time of the request in its tenant's share (`Turn::start`); equal for all requests if tenants share
  /// nothing.
  double share = 0;
  /// Latest time at which the request can start and still be in time.
  Instant latest_start{};
  /// False if a late answer is better than a refusal: the caller has already received a part of the answer.
  bool may_be_refused = true;
};

/// Requests of one service that wait for a slot at any engine, in scheduling order: by class, fresh requests before
/// retries, by share, by slack. Slots are tracked by the caller. No I/O, no clock. Not thread-safe.
class ZoneQueue {
 public:
  explicit ZoneQueue(ZoneQueueLimits limits = {}) : limits_(limits) {}

  /// Adds a request. Returns false if the queue is full or already contains the number.
  bool enter(Instant now, QueueEntryId number, const QueuedRequest& request);
  /// Removes a request for any reason. Returns false if the request is not queued.
  bool leave(QueueEntryId number);
  /// Removes a request that got a slot, and counts the slot for the floor of less urgent classes.
  void noteServed(QueueEntryId number);
  /// Visits the requests in the order in which slots are to be offered to them, until `visit` returns false. The queue
  /// must not change meanwhile.
  void visit(const std::function<bool(QueueEntryId)>& visit) const;
  /// Returns the first requests in that order, at most `most`.
  std::vector<QueueEntryId> first(std::size_t most) const;
  /// Returns the requests whose latest start has passed; they stay queued until they leave.
  std::vector<QueueEntryId> late(Instant now) const;
  /// Returns the number of requests that would be served before a request with these properties added now.
  std::size_t ahead(const QueuedRequest& request) const;
  std::size_t aheadOf(QueueEntryId number) const;

  std::size_t size() const { return queued_.size(); }
  bool isEmpty() const { return queued_.empty(); }
  bool has(QueueEntryId number) const { return queued_.contains(number); }
  const QueuedRequest& at(QueueEntryId number) const { return queued_.at(number).request; }
  Duration waited(Instant now, QueueEntryId number) const { return now - queued_.at(number).enqueued_at; }

 private:
  /// Sort key within a class.
  using SortKey = std::tuple<bool, double, Instant, std::uint64_t>;
  using Class = std::map<SortKey, QueueEntryId>;
  struct Queued {
    QueuedRequest request;
    SortKey key;
    Instant enqueued_at{};
  };

  /// True if the next slot belongs to the least urgent class.
  bool isFloorDue() const { return classes_.size() > 1 && given_to_urgent_ + 1 >= limits_.floor_every; }

  ZoneQueueLimits limits_;
  std::map<std::uint32_t, Class> classes_;
  std::unordered_map<QueueEntryId, Queued> queued_;
  /// Queued requests by latest start.
  std::set<std::pair<Instant, QueueEntryId>> by_latest_start_;
  std::uint64_t last_sequence_ = 0;
  /// Slots given to the most urgent class since the last slot of another class.
  std::uint32_t given_to_urgent_ = 0;
};

}  // namespace hatchfork::request
