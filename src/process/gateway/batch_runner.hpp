#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "connection/engine_attempt.hpp"
#include "connection/http_client.hpp"
#include "process/gateway/batch_item_run.hpp"
#include "process/gateway/service_traffic.hpp"
#include "process/subscription/control_client.hpp"
#include "request/batch/lease_demand.hpp"
#include "request/batch/lease_pacer.hpp"

namespace hatchfork::gateway {

struct BatchRunnerOptions {
  GatewayId gateway;
  std::uint64_t session = 0;
  std::uint32_t batch_groups = 2;
  Duration engine_timeout = fromMillis(10000);
};

/// Leases batch items from the batch groups and runs them in the capacity that online work leaves idle. An item is
/// named as held until the reply to its completion has come. Traffic thread only.
class BatchRunner {
 public:
  BatchRunner(BatchRunnerOptions options, TrafficState& traffic, connection::HttpClient& client,
              connection::ControlClient& control);

  /// Runs until `stop`.
  connection::Awaitable<void> run();
  /// Ends the streams of these attempts at once; their items keep their tokens and go on later.
  void pause(const std::vector<request::AttemptId>& attempts);
  /// Only these groups are asked for items; what is held elsewhere is still renewed.
  void setBusyGroups(const std::vector<GroupId>& groups);
  /// A job was sealed in the group just now, so it is asked for items before the next hint comes.
  void noteSealed(GroupId group);
  /// Takes no new items, gives back what has not started, lets running items end. For planned stops.
  void startDraining();
  /// True when nothing is held any more.
  bool isDrained() const;
  std::size_t heldItems() const;

 private:
  using ItemPtr = std::shared_ptr<BatchItemRun>;

  static constexpr Duration kControlTimeout = fromMillis(3000);
  /// Before a call that failed is made again.
  static constexpr Duration kRetryPause = fromMillis(200);

  /// One batch group's leases and the ends that wait to be committed.
  struct GroupState {
    Instant lease_until{};
    request::LeasePacer pacer;
    /// The group has unfinished jobs, as far as known.
    bool busy = false;
    bool commit_in_flight = false;
    std::map<JobId, std::vector<batch::ItemOutcome>> outcomes;
    std::map<JobId, std::vector<ItemIndex>> returned;
    std::map<JobId, std::set<ItemIndex>> held;
  };

  void dispatchReady();
  void dispatchService(const ServiceId& service, std::deque<ItemPtr>& ready);
  connection::Awaitable<void> runItem(ItemPtr item, EngineId engine);
  connection::Awaitable<bool> startUnrepeatable(ItemPtr item);
  void finishItem(const ItemPtr& item, const connection::AttemptEnd& end);
  void requeue(const ItemPtr& item);
  void report(const ItemPtr& item, batch::ItemState state, std::string result);
  void release(const ItemPtr& item);

  connection::Awaitable<void> requestLeases(GroupId group, std::vector<control::WantedItems> wanted);
  void takeLeases(GroupId group, const control::LeaseItemsReply& reply);
  void stopJob(const JobId& job, batch::ItemState state);
  void dropGroup(GroupId group);
  connection::Awaitable<void> commitOutcomes(GroupId group);
  request::ServiceBatchLoad loadOf(Instant now, const ServiceId& service, const ServiceTraffic& traffic) const;
  std::vector<control::WantedItems> wantedItems(Instant now) const;
  control::LeaseItemsRequest makeLeaseRequest(GroupId group, std::vector<control::WantedItems> wanted) const;
  void returnStranded(Instant now);
  /// Gives back the items whose start is not committed.
  void returnUnstarted(std::deque<ItemPtr>& ready);

  BatchRunnerOptions options_;
  TrafficState& traffic_;
  connection::HttpClient& client_;
  connection::ControlClient& control_;
  std::map<GroupId, GroupState> groups_;
  std::map<ServiceId, std::deque<ItemPtr>> ready_;
  std::map<ServiceId, request::StrandedItemDetector> stranded_;
  std::map<request::AttemptId, ItemPtr> running_;
  request::AttemptId last_attempt_ = 0;
  bool draining_ = false;
  bool dispatching_ = false;
};

}  // namespace hatchfork::gateway
