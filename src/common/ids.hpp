#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace hatchfork {

/// A name that cannot be mixed up with a name of another sort. Encoded in JSON as a plain string.
template <class Tag>
struct StringId {
  std::string value;

  StringId() = default;
  explicit StringId(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  auto operator<=>(const StringId&) const = default;

  friend void to_json(nlohmann::json& json, const StringId& id) { json = id.value; }
  friend void from_json(const nlohmann::json& json, StringId& id) { json.get_to(id.value); }
};

/// A control replica, for example "control-1".
using ReplicaId = StringId<struct ReplicaIdTag>;
/// A gateway process. A restarted gateway keeps its identifier and draws a new session number.
using GatewayId = StringId<struct GatewayIdTag>;
/// A model engine (a back end).
using EngineId = StringId<struct EngineIdTag>;
/// Version of an engine's own software, as the engine reports it; not a version of model weights or of a document.
/// Engines of one service may run several builds; what one build wrote can't be continued by another. Empty if the
/// engine reports none.
using EngineBuild = StringId<struct EngineBuildTag>;
/// A served model or application, as callers name it in the `model` field.
using ServiceId = StringId<struct ServiceIdTag>;
/// A team that holds API keys.
using TenantId = StringId<struct TenantIdTag>;
/// A batch job.
using JobId = StringId<struct JobIdTag>;
/// A site with its own failure and delay domain.
using ZoneId = StringId<struct ZoneIdTag>;
/// Zones that lie together, with a law of its own.
using RegionId = StringId<struct RegionIdTag>;
/// An operator's change of configuration, chosen by the operator and kept on a resend.
using ChangeId = StringId<struct ChangeIdTag>;

/// A replicated group: 0 holds the configuration, 1 and above hold batch jobs.
using GroupId = std::uint32_t;
constexpr GroupId kConfigurationGroup = 0;

/// Number of a configuration state; rises by one with each accepted change.
using Revision = std::uint64_t;
/// Position of an item in its job, from zero.
using ItemIndex = std::uint32_t;
/// Number of an execution attempt of an item, from one.
using AttemptNumber = std::uint32_t;

}  // namespace hatchfork

template <class Tag>
struct std::hash<hatchfork::StringId<Tag>> {
  std::size_t operator()(const hatchfork::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};
