#pragma once

#include <cstdint>
#include <string>

#include "common/time.hpp"
#include "request/exchange/prompt_shape.hpp"

namespace hatchfork::request {

/// Time for which an engine is expected to keep a prefix in its cache after a request with the prefix was sent there.
constexpr Duration kPrefixRetention = std::chrono::seconds(12);

/// Mixes the bits of a value, so that ranking by the result is uniform and equal in all processes.
std::uint64_t mixBits(std::uint64_t value);
/// 64-bit FNV-1a hash.
std::uint64_t hashText(const std::string& text);
/// Identity of all shared parts in their order; zero if the prompt has none.
std::uint64_t prefixIdentity(const PromptShape& prompt);

}  // namespace hatchfork::request
