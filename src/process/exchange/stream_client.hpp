#pragma once

/// Gateway-side record of which build of the engines' software began each resumable stream, and client of the stores
/// that keep such records for the other gateways.

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "connection/asio.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "request/exchange/stream_table.hpp"

namespace hatchfork::exchange {

struct StreamClientCounters {
  /// Streams that began at this gateway, and records that were sent to stores.
  std::uint64_t begun = 0;
  std::uint64_t records_sent = 0;
  /// Lookups for callers that resume a stream, by their result; `questions` of them asked the stores.
  std::uint64_t found = 0;
  std::uint64_t any_build = 0;
  std::uint64_t unknown = 0;
  std::uint64_t questions = 0;
};

/// A stream that a caller resumes.
struct ResumedStream {
  request::StreamKey stream;
  ServiceId service;
  /// The caller's request, for logs.
  std::string request;
};

/// The service runs one build, and has run no other within the lifetime of a stream: any engine may continue.
struct AnyBuild {};
/// No process that answered has a record of the stream.
struct UnknownStream {
  /// False if stores that may have a record did not answer.
  bool is_certain = false;
};
/// Result of a lookup; `EngineBuild` is the build that began the stream.
using StreamLookup = std::variant<UnknownStream, AnyBuild, EngineBuild>;

/// Records each resumable stream from its first event on. While a service runs several builds, or has done so within
/// the lifetime of a stream, two stores keep each record as well, so that every gateway can resume the stream, also
/// after this gateway or a store has ended. With one build no record is sent. Not thread-safe.
class StreamClient {
 public:
  /// Sends a frame to a store; returns false if there is no connection.
  using SendFunction = std::function<bool(const ReplicaId& to, const fleet::FleetMessage& message)>;

  StreamClient(connection::asio::io_context& context, SendFunction send);

  /// Sets the stores that keep records, and sends the records to those that have to keep them from now on.
  void setStores(Instant now, std::vector<ReplicaId> stores);
  /// Sets the services that run several builds or have done so recently, and sends the records of their streams.
  void setMixedServices(Instant now, const std::set<ServiceId>& services);
  /// Records the first event of a stream. `lifetime`: time for which its caller may still resume it.
  void noteBegun(Instant now, request::StreamRecord record, Duration lifetime);
  /// Looks up a stream. `is_current`: true if the gateway's list of engines is current.
  connection::Awaitable<StreamLookup> find(ResumedStream resumed, bool is_current);
  /// Handles a store's answer.
  void take(const fleet::StreamAnswerFrame& answer);
  /// Sends a store that is connected again the records that it should keep.
  void onConnected(Instant now, const ReplicaId& store);
  /// Drops records of streams that can't be resumed any more; call about once a second.
  void expire(Instant now) { streams_.expire(now); }

  bool isMixed(const ServiceId& service) const { return mixed_services_.contains(service); }
  const StreamClientCounters& counters() const { return counters_; }
  std::size_t streams() const { return streams_.size(); }

 private:
  /// A lookup that waits for stores; lives in the frame of its coroutine.
  struct PendingLookup {
    connection::Timer timer;
    /// In the end: the stores that did not answer or could not be asked.
    std::size_t answers_missing = 0;
    StreamLookup result;
  };

  /// Stores in the order in which they keep the record of this stream.
  std::vector<ReplicaId> storesOf(const request::StreamKey& stream) const;
  void sendRecord(const fleet::StreamNote& note);
  connection::Awaitable<void> askStores(const ResumedStream& resumed, PendingLookup& pending);
  /// Waits until all stores have answered, one has a record, or the time is up.
  connection::Awaitable<void> awaitAnswers(std::uint64_t number, PendingLookup& pending);
  /// Judges the answers of `asked` stores. `knows_one_build`: a process with a current list knows of no other build.
  static StreamLookup conclude(const PendingLookup& pending, std::size_t asked, bool knows_one_build);
  void count(const StreamLookup& result);

  connection::asio::io_context& context_;
  SendFunction send_;
  std::vector<ReplicaId> stores_;
  std::set<ServiceId> mixed_services_;
  request::StreamTable streams_;
  std::map<std::uint64_t, PendingLookup*> pending_;
  std::uint64_t last_number_ = 0;
  StreamClientCounters counters_;
};

}  // namespace hatchfork::exchange
