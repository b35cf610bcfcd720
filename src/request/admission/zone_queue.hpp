#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "common/time.hpp"

/// Load that this answers: a jump above what the engines of a zone bear at once. In engines' own queues requests wait
/// in the order of their arrival, at whichever engine was chosen before it was known which place falls free first; one
/// that is late already makes the next one late.
namespace hatchfork::request {

struct ZoneQueueLimits {
  /// Requests that may stand at once, of one service.
  std::size_t most_standing = 4000;
  /// Each time that so many places were given while a less urgent class waits, its first one has the next.
  std::uint32_t floor_every = 8;
};

/// Names a request in the line for the one who keeps it.
using QueueEntryId = std::uint64_t;

/// A request as the line orders it.
struct QueuedRequest {
  /// Rank of its class; lower ones are more urgent.
  std::uint32_t priority = 0;
  /// It was refused before and has come back: it is late already, so it lets fresh ones of its class go first.
  bool has_returned = false;
  /// Start of its share of the room, as its tenant's virtual time; equal for all where tenants share nothing.
  double share = 0;
  /// From when on it can't be in time any more.
  Instant latest_start{};
  /// False for one that is better late than refused: its caller has a part of its answer.
  bool may_be_refused = true;
};

/// Requests of one service that wait for a place at any engine, in the order in which they get one: by class, fresh
/// ones first, by share, by slack. No I/O, no clock, and it does not know places. Belongs to one thread.
class ZoneQueue {
 public:
  explicit ZoneQueue(ZoneQueueLimits limits = {}) : limits_(limits) {}

  /// False if the line is full, or holds the number.
  bool enter(Instant now, QueueEntryId number, const QueuedRequest& standing);
  /// It was given a place, or has left for another cause. False if it does not stand here.
  bool leave(QueueEntryId number);
  /// A place was given to the number, which leaves: counts for the floor of those behind.
  void noteServed(QueueEntryId number);
  /// The first ones, in the order in which a place is to be offered to them; at most so many.
  std::vector<QueueEntryId> first(std::size_t most) const;
  /// Those that can't be in time any more; they stand until they leave.
  std::vector<QueueEntryId> late(Instant now) const;
  /// Requests that get a place before one of this standing that enters now.
  std::size_t ahead(const QueuedRequest& standing) const;
  std::size_t aheadOf(QueueEntryId number) const;

  std::size_t size() const { return standing_.size(); }
  bool isEmpty() const { return standing_.empty(); }
  bool has(QueueEntryId number) const { return standing_.contains(number); }
  const QueuedRequest& at(QueueEntryId number) const { return standing_.at(number).standing; }
  Duration waited(Instant now, QueueEntryId number) const { return now - standing_.at(number).entered; }

 private:
  /// Order within a class.
  using Place = std::tuple<bool, double, Instant, std::uint64_t>;
  using Class = std::map<Place, QueueEntryId>;
  struct Member {
    QueuedRequest standing;
    Place place;
    Instant entered{};
  };

  /// True if the next place belongs to a less urgent class.
  bool isFloorsTurn() const { return classes_.size() > 1 && given_to_urgent_ + 1 >= limits_.floor_every; }

  ZoneQueueLimits limits_;
  std::map<std::uint32_t, Class> classes_;
  std::unordered_map<QueueEntryId, Member> standing_;
  /// By when they can't be in time.
  std::set<std::pair<Instant, QueueEntryId>> latest_;
  std::uint64_t entered_ = 0;
  /// Places that the most urgent class was given since the last one of another class.
  std::uint32_t given_to_urgent_ = 0;
};

}  // namespace hatchfork::request
