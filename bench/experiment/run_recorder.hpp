#pragma once

#include <cstdint>
#include <vector>

#include "bench/load/check/latency_summary.hpp"
#include "common/time.hpp"

namespace hatchfork::experiment {

/// How an online request ended for its caller.
enum class OnlineEnd : std::uint8_t {
  kCompleted,
  /// A final answer that says "not run", before any token.
  kRefused,
  /// A typed failure after it may have run, or a broken stream.
  kFailed,
  /// The caller went away.
  kAbandoned,
  /// Still in flight when the run was cut off.
  kUnfinished,
};

/// What callers and batch owners of one service saw. Requests that arrived outside the measured time are not counted.
class RunRecorder {
 public:
  RunRecorder(Instant measured_from, Instant measured_to) : from_(measured_from), to_(measured_to) {}

  bool isMeasured(Instant at) const { return at >= from_ && at < to_; }
  void recordFirstToken(Instant sent_at, Duration taken);
  void recordBetweenTokens(Instant sent_at, Duration taken);
  void recordOnlineToken(Instant sent_at) { online_tokens_ += isMeasured(sent_at) ? 1 : 0; }
  void recordEnd(Instant sent_at, OnlineEnd end, bool deadline_missed);
  /// A token of a batch answer that its owner did not have yet.
  void recordBatchToken(Instant now, double idle_share);

  const load::LatencySummary& firstToken() const { return first_token_; }
  const load::LatencySummary& betweenTokens() const { return between_tokens_; }
  std::uint64_t requests() const { return requests_; }
  std::uint64_t count(OnlineEnd end) const { return ends_[static_cast<std::size_t>(end)]; }
  std::uint64_t deadlineMisses() const { return deadline_misses_; }
  std::uint64_t onlineTokens() const { return online_tokens_; }
  std::uint64_t batchTokens() const { return batch_tokens_; }
  /// The part of `batchTokens` that was made from idle capacity (see `IdleMeter`).
  double batchTokensFromIdle() const { return batch_tokens_from_idle_; }
  double measuredSeconds() const { return toSeconds(to_ - from_); }

 private:
  Instant from_;
  Instant to_;
  load::LatencySummary first_token_;
  load::LatencySummary between_tokens_;
  std::vector<std::uint64_t> ends_ = std::vector<std::uint64_t>(5, 0);
  std::uint64_t requests_ = 0;
  std::uint64_t deadline_misses_ = 0;
  std::uint64_t online_tokens_ = 0;
  std::uint64_t batch_tokens_ = 0;
  double batch_tokens_from_idle_ = 0;
};

}  // namespace hatchfork::experiment
