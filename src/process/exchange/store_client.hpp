#pragma once

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

/// Times of one call, all absolute or counted from the moment a store is asked.
struct StoreCallLimits {
  Instant deadline{};
  /// How long one store is waited for.
  Duration patience{};
  /// After this long the next store is asked too.
  Duration hedge{};
  /// The call is given up at this time already if no store can have taken the request.
  Instant refuse_at{};
};

/// Sends requests to stores and turns to another store where one can't answer. Any store answers any request. Belongs
/// to one thread.
class StoreClient {
 public:
  StoreClient(connection::asio::io_context& context, std::uint16_t store_port, std::uint64_t seed);
  ~StoreClient();

  void setStores(const std::vector<ReplicaId>& stores);
  /// Called with the loads that an aggregator tells.
  void setDigestHandler(std::function<void(const fleet::LoadDigestFrame&)> on_digest) {
    on_digest_ = std::move(on_digest);
  }
  /// Called with what an owner of rate limits answers.
  void setCreditHandler(std::function<void(const fleet::CreditAnswerFrame&)> on_credit) {
    on_credit_ = std::move(on_credit);
  }
  /// Called with the answer of the store that places requests.
  void setPlacementHandler(std::function<void(const fleet::PlacementAnswer&)> on_placement) {
    on_placement_ = std::move(on_placement);
  }
  /// Called with what a store tells of requests that end engines.
  void setCrashHandler(std::function<void(const ReplicaId& from, const fleet::CrashNotesFrame&)> on_crashes) {
    on_crashes_ = std::move(on_crashes);
  }
  /// Frames of a kind that this release does not know.
  std::uint64_t framesPassedOver() const { return frames_.passedOver(); }
  /// False if there is no connection to that store, or none is wanted.
  bool send(const ReplicaId& store, const fleet::FleetMessage& message);
  /// Asks store after store until one answers or `deadline` has come; a store that has not answered after `hedge` is
  /// waited for on, but the next one is asked beside it, since all requests may be repeated. An `UnavailableReply` says
  /// whether the request may have an effect all the same.
  connection::Awaitable<store::StoreReply> call(const store::StoreRequest& request, StoreCallLimits limits);

 private:
  struct Link {
    std::shared_ptr<connection::ReconnectingLink> link;
    std::uint64_t timeouts = 0;
  };
  using ReplyHandler = std::function<void(store::StoreReply)>;

  /// What the attempts of one call have brought so far; shared with their callbacks.
  struct CallState;

  void ask(const ReplicaId& store, const std::string& encoded, Duration patience,
           const std::shared_ptr<CallState>& state);
  /// The first connected store of the round that was not asked in it and is not being asked.
  std::optional<ReplicaId> nextStore(const CallState& state) const;
  void onFrame(const ReplicaId& from, const std::string& body);
  void onLinkState(const ReplicaId& store, bool connected);
  /// Connected stores, the one that answered last first.
  std::vector<ReplicaId> order() const;

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
  ReplicaId preferred_;
  std::uint64_t seed_;
};

}  // namespace hatchfork::exchange
