#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hatchfork::request {

/// One part of a prompt; parts with the same identifier have the same text.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// What a gateway learns of a prompt from the headers of its request. All empty for requests that run no model.
struct PromptShape {
  /// In order; the last one belongs to this request alone.
  std::vector<PromptPart> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t most_tokens_out = 0;

  /// Tokens of the parts before the last one.
  std::uint32_t sharedTokens() const;
};

/// Reads "identifier:tokens,..." (identifiers in hex) and "prompt tokens,most tokens out". What is malformed is left
/// out.
PromptShape parsePromptShape(std::string_view parts, std::string_view usage);

}  // namespace hatchfork::request
