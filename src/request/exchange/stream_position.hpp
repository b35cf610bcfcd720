#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace hatchfork::request {

/// The identifier of an event as it stands in a header field or an event: a decimal number and nothing else.
std::optional<std::uint64_t> parseEventId(std::string_view text);

/// What an event of an engine is to a reader that has part of the text.
enum class EventPlace {
  /// It follows what the reader has.
  kNext,
  /// The reader has it.
  kRepeated,
  /// Events between it and what the reader has are missing.
  kGap,
  /// It has no identifier, and no event of this answer before it tells where it belongs.
  kUnknown,
};

/// How an engine's answer ended where no event was under way.
enum class AnswerEnd {
  /// Its length or its last chunk came.
  kFramed,
  /// The engine closed the connection of an answer that has neither.
  kClosed,
};

/// How the engines of a service end their answers, as seen by one process. Where they give each answer a frame, a close
/// is no end.
class AnswerFraming {
 public:
  void note(AnswerEnd end);
  /// True where the engines close all their answers, so that two answers that are closed at the same event prove a
  /// text.
  bool closesProve() const;

 private:
  bool has_frames_ = false;
  std::uint32_t closes_ = 0;
};

/// What the end of an answer says of the text.
enum class TextEnd {
  kWhole,
  /// A close looks the same at the end of a text and at the end of its engine: another answer can tell.
  kUnproved,
  /// Another answer was asked for and proved nothing either.
  kBroken,
};

/// How far a text has got at the one who reads it, and whether it is whole: the one place that every attempt at an
/// engine starts from and every event and end is checked against, for online streams and batch items. Identifiers of a
/// text's events count up by one. Lives as long as the request or the run.
class StreamPosition {
 public:
  /// `reader_has`: the last event that the reader had before; nothing if it has none. `ended_by_close`: the answer
  /// before ended there by an unproved close.
  explicit StreamPosition(std::optional<std::uint64_t> reader_has = std::nullopt, bool ended_by_close = false)
      : last_(reader_has), close_is_open_(ended_by_close) {}

  /// The next events come from another answer, which was asked to go on after `last`.
  void beginAnswer() { is_placed_ = false; }
  /// Judges an event, and counts it as read if it is the next one. An event without data is part of no text.
  EventPlace take(std::optional<std::uint64_t> id, bool has_data);
  /// Judges the end of an answer. The end of a frame proves a whole text; so does a close at the event where another
  /// answer was closed before, for engines that always close.
  TextEnd judgeEnd(AnswerEnd end, const AnswerFraming& framing);

  /// The event after which the next attempt goes on; nothing for an attempt that begins with the first event.
  std::optional<std::uint64_t> last() const { return last_; }
  /// False once something was read that no event's identifier names.
  bool canResume() const { return is_nameable_; }
  /// True while an unproved close stands and nothing has come since.
  bool mayBeComplete() const { return close_is_open_; }

 private:
  std::optional<std::uint64_t> last_;
  /// An event of this answer was the last one that the reader has: what follows it without an identifier is next.
  bool is_placed_ = false;
  bool is_nameable_ = true;
  bool close_is_open_ = false;
  bool was_asked_again_ = false;
};

}  // namespace hatchfork::request
