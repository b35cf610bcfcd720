#pragma once

#include <cstdint>
#include <string>

#include "common/time.hpp"
#include "request/exchange/prompt_shape.hpp"

namespace hatchfork::request {

/// An engine is taken to keep a prefix for this long after it was last sent there.
constexpr Duration kPrefixKept = std::chrono::seconds(12);

/// Spreads the bits of a value, so that ranks by it are as good as drawn by lot and the same at all processes.
std::uint64_t mixBits(std::uint64_t value);
/// FNV-1a in 64 bits.
std::uint64_t hashText(const std::string& text);
/// Identity of all shared parts in their order; zero without any.
std::uint64_t prefixIdentity(const PromptShape& prompt);

}  // namespace hatchfork::request
