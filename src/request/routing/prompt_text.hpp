#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "common/result.hpp"

namespace hatchfork::request {

/// Returns the prompt of a completion request as one text: `prompt`, or role and content of each of `messages`.
/// Gateways hash the text for prefix affinity, engines cache it. A body without either is `kInvalidArgument`.
Result<std::string> promptText(const nlohmann::json& body);

}  // namespace hatchfork::request
