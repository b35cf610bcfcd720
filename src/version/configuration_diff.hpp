#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "version/configuration.hpp"

namespace hatchfork {

/// One configured object that differs between two configurations.
struct ObjectDifference {
  /// "service", "engine", "tenant" or "policy".
  std::string type;
  std::string name;
  /// Null if the object is absent; the same holds for `after`.
  nlohmann::json before;
  nlohmann::json after;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ObjectDifference, type, name, before, after)

/// Returns all objects that differ, in order of type (service, engine, tenant, policy) and name.
std::vector<ObjectDifference> compareConfigurations(const Configuration& before, const Configuration& after);

/// Returns the kind of the edit and the name of the object, for example "put_engine engine-1".
std::string describeEdit(const ConfigurationEdit& edit);

/// Returns edits that undo `edits` once they have been applied to `configuration`.
std::vector<ConfigurationEdit> inverseOf(const Configuration& configuration,
                                         const std::vector<ConfigurationEdit>& edits);

}  // namespace hatchfork
