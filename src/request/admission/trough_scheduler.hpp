#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/admission/load_forecaster.hpp"
#include "request/admission/zone_load.hpp"
#include "request/batch/due_order.hpp"

namespace hatchfork::request {

struct RunInFlight {
  ServiceId service;
  ZoneId zone;
  /// Expected remaining run time.
  Duration time_left{};
};

/// A queued batch item. Callers list queued items in the order in which they are to start.
struct WaitingItem {
  ServiceId service;
  DueItem order;
};

struct TroughSchedulerLimits {
  /// Slack is computed as if runs started only in lasting room (see `TroughScheduler`) and is given here in durations
  /// of a whole run. Items with more slack than `relaxed_slack_runs` wait for lasting room; items with less slack than
  /// `urgent_slack_runs` start in any slot that is free now.
  double relaxed_slack_runs = 1;
  double urgent_slack_runs = 0.3;
  /// Number of standard deviations of the expected online load that stay free on top of it: a slot that is
  /// released within a load cycle and occupied again at once is not usable room.
  double margin_deviations = 1;
  /// A run that is preempted sooner than this after its start makes little progress for the cost of processing its
  /// prompt again. Only the most urgent items start where such an early preemption is expected.
  Duration min_run_time = fromMillis(1000);
};

/// Decision on one item: whether its run starts, in which zone, and the values that the decision is based on.
struct TroughVerdict {
  bool begins = false;
  ZoneId zone;
  /// Slots that stay free for the whole run; negative if the next load peak needs more slots than there are.
  double room = 0;
  double online_now = 0;
  double online_expected = 0;
  std::optional<Duration> period;
};

/// Decides where batch runs may start so that a rise of online load does not preempt them. Online load often comes in
/// cycles; a trough is the part of a cycle with little online load. A run that fills a trough and is preempted by the
/// next peak has to be repeated. A run starts where its slot is expected to stay free of online requests until the run
/// ends (lasting room). The less slack the queued items would have if runs started only in lasting room, the less room
/// is reserved for the next peak, down to none: then a run starts wherever a slot is free now. State is not persisted:
/// a new instance has seen no load cycle and reserves nothing. No I/O, no clock. Not thread-safe.
class TroughScheduler {
 public:
  explicit TroughScheduler(TroughSchedulerLimits limits = {}) : limits_(limits) {}

  /// Records the current load of the service in each zone. Expected several times a second.
  void noteLoad(Instant now, const ServiceId& service, const std::map<ZoneId, ZoneLoad>& zones);
  /// Replaces the set of runs in flight and returns the urgency of each queued item: from zero, while the item can wait
  /// for lasting room, to one. An item also takes the urgency of a later item that it delays. `whole_time` is the
  /// duration of a whole run.
  std::vector<double> plan(Instant now, const std::vector<RunInFlight>& runs, const std::vector<WaitingItem>& waiting,
                           Duration whole_time);
  /// Records a run started since the last `plan`.
  void noteBegun(const RunInFlight& run);

  /// Returns the verdict for the allowed zone with the most room for a run of this length, also if no zone has room.
  TroughVerdict judge(const ServiceId& service, Duration time_left, double urgency,
                      const std::optional<std::set<ZoneId>>& zones) const;
  /// True if the load of the service has been recorded.
  bool knows(const ServiceId& service) const { return services_.contains(service); }
  /// Urgency of the most urgent queued item of the service; one if the load of the service is not known.
  double urgency(const ServiceId& service) const;
  /// True if lasting room is too small for all queued items to finish in time.
  bool isRoomShort(const ServiceId& service) const;
  /// Number of runs that can be in flight at once without being preempted by the highest expected load.
  double lastingSlots(const ServiceId& service, Duration time_left) const;

 private:
  struct Zone {
    double slots = 0;
    LoadForecaster forecaster;
    /// Runs expected to be in flight at the start of each span.
    std::array<double, LoadForecast::kSpans> runs{};
  };
  struct Service {
    std::map<ZoneId, Zone> zones;
    double urgency = 0;
    /// Least slack of the queued items, in seconds, if runs start only in lasting room.
    double least_slack = 0;
    /// Number of runs in flight, and the sum of their remaining times.
    double runs = 0;
    Duration remaining_time{};
  };

  static void addRun(Zone& zone, Duration time_left);
  /// Slots of all zones that the online requests expected in the span leave free.
  static double freeSlotsIn(const Service& service, std::size_t span);
  /// Remaining work, in seconds, of runs in flight beyond the number of lasting slots.
  static double workBeyondSlots(const Service& service, double lasting_slots);
  /// Time in seconds until the runs in flight allow the next queued run to start.
  static double secondsUntilNextStart(const Service& service, double lasting_slots);
  TroughVerdict judgeZone(const ZoneId& id, const Zone& zone, Duration time_left, double urgency) const;
  double peakMargin(double online) const;
  double urgencyForSlack(double slack, Duration whole_time) const;

  TroughSchedulerLimits limits_;
  std::map<ServiceId, Service> services_;
};

}  // namespace hatchfork::request
