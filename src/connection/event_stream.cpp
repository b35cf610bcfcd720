#include "connection/event_stream.hpp"

#include "request/exchange/stream_position.hpp"

namespace hatchfork::connection {
namespace {

/// Much more than a whole event, or the events that an engine may repeat.
constexpr std::size_t kMostUselessBytes = 1u << 20;
constexpr std::size_t kMostUselessEvents = 4096;

/// Value of a "name: value" or "name:value" line; nothing for other lines.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name) {
  if (!line.starts_with(name)) return std::nullopt;
  line.remove_prefix(name.size());
  if (!line.starts_with(':')) return std::nullopt;
  line.remove_prefix(1);
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

/// Reads the lines of one event.
void readFields(StreamEvent& event) {
  std::string_view rest = event.bytes;
  while (!rest.empty()) {
    const std::size_t end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (const auto data = fieldValue(line, "data")) {
      if (event.has_data) event.data += '\n';
      event.data.append(*data);
      event.has_data = true;
    } else if (const auto id = fieldValue(line, "id")) {
      if (const auto number = request::parseEventId(*id)) event.id = number;
    }
  }
}

}  // namespace

void EventSplitter::append(std::string_view bytes) {
  buffer_.erase(0, position_);
  searched_ -= position_;
  position_ = 0;
  buffer_.append(bytes);
  useless_bytes_ += bytes.size();
}

bool EventSplitter::isUseless() const {
  return useless_bytes_ > kMostUselessBytes || useless_events_ > kMostUselessEvents;
}

std::optional<StreamEvent> EventSplitter::next() {
  std::size_t search = searched_;
  while (true) {
    const std::size_t end = buffer_.find('\n', search);
    searched_ = end == std::string::npos ? buffer_.size() : end;
    if (end == std::string::npos) return std::nullopt;
    // An event ends with an empty line, which may have a carriage return.
    std::size_t after = end + 1;
    if (after < buffer_.size() && buffer_[after] == '\r') ++after;
    if (after >= buffer_.size()) return std::nullopt;
    if (buffer_[after] != '\n') {
      search = end + 1;
      continue;
    }
    StreamEvent event;
    event.bytes = buffer_.substr(position_, after + 1 - position_);
    position_ = after + 1;
    searched_ = position_;
    if (position_ == buffer_.size()) clear();
    readFields(event);
    ++useless_events_;
    return event;
  }
}

void EventSplitter::clear() {
  buffer_.clear();
  position_ = 0;
  searched_ = 0;
}

}  // namespace hatchfork::connection
