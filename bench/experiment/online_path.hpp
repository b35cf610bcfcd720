#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "bench/experiment/fleet_context.hpp"
#include "bench/experiment/stream_delivery.hpp"
#include "bench/experiment/workload.hpp"
#include "request/limits/tenant_limiter.hpp"
#include "request/service_decisions.hpp"

namespace hatchfork::experiment {

/// The tenant of all callers and jobs of an experiment.
inline const TenantId kExperimentTenant("experiment");

using DecisionsList = std::vector<std::unique_ptr<request::ServiceDecisions>>;

/// Observes answers as callers get them; for tests.
struct CallerObserver {
  std::function<void(WorkId work, std::uint32_t token_index)> on_token = [](WorkId, std::uint32_t) {};
  std::function<void(WorkId work, OnlineEnd end, const Error& error)> on_end = [](WorkId, OnlineEnd, const Error&) {};
};

/// Attempts and refusals of one gateway's online requests.
struct OnlineCounters {
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
};

/// The online side of a virtual gateway: what `gateway::OnlineHandler` does, on virtual time, with the same decisions.
class OnlinePath {
 public:
  using PauseHandler = std::function<void(std::size_t service, const std::vector<request::AttemptId>&)>;

  /// `receiver` is the gateway that hands on what engines send.
  OnlinePath(FleetContext& context, ZoneId zone, DecisionsList& decisions, request::TenantLimiter& limiter,
             StreamReceiver& receiver, PauseHandler pause);

  /// A request has reached the gateway. Its arrival must outlive the path.
  void arrive(WorkId work, const OnlineArrival& arrival, bool lease_in_force);
  void receive(const StreamDelivery& delivery);
  /// The caller closed its connection.
  void abandon(WorkId work);
  /// Ends the account of requests that are still in flight.
  void closeAccounts();

  void setObserver(CallerObserver observer) { observer_ = std::move(observer); }
  const OnlineCounters& counters() const { return counters_; }
  std::size_t underWay() const { return calls_.size(); }

 private:
  struct Call {
    const OnlineArrival* arrival = nullptr;
    WorkId work = 0;
    request::RequestTraits traits;
    request::RouteRequest route;
    request::AttemptFailure failure;
    /// Tokens passed on to the caller.
    std::uint32_t tokens = 0;
    Instant last_token_at{};
    /// The attempt in flight.
    request::AttemptId attempt = 0;
    request::RoutedAttempt routed;
    Instant attempt_started{};
    Instant heard_at{};
    bool attempt_answered = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  request::ServiceDecisions& decisionsOf(const Call& call) { return *decisions_[call.arrival->service]; }
  void startAttempt(const CallPtr& call);
  void watchSilence(const CallPtr& call);
  void passToken(Call& call, std::uint32_t token_index);
  void endAttempt(Call& call, request::AttemptResult result);
  void failAttempt(const CallPtr& call, request::FailurePoint point, std::string cause);
  void finish(const CallPtr& call, OnlineEnd end, const Error& error);
  void refuseAtDoor(WorkId work, const OnlineArrival& arrival, const Error& error);

  FleetContext& context_;
  ZoneId zone_;
  DecisionsList& decisions_;
  request::TenantLimiter& limiter_;
  StreamReceiver& receiver_;
  PauseHandler pause_;
  CallerObserver observer_;
  OnlineCounters counters_;
  std::unordered_map<request::AttemptId, CallPtr> attempts_;
  std::unordered_map<WorkId, CallPtr> calls_;
};

}  // namespace hatchfork::experiment
