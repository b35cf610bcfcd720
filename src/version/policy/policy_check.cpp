#include "version/policy/policy_check.hpp"

#include "version/policy/policy_program.hpp"

namespace hatchfork {

std::vector<PolicyInput> policySamples() {
  std::vector<PolicyInput> samples;
  for (const WorkKind kind : {WorkKind::kOnline, WorkKind::kBatch}) {
    for (const PolicyUrgency urgency : {PolicyUrgency::kLow, PolicyUrgency::kNormal, PolicyUrgency::kHigh}) {
      for (const double pressure : {0.0, 0.5, 1.0, 4.0}) {
        samples.push_back(PolicyInput{TenantId("sample-tenant"), ServiceId("sample-model"), kind, urgency, pressure});
      }
    }
  }
  return samples;
}

Status checkPolicy(const Policy& policy) {
  Result<PolicyProgram> program = PolicyProgram::compile(policy.name, policy.source);
  if (!isOk(program)) return errorOf(program);
  for (const PolicyInput& sample : policySamples()) {
    const Result<PolicyDecision> decision = valueOf(program).evaluate(sample);
    if (!isOk(decision)) return errorOf(decision);
  }
  return okStatus();
}

}  // namespace hatchfork
