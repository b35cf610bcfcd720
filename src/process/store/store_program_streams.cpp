#include <algorithm>

#include "common/log.hpp"
#include "process/store/store_program.hpp"

// Records of streams, kept for the gateways.
namespace hatchfork::store {

using connection::monotonicNow;
using fleet::FleetMessage;

namespace {

/// Bounds the time that a gateway may ask for.
constexpr Duration kMaxLifetime = std::chrono::minutes(2);

}  // namespace

void StoreProgram::onStreamNotes(const fleet::StreamNotesFrame& frame) {
  const Instant now = monotonicNow();
  for (const fleet::StreamNote& note : frame.notes) {
    const Duration lifetime = std::clamp(fromMillis(note.lifetime_ms), Duration::zero(), kMaxLifetime);
    streams_.put(note.record, now + lifetime);
  }
}

void StoreProgram::onStreamQuestion(const fleet::StreamQuestionFrame& frame, const ConnectionPtr& from) {
  const Instant now = monotonicNow();
  const request::StreamRecord* record = streams_.find(now, frame.stream);
  fleet::StreamAnswerFrame answer;
  answer.number = frame.number;
  answer.is_recorded = record != nullptr && record->service == frame.service;
  if (answer.is_recorded) answer.build = record->build;
  answer.has_one_build = feed_->hasCurrentBuilds(now) && !feed_->view().mixed_services.contains(frame.service);
  logEvent(LogLevel::kInfo, "stream_asked_for",
           {{"stream", frame.stream.value},
            {"service", frame.service.value},
            {"recorded", answer.is_recorded},
            {"build", answer.build.value},
            {"one_build", answer.has_one_build}});
  from->send(encodeTagged(FleetMessage(answer)));
}

}  // namespace hatchfork::store
