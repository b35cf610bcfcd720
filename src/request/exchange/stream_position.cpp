#include "request/exchange/stream_position.hpp"

#include <charconv>
#include <utility>

namespace hatchfork::request {
namespace {

/// Answers that engines have closed, and none with a frame, before they are taken for engines that always close: an
/// engine that breaks off does so now and then.
constexpr std::uint32_t kClosesToBelieve = 8;

}  // namespace

std::optional<std::uint64_t> parseEventId(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

EventPlace StreamPosition::take(std::optional<std::uint64_t> id, bool has_data) {
  if (!id && !has_data) return EventPlace::kNext;
  if (!id && last_ && !is_placed_) return EventPlace::kUnknown;
  if (id && last_ && *id <= *last_) {
    is_placed_ = id == last_;
    return EventPlace::kRepeated;
  }
  if (id && last_ && *id > *last_ + 1) {
    is_placed_ = false;
    return EventPlace::kGap;
  }
  if (id) last_ = id;
  if (id) is_placed_ = true;
  if (!id) is_nameable_ = false;
  if (std::exchange(close_is_open_, false)) was_asked_again_ = true;
  return EventPlace::kNext;
}

TextEnd StreamPosition::judgeEnd(AnswerEnd end, const AnswerFraming& framing) {
  if (end == AnswerEnd::kFramed || (close_is_open_ && framing.closesProve())) return TextEnd::kWhole;
  if (std::exchange(close_is_open_, false) || was_asked_again_) {
    was_asked_again_ = true;
    return TextEnd::kBroken;
  }
  close_is_open_ = true;
  return TextEnd::kUnproved;
}

void AnswerFraming::note(AnswerEnd end) {
  if (end == AnswerEnd::kFramed) has_frames_ = true;
  if (end == AnswerEnd::kClosed) ++closes_;
}

bool AnswerFraming::closesProve() const {
  return !has_frames_ && closes_ >= kClosesToBelieve;
}

}  // namespace hatchfork::request
