#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork {

/// An administrative action other than a configuration change, for example a change of a group's membership. Recorded
/// in the audit log before it is carried out.
struct AdminAction {
  /// Idempotency key, chosen by the client and repeated on a resend; an action is recorded once per identifier.
  ChangeId id;
  WallMillis at = 0;
  /// Tenant whose key was used; empty while the administration is open.
  TenantId tenant;
  std::string author;
  std::string reason;
  /// The requested action, in one line.
  std::string description;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdminAction, id, at, tenant, author, reason, description)

}  // namespace hatchfork
