#pragma once

#include <functional>
#include <list>
#include <optional>

#include "common/time.hpp"

namespace hatchfork::exchange {

/// The planned stop of a gateway: decides which requests may still begin, and ends those that run when the time is up.
/// Not thread-safe.
class PlannedStop {
 public:
  /// Lets a running request end soon; must not destroy its registration.
  using EndRequest = std::function<void()>;

  /// Makes a running request known for as long as it lives.
  class Registration {
   public:
    Registration(PlannedStop& stop, EndRequest end_request);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    PlannedStop& stop_;
    std::list<EndRequest>::iterator place_;
  };

  /// `grace`: time from the stop signal until the process is killed.
  explicit PlannedStop(Duration grace) : grace_(grace) {}

  /// Notes that the stop signal has arrived.
  void begin(Instant now) { began_at_ = now; }
  bool hasBegun() const { return began_at_.has_value(); }
  /// Time at which the stop signal arrived; absent before.
  std::optional<Instant> beganAt() const { return began_at_; }
  /// The following times are defined once the stop has begun.
  /// Connections are accepted until then, since callers notice a stop with a delay.
  Instant acceptsUntil() const;
  /// Requests have to be answered by then.
  Instant endsRequestsAt() const;
  Instant exitsAt() const;
  /// True if a request may be sent to an engine. `received_at`: when it was received whole. One that came when most of
  /// the grace period was left may; a later one only if its deadline lies within the stop.
  bool mayRun(Instant received_at, Instant deadline) const;
  /// Ends all running requests, and lets none run from now on.
  void endRequests();

 private:
  Duration grace_;
  std::optional<Instant> began_at_;
  bool has_ended_requests_ = false;
  std::list<EndRequest> running_;
};

}  // namespace hatchfork::exchange
