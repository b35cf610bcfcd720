#include "process/store/text_requests.hpp"

#include <utility>

namespace hatchfork::store {
namespace {

/// Bytes that may be under way to the leader: some milliseconds of reading on a third of a core.
constexpr std::uint64_t kMaxRequestedBytes = 64 * 1024;
/// Counted for each text beside its bytes.
constexpr std::uint64_t kBytesPerText = 256;
/// A text that has not arrived after this long was lost with its connection.
constexpr Duration kAnswerTimeout = fromMillis(2000);

}  // namespace

void TextRequests::add(NeededText text, bool is_first) {
  offsets_[text.request.number] = text.request.offset;
  if (is_first) {
    waiting_.push_front(std::move(text));
  } else {
    waiting_.push_back(std::move(text));
  }
}

std::vector<NeededText> TextRequests::takeNext(Instant now) {
  std::vector<NeededText> next;
  while (!waiting_.empty()) {
    const std::uint64_t number = waiting_.front().request.number;
    const std::uint64_t bytes = waiting_.front().bytes + kBytesPerText;
    // A text that is larger than the bound is requested alone.
    if (requested_bytes_ > 0 && requested_bytes_ + bytes > kMaxRequestedBytes) break;
    NeededText text = std::move(waiting_.front());
    waiting_.pop_front();
    if (!needs(number)) continue;
    requested_[number] = Requested{bytes, now};
    requested_bytes_ += bytes;
    next.push_back(std::move(text));
  }
  return next;
}

bool TextRequests::remove(std::uint64_t number) {
  const auto requested = requested_.find(number);
  if (requested != requested_.end()) {
    requested_bytes_ -= requested->second.bytes;
    requested_.erase(requested);
  }
  return offsets_.erase(number) > 0;
}

std::vector<std::uint64_t> TextRequests::overdue(Instant now) const {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, text] : requested_) {
    if (now > text.requested_at + kAnswerTimeout) numbers.push_back(number);
  }
  return numbers;
}

std::uint64_t TextRequests::offsetOf(std::uint64_t number) const {
  const auto found = offsets_.find(number);
  return found == offsets_.end() ? 0 : found->second;
}

void TextRequests::clear() {
  waiting_.clear();
  requested_.clear();
  requested_bytes_ = 0;
  offsets_.clear();
}

}  // namespace hatchfork::store
