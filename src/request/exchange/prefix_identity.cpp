#include "request/exchange/prefix_identity.hpp"

namespace hatchfork::request {

std::uint64_t mixBits(std::uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

std::uint64_t hashText(const std::string& text) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 1099511628211ULL;
  }
  return hash;
}

std::uint64_t prefixIdentity(const PromptShape& prompt) {
  std::uint64_t identity = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    identity = mixBits(identity ^ mixBits(prompt.parts[i].id + i + 1));
  return identity;
}

}  // namespace hatchfork::request
