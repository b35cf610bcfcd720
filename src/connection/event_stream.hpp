#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hatchfork::connection {

/// One whole event of a `text/event-stream`.
struct StreamEvent {
  /// As received, with the empty line that ends it.
  std::string bytes;
  std::optional<std::uint64_t> id;
  /// Its data lines, joined by line feeds; without any, the event is part of no text.
  std::string data;
  bool has_data = false;
};

/// Cuts a stream of bytes into whole events. Bytes of an event that has not ended stay inside.
class EventSplitter {
 public:
  void append(std::string_view bytes);
  /// The next whole event; nothing until more bytes come.
  std::optional<StreamEvent> next();
  /// True if bytes of an unfinished event are held.
  bool hasPartial() const { return position_ < buffer_.size(); }
  std::size_t heldBytes() const { return buffer_.size() - position_; }
  void clear();
  /// Records that an event was of use to the reader.
  void noteUseful() {
    useless_bytes_ = 0;
    useless_events_ = 0;
  }
  /// True if bytes came since the last useful event.
  bool hasUseless() const { return useless_bytes_ > 0; }
  /// True if so many bytes or events came without a useful event that the stream is no answer.
  bool isUseless() const;

 private:
  std::string buffer_;
  std::size_t position_ = 0;
  /// Position up to which the unfinished event has no end.
  std::size_t searched_ = 0;
  /// Number of bytes since the last useful event.
  std::size_t useless_bytes_ = 0;
  std::size_t useless_events_ = 0;
};

}  // namespace hatchfork::connection
