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
  if (!id && last_ && !is_aligned_) return EventPlace::kUnknown;
  if (id && last_ && *id <= *last_) {
    is_aligned_ = id == last_;
    return EventPlace::kRepeated;
  }
  if (id && last_ && *id > *last_ + 1) {
    is_aligned_ = false;
    return EventPlace::kGap;
  }
  if (!build_) build_ = answering_build_;
  if (id) last_ = id;
  if (id) is_aligned_ = true;
  if (!id) is_resumable_ = false;
  if (std::exchange(has_close_, false)) has_disproved_close_ = true;
  return EventPlace::kNext;
}

TextEnd StreamPosition::judgeEnd(AnswerEnd end) {
  if (end == AnswerEnd::kFramed || has_close_) return TextEnd::kWhole;
  has_close_ = true;
  return has_disproved_close_ ? TextEnd::kBroken : TextEnd::kUnproved;
}

}  // namespace hatchfork::request
