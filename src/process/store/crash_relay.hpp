#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "process/fleet/crash_watch.hpp"
#include "process/fleet/fleet_messages.hpp"

namespace hatchfork::store {

/// Forwards crash notes, the observations of processes about requests that crash engines: to the processes that
/// subscribed at this store, and, for notes that were first reported here, to the aggregators of all zones, which
/// forward them to their own subscribers. Every store subscribes at one of these aggregators itself.
///
/// Cost: the notes of one interval of `flush` are sent together, encoded once for all receivers; without suspects a
/// message of some 20 bytes a second for each process. No I/O, no clock. Not thread-safe.
class CrashRelay {
 public:
  /// Connection to a process that subscribed here.
  struct Receiver {
    const void* connection = nullptr;
    std::function<void(const std::string& frame)> send;
  };
  /// Sends a frame to another store; false if there is no connection.
  using SendFunction = std::function<bool(const ReplicaId& to, const fleet::FleetMessage& message)>;

  CrashRelay(fleet::CrashWatch& watch, SendFunction send) : watch_(watch), send_(std::move(send)) {}

  /// The handler is called when there are notes to forward; `flush` should then be called within a few milliseconds.
  void setNewsHandler(std::function<void()> on_news) { on_news_ = std::move(on_news); }

  /// Sets the aggregators of all zones, without this store.
  void setAggregators(std::vector<ReplicaId> aggregators) { aggregators_ = std::move(aggregators); }
  /// Handles crash notes or a hello received from a process. A hello subscribes the sender; if its digest differs from
  /// the one here, it is sent all that is recorded here and requested to do the same.
  void take(Instant now, const fleet::CrashNotesFrame& notes, const Receiver& from);
  /// Handles crash notes received from the aggregator at which this store is subscribed.
  void takeAnswer(Instant now, const fleet::CrashNotesFrame& notes);
  /// Handles the crashes that are stored in the group's replicated log.
  void takeStored(Instant now, const fleet::CrashNotesFrame& notes) {
    addNotes(watch_.take(now, notes), relayed_notes_);
  }
  /// Forwards the notes that were received here and those of this store itself since the last call.
  void flush();
  void drop(const void* connection) { receivers_.erase(connection); }
  /// Renews the subscription at an aggregator and drops subscribers whose hellos have stopped; call about once a
  /// second.
  void tick(Instant now);
  std::size_t receivers() const { return receivers_.size(); }

 private:
  struct Subscriber {
    Receiver receiver;
    Instant last_hello_at{};
  };

  /// Adds notes to `pending`, which the next `flush` sends.
  void addNotes(const fleet::CrashNotesFrame& notes, fleet::CrashNotesFrame& pending);
  void sendToSubscribers(const fleet::CrashNotesFrame& notes);

  fleet::CrashWatch& watch_;
  SendFunction send_;
  std::function<void()> on_news_;
  std::vector<ReplicaId> aggregators_;
  /// Notes to forward: those that processes reported here go to the other aggregators too, those that came from other
  /// aggregators only to subscribed processes.
  fleet::CrashNotesFrame local_notes_;
  fleet::CrashNotesFrame relayed_notes_;
  /// Aggregator at which this store is subscribed.
  ReplicaId upstream_;
  std::map<const void*, Subscriber> receivers_;
};

}  // namespace hatchfork::store
