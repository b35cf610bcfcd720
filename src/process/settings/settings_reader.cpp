#include "process/settings/settings_reader.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <toml++/toml.h>

#include <algorithm>

namespace hatchfork::settings {

struct SettingsReader::Parsed {
  toml::table table;
};

SettingsReader::SettingsReader(std::string file, std::unique_ptr<Parsed> parsed)
    : file_(std::move(file)), parsed_(std::move(parsed)) {}
SettingsReader::~SettingsReader() = default;

Result<std::unique_ptr<SettingsReader>> SettingsReader::open(const std::string& file) {
  try {
    auto parsed = std::make_unique<Parsed>();
    parsed->table = toml::parse_file(file);
    return std::unique_ptr<SettingsReader>(new SettingsReader(file, std::move(parsed)));
  } catch (const toml::parse_error& error) {
    const std::string where = fmt::format("{}:{}", file, error.source().begin.line);
    return Error{ErrorKind::kInvalidArgument,
                 where + ": " + std::string(error.description()),
                 "give the path of a readable, well-formed TOML file",
                 Executed::kNo,
                 {}};
  }
}

void SettingsReader::reject(std::string_view key, std::string problem, std::string remedy) {
  if (error_) return;
  error_ = Error{ErrorKind::kInvalidArgument,
                 fmt::format("{}: key {}: {}", file_, key, problem),
                 std::move(remedy),
                 Executed::kNo,
                 {}};
}

std::string SettingsReader::text(std::string_view key) {
  std::string value = text(key, "");
  if (value.empty()) fail(key, "is missing or empty", fmt::format("add the line {} = \"...\"", key));
  return value;
}

std::string SettingsReader::text(std::string_view key, std::string fallback) {
  known_.emplace_back(key);
  const toml::node* node = parsed_->table.get(key);
  if (node == nullptr) return fallback;
  if (!node->is_string()) {
    fail(key, "is not a string", "put the value in quotes");
    return fallback;
  }
  return node->as_string()->get();
}

std::int64_t SettingsReader::integer(std::string_view key, std::int64_t least, std::int64_t most,
                                     std::int64_t fallback) {
  known_.emplace_back(key);
  const toml::node* node = parsed_->table.get(key);
  if (node == nullptr) return fallback;
  const std::string remedy = fmt::format("give a whole number from {} to {}", least, most);
  if (!node->is_integer()) {
    fail(key, "is not a whole number", remedy);
    return fallback;
  }
  const std::int64_t value = node->as_integer()->get();
  if (value < least || value > most) fail(key, fmt::format("{} is out of range", value), remedy);
  return value;
}

Duration SettingsReader::milliseconds(std::string_view key, std::int64_t least, std::int64_t most, Duration fallback) {
  return fromMillis(integer(key, least, most, toMillis(fallback)));
}

connection::Endpoint SettingsReader::endpoint(std::string_view key) {
  const std::string value = text(key);
  const std::optional<connection::Endpoint> parsed = connection::parseEndpoint(value);
  if (!parsed) fail(key, fmt::format("\"{}\" is no address", value), "give an IP number and a port, as 127.0.0.1:8080");
  return parsed.value_or(connection::Endpoint{});
}

Duration SettingsReader::seconds(std::string_view key, double least, double most, Duration fallback) {
  known_.emplace_back(key);
  const toml::node* node = parsed_->table.get(key);
  if (node == nullptr) return fallback;
  const std::string remedy = fmt::format("give a number of seconds from {} to {}", least, most);
  if (!node->is_number()) {
    fail(key, "is not a number", remedy);
    return fallback;
  }
  const double value = node->value<double>().value_or(0);
  if (value < least || value > most) fail(key, fmt::format("{} is out of range", value), remedy);
  return Duration(static_cast<Duration::rep>(value * 1e6));
}

bool SettingsReader::boolean(std::string_view key, bool fallback) {
  known_.emplace_back(key);
  const toml::node* node = parsed_->table.get(key);
  if (node == nullptr) return fallback;
  if (!node->is_boolean()) {
    fail(key, "is neither true nor false", "write true or false without quotes");
    return fallback;
  }
  return node->as_boolean()->get();
}

std::vector<connection::Endpoint> SettingsReader::endpointList(std::string_view key) {
  known_.emplace_back(key);
  std::vector<connection::Endpoint> list;
  const toml::array* array = parsed_->table.get_as<toml::array>(key);
  if (array == nullptr || array->empty()) {
    fail(key, "is missing or empty", fmt::format("add the line {} = [\"host:port\", ...]", key));
    return list;
  }
  for (const toml::node& node : *array) {
    const auto* value = node.as_string();
    const auto parsed = value ? connection::parseEndpoint(value->get()) : std::nullopt;
    if (!parsed) {
      fail(key, "has an entry that is no address", "give IP numbers and ports, as \"127.0.0.1:8080\"");
      continue;
    }
    list.push_back(*parsed);
  }
  return list;
}

std::map<std::string, std::string> SettingsReader::textTable(std::string_view key) {
  known_.emplace_back(key);
  std::map<std::string, std::string> texts;
  const toml::node* node = parsed_->table.get(key);
  if (node == nullptr) return texts;
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    fail(key, "is no table", fmt::format("add a table [{}] of name = \"text\"", key));
    return texts;
  }
  for (const auto& [name, entry] : *table) {
    const auto* value = entry.as_string();
    if (value == nullptr) {
      fail(fmt::format("{}.{}", key, name.str()), "is no text", "write it in quotes");
      continue;
    }
    texts.emplace(std::string(name.str()), value->get());
  }
  return texts;
}

