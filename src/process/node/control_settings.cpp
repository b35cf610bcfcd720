#include "process/node/control_settings.hpp"

#include <algorithm>

#include "process/settings/settings_reader.hpp"

namespace hatchfork::node {
namespace {

constexpr std::int64_t kMostBatchGroups = 64;

std::vector<connection::ControlEndpoint> toControlEndpoints(
    const std::vector<settings::SettingsReader::NamedEndpoint>& named) {
  std::vector<connection::ControlEndpoint> endpoints;
  for (const auto& entry : named) {
    endpoints.push_back(connection::ControlEndpoint{ReplicaId(entry.name), entry.endpoint});
  }
  return endpoints;
}

const connection::ControlEndpoint* findReplica(const std::vector<connection::ControlEndpoint>& endpoints,
                                               const ReplicaId& name) {
  const auto found = std::find_if(endpoints.begin(), endpoints.end(),
                                  [&](const connection::ControlEndpoint& entry) { return entry.replica == name; });
  return found == endpoints.end() ? nullptr : &*found;
}

}  // namespace

connection::Endpoint ControlSettings::listen() const {
  const connection::ControlEndpoint* self = findReplica(replicas, name);
  return self == nullptr ? connection::Endpoint{} : self->endpoint;
}

Result<ControlSettings> readControlSettings(const std::string& file) {
  Result<std::unique_ptr<settings::SettingsReader>> opened = settings::SettingsReader::open(file);
  if (!isOk(opened)) return errorOf(opened);
  settings::SettingsReader& reader = *valueOf(opened);
  ControlSettings values;
  values.name = ReplicaId(reader.text("name"));
  values.zone = ZoneId(reader.text("zone"));
  values.data_folder = reader.text("data_folder");
  values.admin = reader.endpoint("admin");
  values.replicas = toControlEndpoints(reader.endpoints("replicas"));
  values.admin_endpoints = toControlEndpoints(reader.endpoints("admin_endpoints"));
  if (!reader.text("platform", "").empty()) values.platform = reader.endpoint("platform");
  values.batch_groups = static_cast<std::uint32_t>(reader.integer("batch_groups", 1, kMostBatchGroups, 2));
  values.configuration_lease = reader.milliseconds("configuration_lease_ms", 500, 2500, fromMillis(2000));
  values.item_lease = reader.milliseconds("item_lease_ms", 1000, 60000, fromMillis(5000));
  values.election_timeout = reader.milliseconds("election_timeout_ms", 100, 10000, fromMillis(500));
  values.heartbeat_interval = reader.milliseconds("heartbeat_interval_ms", 10, 5000, fromMillis(100));
  values.linger = reader.milliseconds("linger_ms", 0, 60000, fromMillis(1000));
  const Status finished = reader.finish();
  if (!isOk(finished)) return errorOf(finished);
  if (findReplica(values.replicas, values.name) == nullptr) {
    return Error{ErrorKind::kInvalidArgument,
                 file + ": key replicas: does not name " + values.name.value,
                 "add this replica's own address to [replicas]",
                 Executed::kNo,
                 {}};
  }
  return values;
}

}  // namespace hatchfork::node
