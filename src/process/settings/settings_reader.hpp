#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "common/time.hpp"
#include "connection/http_types.hpp"

namespace hatchfork::settings {

/// Reads one TOML settings file and checks it: each getter notes the first error, with file, key and remedy; `finish`
/// also refuses keys that no getter asked for. Getters of optional keys return the given default.
class SettingsReader {
 public:
  /// A file that cannot be read or parsed gives the error.
  static Result<std::unique_ptr<SettingsReader>> open(const std::string& file);
  ~SettingsReader();

  std::string text(std::string_view key);
  std::string text(std::string_view key, std::string fallback);
  std::int64_t integer(std::string_view key, std::int64_t least, std::int64_t most, std::int64_t fallback);
  Duration milliseconds(std::string_view key, std::int64_t least, std::int64_t most, Duration fallback);
  connection::Endpoint endpoint(std::string_view key);
  /// A whole or fractional number of seconds.
  Duration seconds(std::string_view key, double least, double most, Duration fallback);
  bool boolean(std::string_view key, bool fallback);
  /// A list of "host:port", not empty.
  std::vector<connection::Endpoint> endpointList(std::string_view key);
  /// A table of texts; empty where the key is missing.
  std::map<std::string, std::string> textTable(std::string_view key);
  /// A table of true and false whose names are those of `fallback`; names that the file leaves out keep its value.
  std::map<std::string, bool> booleanTable(std::string_view key, std::map<std::string, bool> fallback);
  /// True if the file has the key; does not count as asking for it.
  bool has(std::string_view key) const;
  /// Notes an error of a key, as the getters do.
  void reject(std::string_view key, std::string problem, std::string remedy);
  /// A table of name = "host:port".
  struct NamedEndpoint {
    std::string name;
    connection::Endpoint endpoint;
  };
  std::vector<NamedEndpoint> endpoints(std::string_view key);
  /// The first error met, or success when every key of the file is known.
  Status finish();

 private:
  struct Parsed;
  SettingsReader(std::string file, std::unique_ptr<Parsed> parsed);
  void fail(std::string_view key, std::string problem, std::string remedy) {
    reject(key, std::move(problem), std::move(remedy));
  }

  std::string file_;
  std::unique_ptr<Parsed> parsed_;
  std::vector<std::string> known_;
  std::optional<Error> error_;
};

}  // namespace hatchfork::settings
