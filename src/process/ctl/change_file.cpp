#include "process/ctl/change_file.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "common/codec.hpp"

namespace hatchfork::ctl {
namespace {

Error invalid(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), Executed::kNo, {}};
}

std::vector<std::string> keysOf(const nlohmann::json& object) {
  std::vector<std::string> keys;
  for (const auto& [key, value] : object.items()) keys.push_back(key);
  return keys;
}

/// Refuses keys outside `known`, so that a misspelt one is not passed over.
Status checkKeys(const std::string& where, const nlohmann::json& object, const std::vector<std::string>& known) {
  if (!object.is_object()) return invalid(where + " is no object", "write it as {\"key\": value}");
  for (const std::string& key : keysOf(object)) {
    if (std::find(known.begin(), known.end(), key) != known.end()) continue;
    return invalid(fmt::format("{} has the unknown key {}", where, key),
                   fmt::format("remove it or mend its spelling; known: {}", fmt::join(known, ", ")));
  }
  return okStatus();
}

/// Known keys of a configuration object; nested objects are checked by the same rule.
template <class T>
Status checkObject(const std::string& where, const nlohmann::json& object) {
  const nlohmann::json full = T{};
  const Status checked = checkKeys(where, object, keysOf(full));
  if (!isOk(checked)) return checked;
  for (const auto& [key, value] : full.items()) {
    if (!value.is_object() || !object.contains(key)) continue;
    const Status nested = checkKeys(where + "." + key, object.at(key), keysOf(value));
    if (!isOk(nested)) return nested;
  }
  return okStatus();
}

template <class T>
Result<std::vector<T>> readObjects(const nlohmann::json& document, const std::string& list) {
  std::vector<T> objects;
  if (!document.contains(list)) return objects;
  const nlohmann::json& elements = document.at(list);
  if (!elements.is_array()) return invalid(list + " is no list", "write " + list + ": [...]");
  for (std::size_t position = 0; position < elements.size(); ++position) {
    const std::string where = fmt::format("{}[{}]", list, position);
    const Status checked = checkObject<T>(where, elements[position]);
    if (!isOk(checked)) return errorOf(checked);
    Result<T> object = structFromJson<T>(elements[position]);
    if (!isOk(object)) return invalid(where + ": " + errorOf(object).message, "mend the value's type");
    objects.push_back(std::move(valueOf(object)));
  }
  return objects;
}

template <class Put, class T>
Status appendPuts(const nlohmann::json& document, const std::string& list, std::vector<ConfigurationEdit>& edits) {
  Result<std::vector<T>> objects = readObjects<T>(document, list);
  if (!isOk(objects)) return errorOf(objects);
  for (T& object : valueOf(objects)) edits.push_back(Put{std::move(object)});
  return okStatus();
}

template <class Remove, class Name>
Status appendRemovals(const nlohmann::json& removals, const std::string& list, std::vector<ConfigurationEdit>& edits) {
  if (!removals.contains(list)) return okStatus();
  Result<std::vector<std::string>> names = structFromJson<std::vector<std::string>>(removals.at(list));
  if (!isOk(names)) return invalid("remove." + list + " is no list of names", "write remove: {" + list + ": [...]}");
  for (std::string& name : valueOf(names)) edits.push_back(Remove{Name(std::move(name))});
  return okStatus();
}

/// Puts the program's text in place of the "file" of each policy.
Status loadPolicySources(nlohmann::json& document, const std::string& folder) {
  if (!document.contains("policies") || !document.at("policies").is_array()) return okStatus();
  for (nlohmann::json& policy : document.at("policies")) {
    if (!policy.is_object() || !policy.contains("file")) continue;
    if (!policy.at("file").is_string() || policy.contains("source")) {
      return invalid("a policy's file is no path, or it has a source too", "give either file or source");
    }
    const std::string path = policy.at("file").get<std::string>();
    Result<std::string> source = readWholeFile(path.starts_with('/') ? path : folder + "/" + path);
    if (!isOk(source)) return errorOf(source);
    policy.erase("file");
    policy["source"] = std::move(valueOf(source));
  }
  return okStatus();
}

Status appendObjectEdits(nlohmann::json& document, const std::string& folder, std::vector<ConfigurationEdit>& edits) {
  Status status = loadPolicySources(document, folder);
  // In the order of their references: services name policies, engines name services.
  if (isOk(status)) status = appendPuts<PutPolicy, Policy>(document, "policies", edits);
  if (isOk(status)) status = appendPuts<PutService, Service>(document, "services", edits);
  if (isOk(status)) status = appendPuts<PutEngine, Engine>(document, "engines", edits);
  if (isOk(status)) status = appendPuts<PutTenant, Tenant>(document, "tenants", edits);
  if (!isOk(status) || !document.contains("remove")) return status;
  const nlohmann::json& removals = document.at("remove");
  status = checkKeys("remove", removals, {"engines", "services", "tenants", "policies"});
  if (isOk(status)) status = appendRemovals<RemoveEngine, EngineId>(removals, "engines", edits);
  if (isOk(status)) status = appendRemovals<RemoveService, ServiceId>(removals, "services", edits);
  if (isOk(status)) status = appendRemovals<RemoveTenant, TenantId>(removals, "tenants", edits);
  if (isOk(status)) status = appendRemovals<RemovePolicy, std::string>(removals, "policies", edits);
  return status;
}

}  // namespace

Result<std::string> readWholeFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return invalid("the file " + path + " cannot be read", "check the path and its rights");
  return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

Result<ChangeFile> parseChangeFile(const std::string& text, const std::string& folder) {
  Result<nlohmann::json> parsed = parseJsonText(text);
  if (!isOk(parsed)) return errorOf(parsed);
  nlohmann::json& document = valueOf(parsed);
  const Status keys = checkKeys("the change", document,
                                {"change_id", "base_revision", "author", "reason", "edits", "policies", "services",
                                 "engines", "tenants", "remove"});
  if (!isOk(keys)) return errorOf(keys);
  ChangeFile file;
  file.has_base = document.contains("base_revision");
  nlohmann::json head = document;
  if (!head.contains("change_id")) head["change_id"] = "";
  if (!head.contains("base_revision")) head["base_revision"] = 0;
  if (!head.contains("edits")) head["edits"] = nlohmann::json::array();
  Result<ConfigurationChange> change = structFromJson<ConfigurationChange>(head);
  if (!isOk(change)) return invalid("the change is malformed: " + errorOf(change).message, "mend the named field");
  file.change = std::move(valueOf(change));
  const Status objects = appendObjectEdits(document, folder, file.change.edits);
  if (!isOk(objects)) return errorOf(objects);
  if (file.change.edits.empty()) {
    return invalid("the change changes nothing", "put objects under services, engines, tenants, policies or remove");
  }
  return file;
}

}  // namespace hatchfork::ctl
