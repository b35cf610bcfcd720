#include "process/fleet/fleet_settings.hpp"

#include <charconv>

#include "process/memory/memory_budget.hpp"
#include "process/settings/settings_reader.hpp"

namespace hatchfork::fleet {
namespace {

constexpr std::int64_t kLargestPort = 65535;
constexpr std::int64_t kMostToleratedLosses = 4;
constexpr std::int64_t kMostRateLimitSlack = 10000;
constexpr std::int64_t kLargestMemory = 1 << 20;

std::optional<MetricsAddress> readMetrics(settings::SettingsReader& reader) {
  const std::string text = reader.text("metrics", "");
  if (text.empty()) return std::nullopt;
  MetricsAddress address;
  const std::size_t slash = text.find('/');
  const std::string port = text.substr(0, slash);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  const bool whole = error == std::errc() && end == port.data() + port.size() && address.port != 0;
  if (!whole || slash == std::string::npos) {
    reader.reject("metrics", "\"" + text + "\" is no port and path", "write it as \"9100/metrics\"");
    return std::nullopt;
  }
  address.path = text.substr(slash);
  return address;
}

void readPorts(settings::SettingsReader& reader, FleetSettings& values) {
  values.control_port = static_cast<std::uint16_t>(reader.integer("control_port", 1, kLargestPort, 0));
  values.store_port = static_cast<std::uint16_t>(reader.integer("store_port", 1, kLargestPort, 0));
  if (values.control_port == 0) reader.reject("control_port", "is missing", "add the line control_port = PORT");
  if (values.store_port == 0) reader.reject("store_port", "is missing", "add the line store_port = PORT");
}

request::LoadFeatures readLoadFeatures(settings::SettingsReader& reader) {
  request::LoadFeatures features;
  const std::map<std::string, bool> values =
      reader.booleanTable("load", {{"return_appointments", features.return_appointments},
                                   {"ordered_waiting", features.ordered_waiting},
                                   {"engine_pace", features.engine_pace},
                                   {"zone_line", features.zone_line},
                                   {"fair_shares", features.fair_shares},
                                   {"batch_by_slack", features.batch_by_slack}});
  features.return_appointments = values.at("return_appointments");
  features.ordered_waiting = values.at("ordered_waiting");
  features.engine_pace = values.at("engine_pace");
  features.zone_line = values.at("zone_line");
  features.fair_shares = values.at("fair_shares");
  features.batch_by_slack = values.at("batch_by_slack");
  return features;
}

}  // namespace

bool isFleetSettings(const std::string& file) {
  const Result<std::unique_ptr<settings::SettingsReader>> opened = settings::SettingsReader::open(file);
  return isOk(opened) && valueOf(opened)->has("seeds");
}

Result<FleetSettings> readFleetSettings(const std::string& file, ProcessRole role) {
  Result<std::unique_ptr<settings::SettingsReader>> opened = settings::SettingsReader::open(file);
  if (!isOk(opened)) return errorOf(opened);
  settings::SettingsReader& reader = *valueOf(opened);
  FleetSettings values;
  values.name = reader.text("name");
  values.zone = ZoneId(reader.text("zone"));
  values.address = reader.text("address");
  values.dialect = reader.text("dialect", "platform");
  readPorts(reader, values);
  for (const connection::Endpoint& seed : reader.endpointList("seeds")) values.seeds.emplace_back(seed.host);
  if (role == ProcessRole::kControl) values.operators = reader.endpoint("operators");
  if (role == ProcessRole::kGateway) {
    values.callers = reader.endpoint("callers");
    values.readiness = reader.endpoint("readiness");
  } else {
    values.data_folder = reader.text("data_folder");
  }
  for (const auto& [zone, region] : reader.textTable("zones")) values.zones.emplace(ZoneId(zone), RegionId(region));
  values.first_start = reader.boolean("first_start", false);
  values.tolerated_losses = static_cast<std::uint32_t>(reader.integer("tolerated_losses", 0, kMostToleratedLosses, 1));
  values.engine_beat = reader.milliseconds("engine_beat_ms", 100, 60000, fromMillis(1200));
  values.rate_limits.window = reader.seconds("rate_limit_window_s", 1, 600, values.rate_limits.window);
  values.rate_limits.slack = static_cast<double>(reader.integer("rate_limit_slack", 0, kMostRateLimitSlack, 0));
  values.load = readLoadFeatures(reader);
  values.rate_limits.appointments = values.load.return_appointments;
  values.memory_mb = static_cast<std::uint32_t>(reader.integer("memory_mb", 16, kLargestMemory, 256));
  if (role == ProcessRole::kStore) {
    const Status divisible = memory::MemoryBudget::check(values.memory_mb);
    if (!isOk(divisible)) reader.reject("memory_mb", errorOf(divisible).message, errorOf(divisible).remedy);
  }
  values.grace = reader.seconds("grace_s", 0.5, 600, std::chrono::seconds(8));
  values.metrics = readMetrics(reader);
  const Status finished = reader.finish();
  if (!isOk(finished)) return errorOf(finished);
  return values;
}

}  // namespace hatchfork::fleet
