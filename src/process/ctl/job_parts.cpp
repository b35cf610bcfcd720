#include "process/ctl/job_parts.hpp"

#include <algorithm>

namespace hatchfork::ctl {

std::vector<JobPart> splitIntoParts(std::string_view text, const PartLimits& limits) {
  std::vector<JobPart> parts;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.find_first_not_of(" \t\r") == std::string_view::npos) continue;
    const bool is_full = !parts.empty() && (parts.back().items >= limits.items ||
                                            parts.back().lines.size() + line.size() + 1 > limits.bytes);
    if (parts.empty() || is_full) parts.emplace_back();
    parts.back().lines += line;
    parts.back().lines += '\n';
    ++parts.back().items;
  }
  return parts;
}

}  // namespace hatchfork::ctl
