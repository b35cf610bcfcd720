#include "common/json_bounds.hpp"

namespace hatchfork {

bool isWithinJsonBounds(std::string_view text) {
  std::size_t depth = 0;
  std::size_t values = 1;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') in_string = !in_string;
    if (in_string && c == '\\') ++i;
    if (in_string) continue;
    if (c == '[' || c == '{') ++depth;
    if ((c == ']' || c == '}') && depth > 0) --depth;
    if (c == '[' || c == '{' || c == ',') ++values;
    if (depth > kMaxJsonDepth || values > kMaxJsonValues) return false;
  }
  return true;
}

}  // namespace hatchfork
