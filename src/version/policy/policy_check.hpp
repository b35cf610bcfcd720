#pragma once

#include <vector>

#include "common/result.hpp"
#include "version/configuration_objects.hpp"
#include "version/policy/policy_types.hpp"

namespace hatchfork {

/// Returns sample requests of each kind and urgency, at pressures from idle to overload. A policy is evaluated on them
/// before it is applied.
std::vector<PolicyInput> policySamples();

/// Compiles a policy and evaluates it on all samples; returns the first failure. A policy that passes may still fail on
/// other requests, which are then denied.
Status checkPolicy(const Policy& policy);

}  // namespace hatchfork
