#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "process/fleet/crash_watch.hpp"
#include "process/fleet/fleet_messages.hpp"

namespace hatchfork::store {

/// Passes on what processes see of requests that end engines: to the processes that asked this store, and, where it was
/// told here first, to the aggregators of all zones, which do the same for theirs. Every store asks one of those
/// itself.
///
/// Cost: news of one interval of `flush` go out together, encoded once for all receivers; without suspects a message of
/// some 20 bytes a second for each process. No I/O, no clock. Belongs to one thread.
class CrashRelay {
 public:
  /// Where a process is reached that asked to be told.
  struct Receiver {
    const void* connection = nullptr;
    std::function<void(const std::string& frame)> send;
  };
  /// Sends a frame to another store; false if there is no connection.
  using SendFunction = std::function<bool(const ReplicaId& to, const fleet::FleetMessage& message)>;

  CrashRelay(fleet::CrashWatch& watch, SendFunction send) : watch_(watch), send_(std::move(send)) {}

  /// Called when there is something to be passed on; `flush` is then to be called within some milliseconds.
  void setNewsHandler(std::function<void()> on_news) { on_news_ = std::move(on_news); }

  /// The aggregators of all zones, this store left out.
  void setAggregators(std::vector<ReplicaId> hubs) { hubs_ = std::move(hubs); }
  void take(Instant now, const fleet::CrashNotesFrame& notes, const Receiver& from);
  /// What a store tells that was asked from here.
  void takeAnswer(Instant now, const fleet::CrashNotesFrame& notes);
  /// What the group keeps.
  void takeStored(Instant now, const fleet::CrashNotesFrame& notes) { keep(watch_.take(now, notes), told_by_hubs_); }
  /// Passes on what was told here and what this store itself has seen since the last call.
  void flush();
  void drop(const void* connection) { receivers_.erase(connection); }
  /// Asks to be told, and forgets processes that ask no more; call about once a second.
  void tick(Instant now);
  std::size_t receivers() const { return receivers_.size(); }

 private:
  struct Listener {
    Receiver receiver;
    Instant heard_at{};
  };

  /// Keeps what a process has told for the next `flush`.
  void keep(const fleet::CrashNotesFrame& notes, fleet::CrashNotesFrame& kept);
  void sendToListeners(const fleet::CrashNotesFrame& notes);

  fleet::CrashWatch& watch_;
  SendFunction send_;
  std::function<void()> on_news_;
  std::vector<ReplicaId> hubs_;
  /// To be passed on: what processes told here, also to other aggregators; what those told, only to processes.
  fleet::CrashNotesFrame told_here_;
  fleet::CrashNotesFrame told_by_hubs_;
  /// The one that tells this store what becomes known.
  ReplicaId asked_;
  std::map<const void*, Listener> receivers_;
};

}  // namespace hatchfork::store
