#include "version/policy/policy_check.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;

namespace {

ErrorKind refusal(const std::string& source) {
  const Status status = checkPolicy(Policy{"night", source});
  REQUIRE_FALSE(isOk(status));
  CHECK(errorOf(status).message.find("night") != std::string::npos);
  return errorOf(status).kind;
}

}  // namespace

TEST_CASE("a policy is checked on requests of each kind and pressure before it is applied", "[policy]") {
  CHECK(isOk(checkPolicy(Policy{"night", "function decide(r) return { allow = r.kind == 'online' } end"})));
  CHECK(refusal("function decide(r) return { allow = true") == ErrorKind::kPolicyFailed);
  CHECK(refusal("function decide(r) if r.kind == 'batch' then return nil end return { allow = true } end") ==
        ErrorKind::kPolicyFailed);
  CHECK(refusal("function decide(r) if r.pressure >= 1 then return 1 end return { allow = true } end") ==
        ErrorKind::kPolicyFailed);
  CHECK(refusal("function decide(r) if r.urgency == 'high' then while true do end end return { allow = true } end") ==
        ErrorKind::kPolicyFailed);
}
