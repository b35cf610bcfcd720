#pragma once

#include <map>
#include <string>

#include "common/result.hpp"
#include "version/configuration_objects.hpp"
#include "version/policy/policy_program.hpp"

namespace hatchfork {

/// The policy programs of one configuration revision, each compiled on first use. Each revision gets a new set, so that
/// no program keeps state of an earlier revision. Threading: used only by the traffic thread that owns the set.
class PolicySet {
 public:
  /// `policies` must outlive this object.
  explicit PolicySet(const std::map<std::string, Policy>& policies) : policies_(policies) {}

  /// Evaluates the named policy; `kPolicyFailed` if the policy fails or does not exist.
  Result<PolicyDecision> decide(const std::string& policy, const PolicyInput& input);

 private:
  Result<PolicyProgram>& programOf(const std::string& policy);

  const std::map<std::string, Policy>& policies_;
  std::map<std::string, Result<PolicyProgram>> programs_;
};

}  // namespace hatchfork
