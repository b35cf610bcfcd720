#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/engine_attempt.hpp"
#include "process/batch/batch_types.hpp"
#include "request/batch/batch_admission.hpp"
#include "request/routing/router.hpp"
#include "version/policy/policy_types.hpp"

namespace hatchfork::gateway {

/// One leased item at this gateway, over all its attempts here. Lives until its end is committed or its lease is lost.
struct BatchItemRun {
  GroupId group = 0;
  JobId job;
  batch::JobSpec spec;
  batch::LeasedItem leased;
  std::string request_id;
  std::string path;
  /// By the policy in force when the item was leased; orders the items that wait here.
  PolicyUrgency urgency = PolicyUrgency::kNormal;
  /// What the attempts so far have produced; the next one resumes after it.
  std::string text;
  std::uint32_t tokens = 0;
  /// Build of the engine that writes the text.
  EngineBuild build;
  std::vector<EngineId> failed_engines;
  std::uint32_t failures = 0;
  /// Set while the item waits after a pause.
  std::optional<request::PausedPlacement> paused;
  /// Not before this time, after a failure.
  Instant not_before{};
  /// The start of an unrepeatable item was committed for this gateway.
  bool start_committed = false;
  /// An unrepeatable item was sent to an engine: never again.
  bool sent = false;
  request::AttemptId attempt_id = 0;
  /// The router's account of the attempt in flight.
  request::RoutedAttempt routed;
  /// The running attempt; null between attempts.
  std::shared_ptr<connection::EngineAttempt> attempt;
  /// Set while an attempt is being ended: what the item becomes then.
  enum class Stop : std::uint8_t { kNone, kPause, kCancelJob, kDrop };
  Stop stop = Stop::kNone;
};

/// Sets the build of the engine that runs the item next. Text of another build is dropped, so that the item starts from
/// the beginning there.
void continueAtBuild(BatchItemRun& item, EngineBuild build);

/// Checks an item's body and finds the engine path for it: "/v1/chat/completions" with messages, else
/// "/v1/completions".
std::string pathOfItemBody(const std::string& body);

}  // namespace hatchfork::gateway
