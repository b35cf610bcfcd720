#pragma once

#include <memory>
#include <string>

#include "common/result.hpp"
#include "version/policy/lua_sandbox.hpp"
#include "version/policy/policy_types.hpp"

namespace hatchfork {

/// Maximum length of the source of a policy program.
constexpr std::size_t kMaxPolicySourceBytes = 64u << 10;

/// A compiled policy program with a Lua state of its own. The source defines `function decide(request)`, which returns
/// a table: allow (required), reason, urgency, may_shed, limits. State that a program keeps between calls is not
/// visible to other gateways or to the next version. All errors are `kPolicyFailed` with `Executed::kNo`: the program
/// does not compile, fails, exceeds its instruction or memory limit, or returns any other value. Threading: one thread
/// at a time.
class PolicyProgram {
 public:
  /// `name` is the chunk name in error messages with line numbers.
  static Result<PolicyProgram> compile(const std::string& name, const std::string& source,
                                       const SandboxLimits& limits = SandboxLimits());

  PolicyProgram(PolicyProgram&&) noexcept = default;
  PolicyProgram& operator=(PolicyProgram&&) noexcept = default;

  Result<PolicyDecision> evaluate(const PolicyInput& input);

 private:
  PolicyProgram(std::string name, const SandboxLimits& limits);
  Error faultOf(SandboxFault fault, const char* phase);

  std::string name_;
  SandboxLimits limits_;
  std::unique_ptr<LuaSandbox> sandbox_;
};

}  // namespace hatchfork
