#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "common/time.hpp"
#include "process/control/control_service.hpp"
#include "process/node/control_settings.hpp"

/// What the administration API and the metrics show of a control replica.
namespace hatchfork::node {

nlohmann::json statusToJson(const ControlSettings& settings, const control::ControlService& service, Instant now);
/// Accepted changes and recorded acts in order of time, the newest `most` of them: who, when, why and what.
nlohmann::json auditToJson(const ConfigurationStateMachine& configuration, std::size_t most);
/// Prometheus text. All are metrics of the control plane.
std::string controlMetrics(const control::ControlService& service);

}  // namespace hatchfork::node
