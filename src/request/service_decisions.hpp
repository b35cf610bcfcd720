#pragma once

#include <cstdint>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/batch/batch_admission.hpp"
#include "request/limits/deadline_gate.hpp"
#include "request/retry/retry_policy.hpp"
#include "request/routing/router.hpp"

namespace hatchfork::request {

/// All decision code of one service at one gateway. Gateways and the virtual-time experiments run the same objects.
/// One traffic thread.
struct ServiceDecisions {
  /// `first_token_target`: time to the first online token that batch work and limits are steered by.
  ServiceDecisions(const GatewayId& self, const ZoneId& zone, Duration first_token_target, std::uint64_t seed);

  Router router;
  BatchAdmission admission;
  RetryPolicy retries;
  DeadlineGate deadline_gate;
};

}  // namespace hatchfork::request
