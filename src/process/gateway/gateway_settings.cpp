#include "process/gateway/gateway_settings.hpp"

#include "process/settings/settings_reader.hpp"

namespace hatchfork::gateway {

Result<GatewaySettings> readGatewaySettings(const std::string& file) {
  Result<std::unique_ptr<settings::SettingsReader>> opened = settings::SettingsReader::open(file);
  if (!isOk(opened)) return errorOf(opened);
  settings::SettingsReader& reader = *valueOf(opened);
  GatewaySettings values;
  values.name = GatewayId(reader.text("name"));
  values.zone = ZoneId(reader.text("zone"));
  values.listen = reader.endpoint("listen");
  for (const auto& entry : reader.endpoints("replicas")) {
    values.replicas.push_back(connection::ControlEndpoint{ReplicaId(entry.name), entry.endpoint});
  }
  values.batch_groups = static_cast<std::uint32_t>(reader.integer("batch_groups", 1, 64, 2));
  values.renew_interval = reader.milliseconds("renew_interval_ms", 50, 1000, fromMillis(500));
  values.engine_timeout = reader.milliseconds("engine_timeout_ms", 100, 600000, fromMillis(10000));
  values.linger = reader.milliseconds("linger_ms", 0, 60000, fromMillis(1500));
  values.drain_timeout = reader.milliseconds("drain_timeout_ms", 1000, 3600000, fromMillis(60000));
  values.largest_body = static_cast<std::uint64_t>(reader.integer("largest_body_bytes", 1024, 1 << 30, 16 << 20));
  const Status finished = reader.finish();
  if (!isOk(finished)) return errorOf(finished);
  return values;
}

}  // namespace hatchfork::gateway
