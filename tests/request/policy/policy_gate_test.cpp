#include "request/policy/policy_gate.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using request::PolicyGate;

namespace {

const ServiceId kService("timesheet");

Tenant makeTenant(const char* id) {
  Tenant tenant;
  tenant.id = TenantId(id);
  return tenant;
}

/// One service with two gateways and three engines of 8 slots, of which one drains and one leaves the platform. Each
/// gateway has a share of 4 slots.
GatewayVersionPtr makeVersion(const std::string& source, Revision revision = 1) {
  auto configuration = std::make_shared<Configuration>();
  configuration->revision = revision;
  Service service;
  service.id = kService;
  service.policy = source.empty() ? "" : "night";
  configuration->services.emplace(kService, service);
  configuration->policies.emplace("night", Policy{"night", source});
  for (const char* name : {"stays", "drains", "leaves"}) {
    Engine engine;
    engine.id = EngineId(name);
    engine.service = kService;
    engine.slots = 8;
    if (engine.id.value == "drains") engine.intent = EngineIntent::kDrain;
    configuration->engines.emplace(engine.id, engine);
  }
  const std::vector<request::LiveGateway> gateways = {{GatewayId("g1"), ZoneId("a")}, {GatewayId("g2"), ZoneId("b")}};
  return std::make_shared<const GatewayVersion>(configuration, gateways, std::vector<EngineId>{EngineId("leaves")});
}

Result<PolicyDecision> admit(PolicyGate& gate, const char* tenant, WorkKind kind = WorkKind::kOnline) {
  Service service;
  service.id = kService;
  service.policy = "night";
  return gate.admit(makeTenant(tenant), service, kind, PolicyUrgency::kNormal);
}

void enterTimes(PolicyGate& gate, int times) {
  for (int count = 0; count < times; ++count) REQUIRE(isOk(gate.enter(TenantId("crowd"), kService, 0)));
}

}  // namespace

TEST_CASE("denials and failures of a policy are refused as not executed, and counted", "[policy]") {
  PolicyGate gate;
  gate.takeVersion(makeVersion(R"(function decide(r)
    if r.tenant == "visitors" then return { allow = false, reason = "closed at night" } end
    if r.tenant == "broken" then return r.nothing.more end
    return { allow = r.kind == "online" } end)"));
  CHECK(isOk(admit(gate, "clerks")));
  const Result<PolicyDecision> denied = admit(gate, "visitors");
  CHECK(errorOf(denied).kind == ErrorKind::kPolicyDenied);
  CHECK(errorOf(denied).executed == Executed::kNo);
  CHECK(errorOf(denied).message.find("closed at night") != std::string::npos);
  const Result<PolicyDecision> failed = admit(gate, "broken");
  CHECK(errorOf(failed).kind == ErrorKind::kPolicyFailed);
  CHECK(errorOf(failed).executed == Executed::kNo);
  CHECK(errorOf(admit(gate, "clerks", WorkKind::kBatch)).kind == ErrorKind::kPolicyDenied);
  CHECK(gate.counters().denied == 2);
  CHECK(gate.counters().failed == 1);
}

TEST_CASE("pressure is the ratio of online requests to the gateway's share of remaining slots", "[policy]") {
  PolicyGate gate;
  gate.takeVersion(makeVersion(""));
  CHECK(gate.pressure(kService) == 0);
  enterTimes(gate, 3);
  CHECK(gate.pressure(kService) == Approx(0.75));
  gate.takeVersion(makeVersion("", 2));
  CHECK(gate.pressure(kService) == Approx(0.75));
  gate.leave(TenantId("crowd"), kService);
  CHECK(gate.pressure(kService) == Approx(0.5));
  CHECK(gate.pressure(ServiceId("unknown")) == 0);
}

TEST_CASE("only sheddable work is shed, less urgent work first, with a retry time", "[policy]") {
  PolicyGate gate;
  gate.takeVersion(makeVersion(R"(function decide(r)
    if r.tenant == "keep" then return { allow = true } end
    return { allow = true, may_shed = true, urgency = r.tenant } end)"));
  const auto is_shed = [&gate](const char* tenant) {
    const Result<PolicyDecision> decision = admit(gate, tenant);
    if (isOk(decision)) return false;
    CHECK(errorOf(decision).kind == ErrorKind::kOverloaded);
    CHECK(errorOf(decision).executed == Executed::kNo);
    CHECK(errorOf(decision).retry_after.has_value());
    return true;
  };
  CHECK_FALSE(is_shed("low"));
  enterTimes(gate, 3);
  CHECK(is_shed("low"));
  CHECK_FALSE(is_shed("normal"));
  enterTimes(gate, 1);
  CHECK(is_shed("normal"));
  CHECK_FALSE(is_shed("high"));
  enterTimes(gate, 4);
  CHECK(is_shed("high"));
  CHECK_FALSE(is_shed("keep"));
  CHECK(gate.counters().shed == 3);
}

TEST_CASE("a policy's concurrency limit is divided between the gateways", "[policy]") {
  PolicyGate gate;
  gate.takeVersion(makeVersion(""));
  const TenantId tenant("clerks");
  REQUIRE(isOk(gate.enter(tenant, kService, 3)));
  REQUIRE(isOk(gate.enter(tenant, kService, 3)));
  const Status full = gate.enter(tenant, kService, 3);
  REQUIRE_FALSE(isOk(full));
  CHECK(errorOf(full).kind == ErrorKind::kRateLimited);
  CHECK(errorOf(full).retry_after.has_value());
  CHECK(isOk(gate.enter(TenantId("others"), kService, 3)));
  gate.leave(tenant, kService);
  CHECK(isOk(gate.enter(tenant, kService, 3)));
}

TEST_CASE("programs are compiled again for a new revision, but not for a new list of gateways", "[policy]") {
  const std::string counting = R"(local calls = 0
    function decide(r) calls = calls + 1 return { allow = true, limits = { max_tokens = calls } } end)";
  PolicyGate gate;
  gate.takeVersion(makeVersion(counting, 1));
  CHECK(valueOf(admit(gate, "clerks")).limits.max_tokens == 1);
  gate.takeVersion(makeVersion(counting, 1));
  CHECK(valueOf(admit(gate, "clerks")).limits.max_tokens == 2);
  gate.takeVersion(makeVersion(counting, 2));
  CHECK(valueOf(admit(gate, "clerks")).limits.max_tokens == 1);
}

TEST_CASE("accepted work runs even if its policy denies it later", "[policy]") {
  PolicyGate gate;
  CHECK(gate.advise(TenantId("clerks"), kService, WorkKind::kBatch).urgency == PolicyUrgency::kNormal);
  gate.takeVersion(makeVersion("function decide(r) return { allow = false, urgency = 'high' } end"));
  CHECK(gate.advise(TenantId("clerks"), kService, WorkKind::kBatch).urgency == PolicyUrgency::kHigh);
  gate.takeVersion(makeVersion("function decide(r) error('no') end", 2));
  CHECK(gate.advise(TenantId("clerks"), kService, WorkKind::kBatch).urgency == PolicyUrgency::kNormal);
  CHECK(gate.counters().failed == 1);
}
