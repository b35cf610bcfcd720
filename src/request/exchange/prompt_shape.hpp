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

/// Prompt metadata from the headers of a request. Empty for requests that run no model.
struct PromptShape {
  /// In order; the last part belongs to this request alone.
  std::vector<PromptPart> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;

  /// Tokens of all parts but the last.
  std::uint32_t sharedTokens() const;
};

/// Parses "identifier:tokens,..." (identifiers in hex) and "prompt tokens,maximum output tokens". Malformed entries are
/// skipped.
PromptShape parsePromptShape(std::string_view parts, std::string_view usage);

}  // namespace hatchfork::request
