#pragma once

#include <cstddef>
#include <string_view>

namespace hatchfork {

/// Bounds of the JSON text that a process takes from outside, since its tree may take fifty times the memory of the
/// text: depth of arrays and objects in one another, and number of values, counted by the commas and opening brackets.
inline constexpr std::size_t kMaxJsonDepth = 100;
inline constexpr std::size_t kMaxJsonValues = 400'000;

/// True if the text is within both bounds. Builds no tree; the text may be malformed.
bool isWithinJsonBounds(std::string_view text);

}  // namespace hatchfork
