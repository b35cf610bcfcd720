#include "process/gateway/batch_routing.hpp"

#include <xxhash.h>

namespace hatchfork::gateway {

GroupId groupOfKey(const TenantId& tenant, const std::string& idempotency_key, std::uint32_t batch_groups) {
  const std::string text = tenant.value + '\n' + idempotency_key;
  return static_cast<GroupId>(XXH64(text.data(), text.size(), 0) % batch_groups) + 1;
}

}  // namespace hatchfork::gateway
