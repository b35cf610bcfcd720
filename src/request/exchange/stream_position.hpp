#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "common/ids.hpp"

namespace hatchfork::request {

/// Parses an event identifier from a header field or an event; absent unless the text is a decimal number.
std::optional<std::uint64_t> parseEventId(std::string_view text);

/// Position of an engine's event relative to the events that the reader has.
enum class EventPlace {
  /// The event follows the last one that the reader has.
  kNext,
  /// The reader has the event already.
  kRepeated,
  /// Events between the last one that the reader has and this one are missing.
  kGap,
  /// The event has no identifier, and no earlier event of this answer determines its position.
  kUnknown,
};

/// How an engine's answer ended where no event was incomplete.
enum class AnswerEnd {
  /// By its content length or its last chunk.
  kFramed,
  /// By closing the connection, without a content length or chunks.
  kClosed,
};

/// What the end of an answer implies for the text.
enum class TextEnd {
  kWhole,
  /// The answer has no length and ended by a close, which may also be a break: another answer can settle it.
  kUnproved,
  /// The same, but it proves nothing: an earlier close turned out to be a break, the answer ended before the last event
  /// that the reader has, or the text has no event.
  kBroken,
};

/// Position of a reader in a generated text, which build of the engines' software writes the text, and whether the text
/// is complete. Every attempt at an engine starts from this position and goes to an engine of this build, and every
/// event and end is checked against it, for online streams and batch items alike. The identifiers of a text's events
/// count up by one. Lives as long as the request or the run.
class StreamPosition {
 public:
  /// `reader_has`: last event that the reader received earlier; absent if there is none. `ended_by_close`: the previous
  /// answer ended there by an unproved close. `build`: build that wrote these events; absent if there are none, and if
  /// any engine may continue them.
  explicit StreamPosition(std::optional<std::uint64_t> reader_has = std::nullopt, bool ended_by_close = false,
                          std::optional<EngineBuild> build = std::nullopt)
      : last_(reader_has), build_(std::move(build)), has_close_(ended_by_close) {}

  /// Starts a new answer of an engine of this build, which was requested from the event after `last`.
  void beginAnswer(EngineBuild build) {
    is_aligned_ = false;
    has_repeated_ = false;
    answering_build_ = std::move(build);
  }
  /// Classifies an event, and advances the position if the event is the next one. An event without data is not part of
  /// the text.
  EventPlace take(std::optional<std::uint64_t> id, bool has_data);
  /// Classifies the end of an answer. A framed end proves that the text is complete. So does a close at the same event
  /// as the previous close, unless there is no event. Must not be called for a close by an engine that has crashed.
  TextEnd judgeEnd(AnswerEnd end);
  /// Notes that the text goes on after the last event, although no further event came whole.
  void noteMoreFollows() {
    if (std::exchange(has_close_, false)) has_disproved_close_ = true;
  }

  /// Event after which the next attempt resumes; absent if the attempt starts from the first event.
  std::optional<std::uint64_t> last() const { return last_; }
  /// Build that has to write the rest of the text; absent before the first event.
  const std::optional<EngineBuild>& build() const { return build_; }
  /// False once an event without an identifier was accepted: no later attempt can resume after it.
  bool canResume() const { return is_resumable_; }
  /// True after an unproved close, until another event arrives.
  bool mayBeComplete() const { return has_close_ && !has_disproved_close_ && hasText(); }

 private:
  bool hasText() const { return last_ || !is_resumable_; }

  std::optional<std::uint64_t> last_;
  std::optional<EngineBuild> build_;
  /// Build of the engine that sends the current answer.
  EngineBuild answering_build_;
  /// The last event that the reader has was seen in this answer, so an event without an identifier that follows is the
  /// next one.
  bool is_aligned_ = false;
  bool is_resumable_ = true;
  /// The current answer has repeated events that the reader has.
  bool has_repeated_ = false;
  /// The previous answer was closed after the last event that the reader has.
  bool has_close_ = false;
  /// An event followed one after which an answer was closed.
  bool has_disproved_close_ = false;
};

}  // namespace hatchfork::request
