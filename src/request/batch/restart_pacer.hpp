#pragma once

#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork::request {

/// Delays between starts of items whose last runs broke off at their engines before an event. Nothing holds such an
/// item for long, since engines that crashed may be back and idle; but if it is the items that crash their engines,
/// they must not do so in quick succession. The first event of any such run ends all delays of its service.
///
/// Does no I/O; callers pass the current time. Not thread-safe.
class RestartPacer {
 public:
  /// True if such an item may start at the service's engines now.
  bool mayStart(Instant now, const ServiceId& service) const;
  /// Records that such an item starts.
  void noteStarted(Instant now, const ServiceId& service);
  /// Records that a run broke off before its first event. Doubles the delay, up to a limit, if the run began after it
  /// was doubled last: what breaks at the same moment is one incident. Returns the delay.
  Duration noteBroken(Instant now, const ServiceId& service, Instant began_at);
  /// Records the first event of such an item's run.
  void noteProgress(const ServiceId& service) { paces_.erase(service); }

 private:
  struct Pace {
    Duration delay{};
    Instant doubled_at = Instant::min();
    Instant next_start{};
  };
  std::map<ServiceId, Pace> paces_;
};

}  // namespace hatchfork::request
