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
  /// Number of requests that waited.
  std::uint64_t held = 0;
  /// Subset of `held` that was then served.
  std::uint64_t served = 0;
  std::uint64_t caller_left = 0;
  /// Number of requests refused on arrival or after the maximum wait.
  std::uint64_t refused = 0;
  metrics::LatencyHistogram wait;
};

/// Parks requests at a starting gateway until it can serve them, in order of arrival. Not thread-safe.
class StartGate {
 public:
  enum class Outcome { kOpen, kRefused, kCallerLeft };
  struct Result {
    Outcome outcome = Outcome::kOpen;
    /// Retry delay for the caller if refused.
    Duration come_back_after{};
    bool was_held = false;
  };

  StartGate(connection::asio::io_context& context, request::PendingBudget& budget, std::uint64_t seed)
      : context_(context), budget_(budget), seed_(seed) {}

  /// Marks the start of the gateway. If `may_hold` is false, early requests are refused at once instead of parked.
  void start(Instant now, bool may_hold);
  /// Waits until `is_open` returns true, the caller leaves or the wait limit is reached. `start` must have been called.
  connection::Awaitable<Result> pass(std::function<bool()> is_open, request::EarlyArrival arrival, std::size_t bytes,
                                     connection::ResponseWriter& writer);
  /// Rechecks the conditions of parked requests. Call after a change that may satisfy one.
  void recheck();
  /// Refuses parked requests, and all that would have to wait from now on.
  void stop();

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
  bool has_stopped_ = false;
  /// Oldest first.
  std::deque<std::shared_ptr<Waiter>> waiting_;
  StartGateCounters counters_;
};

}  // namespace hatchfork::exchange
