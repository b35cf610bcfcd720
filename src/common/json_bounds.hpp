#pragma once

#include <cstddef>
#include <string_view>

namespace hatchfork {

/// Bounds of the JSON text that a process takes from outside, since its tree may take fifty times the memory of the
/// text: depth of arrays and objects in one another, and number of values.
inline constexpr std::size_t kMaxJsonDepth = 100;
inline constexpr std::size_t kMaxJsonValues = 400'000;

/// Looks at the text without building its tree. The text may be malformed.
bool isWithinJsonBounds(std::string_view text);

}  // namespace hatchfork
