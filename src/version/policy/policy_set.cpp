#include "version/policy/policy_set.hpp"

namespace hatchfork {

Result<PolicyProgram>& PolicySet::programOf(const std::string& policy) {
  const auto cached = programs_.find(policy);
  if (cached != programs_.end()) return cached->second;
  const auto source = policies_.find(policy);
  // `checkEdits` rejects references to unknown policies. If one occurs here, its empty source fails to compile.
  const std::string text = source == policies_.end() ? "" : source->second.source;
  return programs_.emplace(policy, PolicyProgram::compile(policy, text)).first->second;
}

Result<PolicyDecision> PolicySet::decide(const std::string& policy, const PolicyInput& input) {
  Result<PolicyProgram>& program = programOf(policy);
  if (!isOk(program)) return errorOf(program);
  return valueOf(program).evaluate(input);
}

}  // namespace hatchfork
