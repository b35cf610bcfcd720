#pragma once

/// Gateway-side client of the trial leases that the leader of the stores grants.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "connection/asio.hpp"
#include "process/exchange/store_client.hpp"
#include "request/crash/request_fingerprint.hpp"

namespace hatchfork::exchange {

struct TrialClientCounters {
  std::uint64_t granted = 0;
  /// Denied by the leader, or from a recent denial.
  std::uint64_t denied = 0;
  /// Requests without an answer of a leader.
  std::uint64_t unanswered = 0;
};

/// Answer to the request for a trial lease.
struct TrialAnswer {
  bool is_granted = false;
  /// False if no leader has answered.
  bool is_answered = false;
  /// Time after which to request the lease again, if it was not granted.
  Duration ask_again{};
};

/// Requests the lease that a request needs to run if it is likely to crash its engine. Not thread-safe.
class TrialClient {
 public:
  TrialClient(connection::asio::io_context& context, StoreClient& stores) : context_(context), stores_(stores) {}

  /// `holder` names the run that the lease is for, and `request` the caller's request in logs.
  connection::Awaitable<TrialAnswer> request(request::RequestFingerprint content, std::string holder,
                                             std::string request);
  /// Ends a lease that was granted for a run that was never sent to an engine.
  void endUnused(request::RequestFingerprint content, std::string holder);
  /// Forgets denials that are over; call about once a second.
  void expire(Instant now);
  const TrialClientCounters& counters() const { return counters_; }

 private:
  static StoreCallLimits limitsFrom(Instant now);
  TrialAnswer take(Instant now, const request::RequestFingerprint& content, const store::StoreReply& reply);

  connection::asio::io_context& context_;
  StoreClient& stores_;
  /// Denials, so that many callers of one content cause one question to the leader.
  std::map<request::RequestFingerprint, Instant> denied_until_;
  TrialClientCounters counters_;
};

}  // namespace hatchfork::exchange
