#include "process/control/configuration_watch.hpp"

#include <algorithm>

namespace hatchfork {

ConfigurationWatch::ConfigurationWatch(GatewayId gateway, std::uint64_t session, ZoneId zone)
    : gateway_(std::move(gateway)), session_(session), zone_(std::move(zone)) {}

control::RenewConfigurationRequest ConfigurationWatch::makeRequest() const {
  control::RenewConfigurationRequest request;
  request.gateway = gateway_;
  request.session = session_;
  request.zone = zone_;
  request.enforced = configuration_ ? configuration_->revision : 0;
  request.held = held_ && !assembly_ ? held_->revision : 0;
  request.next_shard = assembly_ ? assembly_->nextShard() : 0;
  request.fleet_version = fleet_version_;
  return request;
}

bool ConfigurationWatch::takeReply(Instant sent_at, const control::RenewConfigurationReply& reply) {
  const bool taken = takeDelta(reply.delta);
  if (!taken) return false;
  bool changed = false;
  const bool up_to_date = held_ && !assembly_ && held_->revision >= reply.delta.current_revision;
  wants_more_ = !up_to_date;
  if (up_to_date) {
    changed = configuration_ != held_;
    configuration_ = held_;
    busy_groups_ = reply.busy_groups;
    lease_until_ = std::max(lease_until_, sent_at + fromMillis(reply.lease_ms));
  }
  if (reply.fleet_version != fleet_version_) {
    changed = changed || configuration_ != nullptr;
    fleet_version_ = reply.fleet_version;
    live_gateways_ = reply.gateways;
    leaving_engines_ = reply.leaving;
  }
  return changed;
}

bool ConfigurationWatch::takeDelta(const ConfigurationDelta& delta) {
  return delta.page.empty() ? takeEdits(delta) : takePage(delta);
}

bool ConfigurationWatch::takePage(const ConfigurationDelta& delta) {
  const bool revision_would_fall = configuration_ && delta.current_revision < configuration_->revision;
  if (revision_would_fall) return false;
  ConfigurationAssembly assembly = assembly_.value_or(ConfigurationAssembly());
  if (!assembly.take(delta.page)) return false;
  if (!assembly.isComplete()) {
    assembly_ = std::move(assembly);
    return true;
  }
  held_ = std::make_shared<const Configuration>(assembly.finish());
  assembly_.reset();
  return true;
}

bool ConfigurationWatch::takeEdits(const ConfigurationDelta& delta) {
  const Revision held = held_ ? held_->revision : 0;
  const bool fits = !assembly_ && delta.from_revision == held && delta.to_revision >= held;
  if (!fits) return false;
  const bool unchanged = held_ != nullptr && delta.to_revision == held;
  if (unchanged) return true;
  auto next = held_ ? std::make_shared<Configuration>(*held_) : std::make_shared<Configuration>();
  applyEdits(*next, delta.edits, delta.to_revision);
  held_ = std::move(next);
  return true;
}

}  // namespace hatchfork
