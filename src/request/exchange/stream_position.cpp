#include "request/exchange/stream_position.hpp"

#include <charconv>
#include <utility>

namespace hatchfork::request {

std::optional<std::uint64_t> parseEventId(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

EventPlace StreamPosition::take(std::optional<std::uint64_t> id, bool has_data) {
  if (!id && !has_data) return EventPlace::kNext;
  if (!id && last_ && !is_aligned_) {
    noteMoreFollows();
    return EventPlace::kUnknown;
  }
  if (id && last_ && *id <= *last_) {
    is_aligned_ = id == last_;
    has_repeated_ = true;
    return EventPlace::kRepeated;
  }
  if (id && last_ && *id > *last_ + 1) {
    is_aligned_ = false;
    noteMoreFollows();
    return EventPlace::kGap;
  }
  if (!build_) build_ = answering_build_;
  if (id) last_ = id;
  if (id) is_aligned_ = true;
  if (!id) is_resumable_ = false;
  noteMoreFollows();
  return EventPlace::kNext;
}

TextEnd StreamPosition::judgeEnd(AnswerEnd end) {
  if (end == AnswerEnd::kFramed) return TextEnd::kWhole;
  const bool ended_early = has_repeated_ && !is_aligned_;
  if (ended_early) return TextEnd::kBroken;
  const bool is_confirmed = std::exchange(has_close_, true);
  if (!hasText()) return TextEnd::kBroken;
  if (is_confirmed) return TextEnd::kWhole;
  return has_disproved_close_ ? TextEnd::kBroken : TextEnd::kUnproved;
}

}  // namespace hatchfork::request
