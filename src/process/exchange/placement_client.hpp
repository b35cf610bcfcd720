#pragma once

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
  /// Requests that this gateway placed itself, since nobody answered in time or the answer was of no use.
  std::uint64_t alone = 0;
  /// Requests that stood in line at the store; of these, those that it refused, and those that it left waiting.
  std::uint64_t stood = 0;
  std::uint64_t refused = 0;
  std::uint64_t left_waiting = 0;
  metrics::LatencyHistogram wait;
};

/// How a request's stand in line was left.
enum class LineEnd {
  /// It did not stand in line.
  kNone,
  kPlaced,
  kRefused,
  kSilent,
  /// Another store places now, which may be asked instead.
  kMoved,
  kCallerLeft,
};

/// Asks the store that places the requests of this zone for an engine, and tells it what becomes of the gateway's
/// requests. Where it does not answer, the gateway chooses for itself. Belongs to one thread.
class PlacementClient {
 public:
  /// Sends a frame to a store; false if there is no connection.
  using SendFunction = std::function<bool(const ReplicaId& to, const fleet::FleetMessage& message)>;

  PlacementClient(connection::asio::io_context& context, std::string node, SendFunction send)
      : context_(context), node_(std::move(node)), send_(std::move(send)) {}

  /// The store to ask; empty for none.
  void setPlacer(const ReplicaId& placer);
  /// An engine for the request and the number of its place; nothing if this gateway has to choose. Each number is ended
  /// by `noteEnded`.
  struct Place {
    /// Zero where no engine was given.
    std::uint64_t number = 0;
    fleet::PlacementAnswer answer;
    /// The request stood in line for so long, behind so many.
    LineEnd line = LineEnd::kNone;
    Duration stood{};
    std::int64_t position = -1;
  };
  /// Who may wait for an engine: with these a store may keep the request in line.
  struct Wait {
    fleet::PlacementTerms terms;
    /// Its `cancel` ends the wait.
    std::shared_ptr<connection::ExchangeControl> control;
  };
  connection::Awaitable<std::optional<Place>> place(const request::EngineQuery& query,
                                                    std::vector<EngineId> unreachable, std::optional<Wait> wait);
  /// A request was placed by this gateway; gives its number.
  std::uint64_t noteBegun(const EngineId& engine, const request::EngineQuery& query);
  /// `pace`: what the engine told of it, as `request::EngineLoad::pace`.
  void noteAnswering(std::uint64_t number, std::uint32_t pace = 0);
  /// `timing`: how long the engine took, where it answered.
  void noteEnded(std::uint64_t number, request::EngineVerdict verdict,
                 const std::optional<request::AnswerTiming>& timing = std::nullopt);
  void take(const fleet::PlacementAnswer& answer);
  /// Sends what there is to tell, and everything every so often. Call about every 100 ms.
  void tick(Instant now);

  const PlacementClientCounters& counters() const { return counters_; }

 private:
  struct Question {
    connection::Timer* timer = nullptr;
    std::optional<fleet::PlacementAnswer> answer;
    /// Set once the store has told that it stands in line.
    std::int64_t position = -1;
    /// Another store places now, or the caller has left.
    bool is_given_up = false;
  };

  /// Waits for the answer, as long as the store shows that it keeps the request in line, until `give_up_at` at most.
  connection::Awaitable<void> await(Question& question, Instant give_up_at);
  std::optional<Place> concludeQuestion(std::uint64_t number, const Question& question, Instant asked_at,
                                        std::uint64_t prompt_tokens);

  void sendSoon();
  void sendNotes();
  bool isAskable(Instant now) const { return !placer_.empty() && now >= avoided_until_; }

  connection::asio::io_context& context_;
  std::string node_;
  SendFunction send_;
  ReplicaId placer_;
  Instant avoided_until_{};
  /// True once the placer has told that it knows the line, and when it last told anything.
  bool placer_knows_line_ = false;
  Instant heard_at_{};
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, Question*> questions_;
  /// All requests of this gateway that are at engines.
  std::map<std::uint64_t, fleet::PlacedRequest> present_;
  fleet::PlacementNotes notes_;
  bool timer_armed_ = false;
  Instant next_whole_{};
  PlacementClientCounters counters_;
};

}  // namespace hatchfork::exchange
