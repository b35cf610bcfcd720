#pragma once

#include <string>
#include <string_view>

namespace hatchfork {

/// Empties a text and gives its memory back; assigning an empty string would keep the buffer.
inline void releaseMemory(std::string& text) {
  std::string().swap(text);
}

/// Adds to a text that is kept for long, without the spare room that `+=` leaves behind.
inline void appendExactly(std::string& text, std::string_view more) {
  std::string joined;
  joined.reserve(text.size() + more.size());
  joined.append(text).append(more);
  text.swap(joined);
}

}  // namespace hatchfork
