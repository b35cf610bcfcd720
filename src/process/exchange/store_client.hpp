#pragma once

/// Gateway-side client of the stores: connections, calls with fail-over and hedging, and pushed messages.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "connection/asio.hpp"
#include "connection/frame_connection.hpp"
#include "process/fleet/frame_reader.hpp"
#include "process/store/store_messages.hpp"

namespace hatchfork::exchange {

/// Time limits of one call.
struct StoreCallLimits {
  Instant deadline{};
  /// Timeout for the answer of one store.
  Duration store_timeout{};
  /// Delay after which the request is sent to the next store as well.
  Duration hedge_delay{};
  /// Time at which the call fails early if no store can have accepted the request.
  Instant refuse_at{};
};

/// Sends requests to stores and fails over to another store if one can't answer. Any store answers any request. Not
/// thread-safe: belongs to the thread of its `io_context`.
class StoreClient {
 public:
  StoreClient(connection::asio::io_context& context, std::uint16_t store_port, std::uint64_t seed);
  ~StoreClient();

  void setStores(const std::vector<ReplicaId>& stores);
  /// Sets the handler of load digests from aggregators.
  void setDigestHandler(std::function<void(const fleet::LoadDigestFrame&)> on_digest) {
    on_digest_ = std::move(on_digest);
  }
  /// Sets the handler of answers from rate limit owners.
  void setCreditHandler(std::function<void(const fleet::CreditAnswerFrame&)> on_credit) {
    on_credit_ = std::move(on_credit);
  }
  /// Sets the handler of answers from the placement store.
  void setPlacementHandler(std::function<void(const fleet::PlacementAnswer&)> on_placement) {
    on_placement_ = std::move(on_placement);
  }
  /// Sets the handler of store reports about requests that crash engines.
  void setCrashHandler(std::function<void(const ReplicaId& from, const fleet::CrashNotesFrame&)> on_crashes) {
    on_crashes_ = std::move(on_crashes);
  }
  /// Sets the handler of answers about streams.
  void setStreamHandler(std::function<void(const fleet::StreamAnswerFrame&)> on_stream) {
    on_stream_ = std::move(on_stream);
  }
  /// Sets a callback for each connection to a store that is made.
  void setConnectHandler(std::function<void(const ReplicaId& store)> on_connect) {
    on_connect_ = std::move(on_connect);
  }
  /// Number of frames skipped because their kind is unknown to this release.
  std::uint64_t framesPassedOver() const { return frames_.passedOver(); }
  /// Returns false if there is no connection to that store.
  bool send(const ReplicaId& store, const fleet::FleetMessage& message);
  /// Sends the request to one store after another until one answers or `deadline` passes. If a store has not answered
  /// after `hedge_delay`, the next one is tried in parallel, since all requests are idempotent. An `UnavailableReply`
  /// reports whether the request may still have taken effect.
  connection::Awaitable<store::StoreReply> call(const store::StoreRequest& request, StoreCallLimits limits);

 private:
  struct Link {
    std::shared_ptr<connection::ReconnectingLink> link;
    std::uint64_t timeouts = 0;
  };
  using ReplyHandler = std::function<void(store::StoreReply)>;

  /// Results of the attempts of one call; shared with their callbacks.
  struct CallState;

  void sendRequest(const ReplicaId& store, const std::string& encoded, Duration store_timeout,
                   const std::shared_ptr<CallState>& state);
  /// Returns the first connected store that was not tried in this round and has no request of the call in flight.
  std::optional<ReplicaId> nextStore(const CallState& state) const;
  void onFrame(const ReplicaId& from, const std::string& body);
  void onLinkState(const ReplicaId& store, bool connected);
  /// Returns the connected stores, starting with the one that answered last.
  std::vector<ReplicaId> storesByPreference() const;

  connection::asio::io_context& context_;
  std::uint16_t store_port_;
  fleet::FrameReader frames_;
  std::map<ReplicaId, Link> links_;
  struct Pending {
    ReplicaId store;
    ReplyHandler done;
  };
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t last_number_ = 0;
  std::function<void(const fleet::LoadDigestFrame&)> on_digest_;
  std::function<void(const fleet::CreditAnswerFrame&)> on_credit_;
  std::function<void(const fleet::PlacementAnswer&)> on_placement_;
  std::function<void(const ReplicaId& from, const fleet::CrashNotesFrame&)> on_crashes_;
  std::function<void(const fleet::StreamAnswerFrame&)> on_stream_;
  std::function<void(const ReplicaId& store)> on_connect_;
  ReplicaId preferred_;
  std::uint64_t seed_;
};

}  // namespace hatchfork::exchange
