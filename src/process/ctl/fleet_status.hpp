#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "process/ctl/api_client.hpp"

namespace hatchfork::ctl {

/// The fleet as put together from the status answers of all control replicas, none of which sees the whole.
/// `configuration` and `jobs` are null where no replica gave them. Keys: "revision", "replicas", "groups", "gateways",
/// "engines", "jobs".
nlohmann::json mergeStatus(const std::vector<ServerAnswer>& answers, const nlohmann::json& configuration,
                           const nlohmann::json& jobs);

/// The same as text. `now` dates the remaining time of jobs.
std::string renderStatus(const nlohmann::json& fleet, WallMillis now);

}  // namespace hatchfork::ctl
