#include "process/batch/run_claims.hpp"

#include <utility>

namespace hatchfork::batch {

Result<bool> RunClaims::claim(const control::ClaimRunRequest& request) {
  Name name{request.tenant, request.idempotency_key};
  const auto known = claims_.find(name);
  if (known != claims_.end()) {
    if (known->second.digest == request.digest) return known->second.claimant == request.claimant;
    return Error{ErrorKind::kConflict,
                 "the idempotency key was already used with a different request body",
                 "resend the original body, or use a new idempotency key",
                 Executed::kNo,
                 {}};
  }
  if (claims_.size() >= kMaxRunClaims) {
    const auto oldest = claims_.find(order_.front());
    if (request.now - oldest->second.claimed_at < kClaimRetentionMillis) {
      return Error{ErrorKind::kOverloaded, "too many unrepeatable requests within 24 hours",
                   "retry later, or send the request without marking it unrepeatable", Executed::kNo,
                   std::chrono::minutes(5)};
    }
    claims_.erase(oldest);
    order_.pop_front();
  }
  insert(std::move(name), Claim{request.digest, request.claimant, request.now});
  return true;
}

void RunClaims::insert(Name name, Claim claim) {
  order_.push_back(name);
  claims_.emplace(std::move(name), std::move(claim));
}

nlohmann::json RunClaims::toSnapshot() const {
  nlohmann::json json = nlohmann::json::array();
  for (const Name& name : order_) {
    const Claim& claim = claims_.at(name);
    json.push_back(
        {{"t", name.tenant}, {"k", name.key}, {"d", claim.digest}, {"c", claim.claimant}, {"at", claim.claimed_at}});
  }
  return json;
}

RunClaims RunClaims::fromSnapshot(const nlohmann::json& json) {
  RunClaims claims;
  for (const nlohmann::json& element : json) {
    Name name{element.at("t").get<TenantId>(), element.at("k").get<std::string>()};
    Claim claim{element.at("d").get<std::string>(), element.at("c").get<std::string>(),
                element.at("at").get<WallMillis>()};
    claims.insert(std::move(name), std::move(claim));
  }
  return claims;
}

}  // namespace hatchfork::batch
