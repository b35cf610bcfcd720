#pragma once

/// Client of the placement store, the store that assigns engines to the online requests of a zone.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/asio.hpp"
#include "connection/engine_exchange.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "process/metrics/metrics_page.hpp"
#include "request/exchange/engine_selector.hpp"

namespace hatchfork::exchange {

struct PlacementClientCounters {
  std::uint64_t placed = 0;
  /// Number of requests that this gateway placed itself, since it got no usable answer in time.
  std::uint64_t placed_locally = 0;
  /// Number of requests that were queued at the store.
  std::uint64_t queued = 0;
  /// Number of requests that the store rejected.
  std::uint64_t refused = 0;
  /// Number of queued requests without a final answer of the store.
  std::uint64_t unresolved = 0;
  metrics::LatencyHistogram wait;
};

/// How a request left the queue of the placement store.
enum class QueueOutcome {
  /// The request was not queued.
  kNotQueued,
  kPlaced,
  kRejected,
  kStoreSilent,
  /// Another store has taken over placement; the request may be sent there.
  kStoreChanged,
  kCallerLeft,
};

/// Requests engines from the placement store of this zone and reports to it the progress of this gateway's requests. If
/// the store does not answer, the gateway chooses an engine itself. Not thread-safe.
class PlacementClient {
 public:
  /// Sends a frame to a store; returns false if there is no connection.
  using SendFunction = std::function<bool(const ReplicaId& to, const fleet::FleetMessage& message)>;

  PlacementClient(connection::asio::io_context& context, std::string node, SendFunction send)
      : context_(context), node_(std::move(node)), send_(std::move(send)) {}

  /// Sets the placement store; empty for none. Ends the wait of requests queued at the previous one.
  void setPlacer(const ReplicaId& placer);
  /// Result of a placement request. Each nonzero number must be released by `noteEnded`.
  struct Placement {
    /// Number of the placement; zero if no engine was assigned.
    std::uint64_t number = 0;
    fleet::PlacementAnswer answer;
    QueueOutcome queue_outcome = QueueOutcome::kNotQueued;
    /// Time in the queue.
    Duration queued_for{};
    /// Last reported number of requests ahead in the queue; -1 if not queued.
    std::int64_t position = -1;
  };
  /// Terms under which the store may queue the request.
  struct QueueTerms {
    fleet::PlacementTerms terms;
    /// `cancel` of this control ends the wait.
    std::shared_ptr<connection::ExchangeControl> control;
  };
  /// Returns the store's decision, or nullopt if this gateway has to choose the engine.
  connection::Awaitable<std::optional<Placement>> place(const request::EngineQuery& query,
                                                        std::vector<EngineId> unreachable,
                                                        std::optional<QueueTerms> wait);
  /// Records a request that this gateway placed itself. Returns its placement number.
  std::uint64_t noteBegun(const EngineId& engine, const request::EngineQuery& query);
  /// Records the first byte of an answer. `pace`: the engine speed as reported in `request::EngineLoad::pace`; 0 if
  /// unknown.
  void noteAnswering(std::uint64_t number, std::uint32_t pace = 0);
  /// Records the end of a request. `timing`: timing of the answer, if the engine answered.
  void noteEnded(std::uint64_t number, request::EngineVerdict verdict,
                 const std::optional<request::AnswerTiming>& timing = std::nullopt);
  /// Handles an answer or a queue heartbeat of the store.
  void take(const fleet::PlacementAnswer& answer);
  /// Sends a full report once `kFullReportInterval` has passed since the last one. Call about every 100 ms.
  void tick(Instant now);

  const PlacementClientCounters& counters() const { return counters_; }

 private:
  struct PendingQuery {
    connection::Timer* timer = nullptr;
    std::optional<fleet::PlacementAnswer> answer;
    /// Queue position reported by the store; -1 if not queued.
    std::int64_t position = -1;
    /// True if another store has taken over placement or the caller has left.
    bool is_given_up = false;
  };

  /// Waits for the answer while the store sends queue heartbeats, at most until `give_up_at`.
  connection::Awaitable<void> await(PendingQuery& pending, Instant give_up_at);
  std::optional<Placement> concludeQuery(std::uint64_t number, const PendingQuery& pending, Instant asked_at,
                                         std::uint64_t prompt_tokens);

  void sendSoon();
  void sendNotes();
  bool isPlacerAvailable(Instant now) const { return !placer_.empty() && now >= avoided_until_; }

  connection::asio::io_context& context_;
  std::string node_;
  SendFunction send_;
  ReplicaId placer_;
  Instant avoided_until_{};
  /// True if the placer has reported that it supports queueing.
  bool placer_supports_queue_ = false;
  /// Time at which the last message of the placer was received.
  Instant last_received_at_{};
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, PendingQuery*> queries_;
  /// All requests of this gateway that are assigned to engines.
  std::map<std::uint64_t, fleet::PlacedRequest> present_;
  fleet::PlacementNotes notes_;
  bool timer_armed_ = false;
  Instant next_full_report_{};
  PlacementClientCounters counters_;
};

}  // namespace hatchfork::exchange
