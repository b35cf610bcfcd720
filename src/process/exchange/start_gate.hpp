#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "connection/asio.hpp"
#include "connection/http_server.hpp"
#include "process/metrics/metrics_page.hpp"
#include "request/admission/pending_budget.hpp"
#include "request/admission/startup_admission.hpp"

namespace hatchfork::exchange {

struct StartGateCounters {
  /// Requests that waited, and of these those that went on to be served.
  std::uint64_t held = 0;
  std::uint64_t served = 0;
  std::uint64_t caller_left = 0;
  /// Refused at once or after the longest wait.
  std::uint64_t refused = 0;
  metrics::LatencyHistogram wait;
};

/// Holds requests at a gateway that has started until it can serve them, in the order in which they came. Belongs to
/// one thread.
class StartGate {
 public:
  enum class Outcome { kOpen, kRefused, kCallerLeft };
  struct Result {
    Outcome outcome = Outcome::kOpen;
    /// Refused: when the caller is to come back.
    Duration come_back_after{};
    bool was_held = false;
  };

  StartGate(connection::asio::io_context& context, request::PendingBudget& budget, std::uint64_t seed)
      : context_(context), budget_(budget), seed_(seed) {}

  /// The gateway's start begins now; `may_hold` is false where requests are to be refused at once.
  void start(Instant now, bool may_hold);
  /// Waits until `is_open` or until the request is to be refused.
  connection::Awaitable<Result> pass(std::function<bool()> is_open, request::EarlyArrival arrival, std::size_t bytes,
                                     connection::ResponseWriter& writer);
  /// What requests wait for may be there.
  void look();

  const StartGateCounters& counters() const { return counters_; }

 private:
  struct Waiter {
    connection::Timer timer;
    std::function<bool()> is_open;
    bool caller_left = false;
  };

  connection::Awaitable<Outcome> hold(std::function<bool()> is_open, Instant until, connection::ResponseWriter& writer);

  connection::asio::io_context& context_;
  request::PendingBudget& budget_;
  std::uint64_t seed_;
  std::optional<request::StartupAdmission> decisions_;
  bool may_hold_ = false;
  /// Oldest first.
  std::deque<std::shared_ptr<Waiter>> waiting_;
  StartGateCounters counters_;
};

}  // namespace hatchfork::exchange
