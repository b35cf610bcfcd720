#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "process/batch/batch_state_machine.hpp"
#include "process/consensus/state_machine.hpp"
#include "process/control/control_messages.hpp"

namespace hatchfork::batch {

/// Maximum size in bytes of the item names and bodies in one `LeaseItemsReply`, which may be exceeded by the last item.
constexpr std::size_t kMaxLeaseBytes = 2u << 20;

struct ItemLeasesOptions {
  /// Time for which an item stays leased after the last request that listed the item.
  Duration lease = std::chrono::seconds(5);
  /// Time for which a new leader grants no leases, so that sessions can list the items leased by the former leader.
  /// A value of at least `lease` prevents items from running twice after a leader change.
  Duration grace = std::chrono::seconds(5);
  /// Consensus term of the leader: attempt numbers of a later term are higher.
  consensus::Term term = 1;
  /// Time at which the leader was elected.
  Instant started;
};

/// The soft state of the leader of a batch group: which gateway session may run which items, and until when. Created
/// for each leadership and discarded at its end. Safety does not depend on this state: the first committed outcome of
/// an item wins, and unrepeatable items are started by a commit. A gateway must list an item in `holding` until the
/// reply to its completion has arrived: an item that its session has not listed for the length of a lease is leasable
/// again. Cost grows with leased items and with jobs that have leasable items, not with finished jobs. Threading:
/// control thread only.
class ItemLeases {
 public:
  explicit ItemLeases(ItemLeasesOptions options);

  /// Renews the items that the session lists, adopts listed items that no other session holds, then leases up to the
  /// wanted number of new items: tenants are served round-robin, each tenant's jobs in order of deadline.
  control::LeaseItemsReply lease(Instant now, const control::LeaseItemsRequest& request,
                                 const BatchStateMachine& machine);
  /// Makes items leasable again that a session returned without running them.
  void giveBack(const GatewayId& gateway, std::uint64_t session, const JobId& job,
                const std::vector<ItemIndex>& returned, const BatchStateMachine& machine);
  /// Frees the items of sessions that sent no request for a lease length. Returns `outcome_unknown` outcomes, ready to
  /// be proposed, for started items whose lease expired; the caller sets `now`. The same outcome is not returned again
  /// before a lease length has passed.
  std::vector<control::CompleteItemsRequest> expire(Instant now, const BatchStateMachine& machine);

  std::size_t leasedItems() const;
  std::size_t sessions() const { return sessions_.size(); }

 private:
  struct SessionKey {
    GatewayId gateway;
    std::uint64_t session = 0;
    auto operator<=>(const SessionKey&) const = default;
  };
  struct ItemLease {
    SessionKey holder;
    AttemptNumber attempt = 0;
    Instant renewed_at;
  };
  struct ItemKey {
    JobNumber job = 0;
    ItemIndex index = 0;
    auto operator<=>(const ItemKey&) const = default;
  };
  /// Orders jobs by deadline, then by age.
  struct JobOrder {
    WallMillis deadline = 0;
    JobNumber job = 0;
    auto operator<=>(const JobOrder&) const = default;
  };
  struct JobLeases {
    /// All items below this index were leased, or were found leased or terminal, at least once.
    ItemIndex cursor = 0;
    /// Freed items with their last assigned attempt number.
    std::map<ItemIndex, AttemptNumber> freed;
    std::map<ItemIndex, ItemLease> leased;
  };
  using JobQueue = std::set<JobOrder>;
  struct ServiceQueue {
    std::map<TenantId, JobQueue> tenants;
    /// The tenant that was served last.
    TenantId last_served;
  };

  struct SessionState {
    std::set<ItemKey> items;
    Instant last_request;
  };
  /// State of one call of `lease`: the number of items still wanted and the size of the items leased so far.
  struct LeaseGrant {
    Instant now;
    SessionKey session;
    const BatchStateMachine& machine;
    control::LeaseItemsReply& reply;
    std::uint32_t wanted = 0;
    std::size_t bytes = 0;
    bool isFull() const { return wanted == 0 || bytes >= kMaxLeaseBytes; }
  };

  void enqueueSealedJobs(const BatchStateMachine& machine);
  void renew(Instant now, const SessionKey& session, const control::LeaseItemsRequest& request,
             const BatchStateMachine& machine, control::LeaseItemsReply& reply);
  void renewItem(Instant now, const SessionKey& session, const Job& job, ItemIndex index);
  void addToSession(Instant now, const SessionKey& session, ItemKey item);
  /// Frees the items that the session has not listed for a lease length, and drops terminal items.
  void dropExpired(Instant now, const SessionKey& session, const BatchStateMachine& machine);
  void serveService(LeaseGrant& grant, ServiceQueue& queue);
  void serveTenant(LeaseGrant& grant, JobQueue& queue, std::uint32_t share);
  std::uint32_t serveJob(LeaseGrant& grant, const Job& job, std::uint32_t most);
  std::optional<LeasedItem> takeItem(LeaseGrant& grant, const Job& job, JobLeases& leases);
  void free(const Job& job, ItemIndex index, AttemptNumber attempt);
  void enqueue(const Job& job);
  void removeFromSession(const SessionKey& session, ItemKey item);
  bool holderIsLive(Instant now, const Job& job, ItemIndex index, const StartRecord& record) const;
  void reportLostStarts(Instant now, const Job& job, std::vector<control::CompleteItemsRequest>& reports);

  ItemLeasesOptions options_;
  AttemptNumber attempt_base_;
  std::uint64_t seen_seal_sequence_ = 0;
  std::map<JobNumber, JobLeases> jobs_;
  std::map<SessionKey, SessionState> sessions_;
  std::map<ServiceId, ServiceQueue> queues_;
  std::map<ItemKey, Instant> reported_;
};

}  // namespace hatchfork::batch
