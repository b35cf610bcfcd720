#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "process/fleet/placement_messages.hpp"
#include "process/metrics/metrics_page.hpp"
#include "request/admission/load_features.hpp"
#include "request/admission/zone_queue.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/load_table.hpp"
#include "version/engine_record.hpp"

namespace hatchfork::store {

struct PlacementCounters {
  std::uint64_t placed = 0;
  /// Requests in `placed` for which a batch run was preempted.
  std::uint64_t preempted = 0;
  /// Requests in `placed` that were sent to an engine without a free slot, since no engine of the service was reported
  /// to have one.
  std::uint64_t placed_without_free_slot = 0;
  /// Requests for which there was no usable engine.
  std::uint64_t unplaced = 0;
  /// Requests that entered the queue; of these, the requests that got a slot, and the requests that left the queue
  /// without an answer (withdrawn, or the gateway disconnected).
  std::uint64_t queued_total = 0;
  std::uint64_t placed_from_queue = 0;
  std::uint64_t left_queue = 0;
  /// Requests refused because they could not meet their deadline: on arrival, and after having waited in the queue.
  std::uint64_t refused = 0;
  std::uint64_t refused_from_queue = 0;
  metrics::LatencyHistogram queue_wait;
};

/// Places the online requests of all gateways of a zone, so that each slot of the zone's engines is assigned once.
/// Gateways that choose independently learn of each other's choices too late, and queue at one engine while another
/// engine has a free slot. The load of other zones and of batch runs comes from the load totals. The state is soft:
/// gateways report all their requests to a new placement service. No I/O, no clock. Not thread-safe.
///
/// Where engines report their speed, requests of gateways that support queueing wait here once no engine has a free
/// slot, and get the next slot that is released. The gateways keep the requests themselves: a gateway that receives no
/// queue update for a short time chooses an engine itself, and reports the request as ended.
class PlacementService {
 public:
  /// Requests the preemption of a batch run at an engine.
  using PreemptFunction = std::function<void(const EngineId& engine)>;
  /// Sends a deferred answer to the gateway at the other end of a connection.
  using AnswerFunction = std::function<void(const void* connection, const fleet::PlacementAnswer& answer)>;

  /// `zone`: zone of this store. Cold engines of that zone receive requests through this service only.
  PlacementService(std::uint64_t seed, ZoneId zone, PreemptFunction preempt, request::LoadFeatures features = {});

  /// Requests are queued only if an answer handler is set.
  void setAnswerHandler(AnswerFunction answer) { answer_ = std::move(answer); }
  void takeEngines(Instant now, const EngineChanges& changes);
  void setEvacuated(Instant now, const std::set<ZoneId>& zones) { selector_.setEvacuated(now, zones); }
  void setServices(const std::map<ServiceId, RoutedService>& services) { selector_.setServices(services); }
  /// Replaces the reported load of processes whose requests are not placed by this service.
  void notePeerLoad(Instant now, const std::vector<request::EngineShare>& peers);
  /// Replaces the reported load of batch runs.
  void noteBackground(const std::vector<request::EngineShare>& background) { selector_.noteBackground(background); }
  /// `connection`: identity of the gateway's connection.
  fleet::PlacementAnswer take(Instant now, const fleet::PlacementQuestion& question, const void* connection);
  void take(Instant now, const fleet::PlacementNotes& notes, const void* connection);
  /// Drops the requests of the gateway on a closed connection. They have ended, or the gateway reports them again.
  void drop(Instant now, const void* connection);
  /// Drops gateways that have not reported within their lifetime.
  void expire(Instant now);
  /// Assigns free slots to queued requests and sends queue updates; to be called many times a second.
  void tick(Instant now);

  const PlacementCounters& counters() const { return counters_; }
  std::size_t gateways() const { return gateways_.size(); }
  /// Number of requests in the queues.
  std::size_t queuedRequests() const { return pending_placements_.size(); }

 private:
  struct Gateway {
    const void* connection = nullptr;
    Instant last_received_at{};
    std::map<std::uint64_t, request::TicketId> tickets;
    std::map<std::uint64_t, request::QueueEntryId> queued;
    /// Time of the last queue update sent to the gateway.
    Instant updated_at{};
  };
  struct PendingPlacement {
    fleet::PlacementQuestion question;
  };

  static request::EngineQuery queryOf(const fleet::PlacementQuestion& question);
  Gateway& gatewayOf(Instant now, const std::string& node, const void* connection);
  void begin(Instant now, Gateway& gateway, const fleet::PlacedRequest& request);
  void end(Instant now, Gateway& gateway, std::uint64_t number, request::EngineVerdict verdict);
  void endAll(Instant now, Gateway& gateway);
  void dropIf(Instant now, const std::function<bool(const Gateway&)>& is_gone);
  void noteSpeeds(Instant now, const Gateway& gateway, const std::vector<fleet::ToldPace>& paces);

  /// Places the request at the best engine, with or without a free slot.
  fleet::PlacementAnswer placeAnywhere(Instant now, const fleet::PlacementQuestion& question);
  fleet::PlacementAnswer placeAt(Instant now, const fleet::PlacementQuestion& question,
                                 const request::EngineChoice& choice);
  /// True if the request is queued when no slot is free.
  bool usesQueue(const fleet::PlacementQuestion& question) const;
  fleet::PlacementAnswer placeOrEnqueue(Instant now, Gateway& gateway, const fleet::PlacementQuestion& question);
  /// Returns an engine with a free slot whose detour costs less than waiting `wait_ms` in the queue.
  std::optional<request::EngineChoice> chooseFreeSlot(Instant now, const fleet::PlacementQuestion& question,
                                                      double wait_ms);
  /// True if the engines' own queues serve the request as well as the queue of this service.
  bool hasFastQueues(const fleet::PlacementQuestion& question) const;
  /// Expected wait of a request with `ahead` requests before it; zero if unknown.
  double queueWaitMs(Instant now, const ServiceId& service, std::size_t ahead) const;
  fleet::PlacementAnswer refusal(Instant now, const fleet::PlacementQuestion& question) const;
  /// Assigns free slots to queued requests, and refuses requests that can no longer meet their deadline.
  void serveQueues(Instant now);
  bool serveNext(Instant now, request::ZoneQueue& queue);
  void refuseLate(Instant now, request::ZoneQueue& queue);
  /// Removes a request from the queue, if queued.
  void leaveQueue(Gateway& gateway, std::uint64_t number);
  /// Drops a request that has left the queue, and answers its gateway.
  void answerQueued(request::QueueEntryId number,
                    const std::function<fleet::PlacementAnswer(const PendingPlacement&)>& answer);

  PreemptFunction preempt_;
  AnswerFunction answer_;
  request::LoadFeatures features_;
  ZoneId zone_;
  request::EngineSelector selector_;
  std::map<std::string, Gateway> gateways_;
  std::map<ServiceId, request::ZoneQueue> queues_;
  std::map<request::QueueEntryId, PendingPlacement> pending_placements_;
  request::QueueEntryId last_queue_number_ = 0;
  PlacementCounters counters_;
};

}  // namespace hatchfork::store
