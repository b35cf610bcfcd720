#include "request/service_decisions.hpp"

namespace hatchfork::request {
namespace {

RouterOptions routerOptions(const GatewayId& self, const ZoneId& zone, Duration first_token_target,
                            std::uint64_t seed) {
  RouterOptions options;
  options.self = self;
  options.zone = zone;
  options.first_token_target = first_token_target;
  options.seed = seed;
  return options;
}

BatchAdmissionOptions admissionOptions(const GatewayId& self, Duration first_token_target) {
  BatchAdmissionOptions options;
  options.self = self;
  options.first_token_target = first_token_target;
  return options;
}

}  // namespace

ServiceDecisions::ServiceDecisions(const GatewayId& self, const ZoneId& zone, Duration first_token_target,
                                   std::uint64_t seed)
    : router(routerOptions(self, zone, first_token_target, seed)),
      admission(admissionOptions(self, first_token_target)),
      retries(RetryOptions{}) {}

}  // namespace hatchfork::request
