#include "process/fleet/run_messages.hpp"

#include <xxhash.h>

namespace hatchfork::fleet {

request::RequestFingerprint contentOf(const TenantId& tenant, const std::string& host, const OpaqueItem& item) {
  return request::fingerprintOf({tenant.value, "POST", host, item.target, item.body});
}

request::PromptShape promptOf(const HeaderNames& names, const OpaqueItem& item) {
  std::string_view parts;
  std::string_view usage;
  for (const ItemHeader& header : item.headers) {
    if (header.name == names.prompt_parts) parts = header.value;
    if (header.name == names.token_usage) usage = header.value;
  }
  return request::parsePromptShape(parts, usage);
}

std::uint64_t textHashOf(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace hatchfork::fleet
