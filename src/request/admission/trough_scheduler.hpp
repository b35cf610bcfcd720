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

/// A batch run in flight.
struct RunInFlight {
  ServiceId service;
  ZoneId zone;
  /// How long it is expected to run on.
  Duration time_left{};
};

/// A batch item that waits, in the order in which items are to begin.
struct WaitingItem {
  ServiceId service;
  DueItem order;
};

struct TroughSchedulerLimits {
  /// Items wait for room that lasts while, at the pace of that room, each of them has slack of more than so many whole
  /// runs; from the second on, they begin wherever a place is free now.
  double relaxed_runs = 1;
  double pressing_runs = 0.3;
  /// Beyond what is expected, so many standard deviations of it stay free: a place that falls free within a wave and is
  /// wanted again at once is no room.
  double spare_deviations = 1;
  /// A run that would be cut sooner than this after its begin is worth its prompt only to the most pressing items.
  Duration least_stay = fromMillis(1000);
};

/// Why an item begins in a zone or waits.
struct TroughVerdict {
  bool begins = false;
  ZoneId zone;
  /// Places that stay free over the time of the run; negative where the coming wave takes more than there are.
  double room = 0;
  double online_now = 0;
  double online_expected = 0;
  std::optional<Duration> period;
};

/// Where batch runs may begin so that they need not give way when online load rises. Answers online load that comes in
/// waves beside batch work that is due later: a run that fills a trough and is cut by the next wave is work done twice.
/// A run begins where its place stays free of online requests to its expected end; the less slack the waiting items
/// have at the pace that this allows, the less is kept for a wave, down to nothing: then a run begins wherever a place
/// is free now, as without this. Soft: a new one knows of no wave and holds nothing back. No I/O, no clock. Belongs to
/// one thread.
class TroughScheduler {
 public:
  explicit TroughScheduler(TroughSchedulerLimits limits = {}) : limits_(limits) {}

  /// The load of each zone's engines of the service, several times a second.
  void noteLoad(Instant now, const ServiceId& service, const std::map<ZoneId, ZoneLoad>& zones);
  /// Counts the runs in flight anew. Returns for each waiting item how pressing it is, or one behind it that it is in
  /// the way of: from zero, while it can wait for room that lasts, to one. `whole_time`: of a whole run.
  std::vector<double> plan(Instant now, const std::vector<RunInFlight>& runs, const std::vector<WaitingItem>& waiting,
                           Duration whole_time);
  /// A run has begun since.
  void noteBegun(const RunInFlight& run);

  /// The zone with the most room for a run of this length, of those allowed; the verdict of the best one where none
  /// has room.
  TroughVerdict judge(const ServiceId& service, Duration time_left, double urgency,
                      const std::optional<std::set<ZoneId>>& zones) const;
  /// Nothing for a service whose load is not known.
  bool knows(const ServiceId& service) const { return services_.contains(service); }
  /// Of its most pressing waiting item.
  double urgency(const ServiceId& service) const;
  /// True if not all waiting items can be in time in room that lasts.
  bool isRoomShort(const ServiceId& service) const;
  /// Runs that can be in flight at once without being cut by the greatest load expected.
  double lastingSlots(const ServiceId& service, Duration time_left) const;

 private:
  struct Zone {
    double slots = 0;
    LoadForecaster wave;
    /// Runs that are expected to be in flight when each span begins.
    std::array<double, LoadForecast::kSpans> runs{};
  };
  struct Service {
    std::map<ZoneId, Zone> zones;
    double urgency = 0;
    /// Of the waiting items at the pace of room that lasts, in seconds.
    double least_slack = 0;
    /// Runs in flight, and the time that all of them will still take.
    double runs = 0;
    Duration under_way{};
  };

  static void count(Zone& zone, Duration time_left);
  /// Places of all zones that the online requests expected in the span leave.
  static double placesIn(const Service& service, std::size_t span);
  /// Work of runs in flight beyond the places that last.
  static double workBeyond(const Service& service, double places);
  /// How long the runs in flight keep others from beginning, in seconds.
  static double begunWorkDoneIn(const Service& service, double places);
  TroughVerdict judgeZone(const ZoneId& id, const Zone& zone, Duration time_left, double urgency) const;
  double spareFor(double online) const;
  double urgencyAt(double slack, Duration whole_time) const;

  TroughSchedulerLimits limits_;
  std::map<ServiceId, Service> services_;
};

}  // namespace hatchfork::request
