#include "request/exchange/prompt_shape.hpp"

#include <algorithm>
#include <charconv>

namespace hatchfork::request {
namespace {

template <class Number>
bool readNumber(std::string_view text, int base, Number& out) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return error == std::errc() && end != text.data();
}

/// Calls `take` with each element of a comma-separated list.
template <class Function>
void forEachElement(std::string_view text, Function take) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    take(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
}

}  // namespace

std::uint32_t PromptShape::sharedTokens() const {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) tokens += parts[i].tokens;
  return tokens;
}

PromptShape parsePromptShape(std::string_view parts, std::string_view usage) {
  PromptShape shape;
  forEachElement(parts, [&](std::string_view piece) {
    const std::size_t colon = piece.find(':');
    PromptPart part;
    if (colon == std::string_view::npos || !readNumber(piece.substr(0, colon), 16, part.id)) return;
    if (readNumber(piece.substr(colon + 1), 10, part.tokens)) shape.parts.push_back(part);
  });
  std::vector<std::uint32_t> numbers;
  forEachElement(usage, [&](std::string_view piece) {
    std::uint32_t number = 0;
    if (readNumber(piece, 10, number)) numbers.push_back(number);
  });
  if (!numbers.empty()) shape.prompt_tokens = numbers[0];
  if (numbers.size() > 1) shape.max_output_tokens = numbers[1];
  if (shape.prompt_tokens == 0) {
    for (const PromptPart& part : shape.parts) shape.prompt_tokens += part.tokens;
  }
  return shape;
}

}  // namespace hatchfork::request