std::map<std::string, bool> SettingsReader::booleanTable(std::string_view key, std::map<std::string, bool> fallback) {
  known_.emplace_back(key);
  const toml::node* node = parsed_->table.get(key);
  if (node == nullptr) return fallback;
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    fail(key, "is no table", fmt::format("add a table [{}] of name = true or false", key));
    return fallback;
  }
  for (const auto& [name, entry] : *table) {
    const auto known = fallback.find(std::string(name.str()));
    const std::string full_name = fmt::format("{}.{}", key, name.str());
    if (known == fallback.end()) {
      fail(full_name, "is unknown", "remove it or mend its spelling");
      continue;
    }
    if (!entry.is_boolean()) {
      fail(full_name, "is neither true nor false", "write true or false without quotes");
      continue;
    }
    known->second = entry.as_boolean()->get();
  }
  return fallback;
}

bool SettingsReader::has(std::string_view key) const {
  return parsed_->table.contains(key);
}

std::vector<SettingsReader::NamedEndpoint> SettingsReader::endpoints(std::string_view key) {
  known_.emplace_back(key);
  std::vector<NamedEndpoint> list;
  const toml::table* table = parsed_->table.get_as<toml::table>(key);
  if (table == nullptr || table->empty()) {
    fail(key, "is missing or empty", fmt::format("add a table [{}] of name = \"host:port\"", key));
    return list;
  }
  for (const auto& [name, node] : *table) {
    const auto* value = node.as_string();
    const auto parsed = value ? connection::parseEndpoint(value->get()) : std::nullopt;
    if (!parsed) {
      fail(fmt::format("{}.{}", key, name.str()), "is no address",
           "give an IP number and a port, as \"127.0.0.1:8080\"");
      continue;
    }
    list.push_back(NamedEndpoint{std::string(name.str()), *parsed});
  }
  return list;
}

Status SettingsReader::finish() {
  for (const auto& [key, node] : parsed_->table) {
    const bool known = std::find(known_.begin(), known_.end(), key.str()) != known_.end();
    if (!known)
      fail(key.str(), "is unknown", fmt::format("remove it or mend its spelling; known: {}", fmt::join(known_, ", ")));
  }
  if (error_) return *error_;
  return okStatus();
}

}  // namespace hatchfork::settings
