/// Transfer of the configuration from control replicas to watchers, as edits or as pages of the whole document.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/result.hpp"
#include "version/configuration.hpp"

namespace hatchfork {

/// A part of the configuration, read at `revision`. The first page (`first_shard` zero) carries all services, engines
/// and policies; each page carries the tenants of the shards [first_shard, next_shard). The pages of one transfer may
/// come from different revisions and replicas: applying all edits after the lowest of these revisions, in order, on top
/// of the pages gives the exact configuration, because each edit replaces or removes a whole object.
struct ConfigurationPage {
  Revision revision = 0;
  std::uint32_t first_shard = 0;
  std::uint32_t next_shard = 0;
  std::vector<Service> services;
  std::vector<Engine> engines;
  std::vector<Policy> policies;
  std::vector<Tenant> tenants;

  bool isLast() const { return next_shard >= TenantTable::kShards; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigurationPage, revision, first_shard, next_shard, services, engines,
                                                policies, tenants)

/// One update that brings a watcher from `from_revision` towards `current_revision`: the next edits in order, up to
/// `to_revision`, or one encoded page of the configuration if the watcher has none or is too far behind.
struct ConfigurationDelta {
  Revision from_revision = 0;
  Revision to_revision = 0;
  /// Revision of the replica, confirmed to be up to date.
  Revision current_revision = 0;
  std::vector<ConfigurationEdit> edits;
  /// A ConfigurationPage as CBOR; empty if `edits` are sent.
  std::string page;
};
void to_json(nlohmann::json& json, const ConfigurationDelta& delta);
void from_json(const nlohmann::json& json, ConfigurationDelta& delta);

/// Pages of one revision of the configuration, each encoded once and sent to any number of watchers. Control thread
/// only.
class ConfigurationPages {
 public:
  explicit ConfigurationPages(Configuration configuration) : configuration_(std::move(configuration)) {}

  Revision revision() const { return configuration_.revision; }
  /// Returns the encoded page that begins with shard `first_shard`. The reference stays valid for the lifetime of this
  /// object.
  const std::string& page(std::uint32_t first_shard);

 private:
  ConfigurationPage build(std::uint32_t first_shard) const;

  Configuration configuration_;
  std::map<std::uint32_t, std::string> encoded_;
};

/// Assembles a configuration from its pages. Control thread only.
class ConfigurationAssembly {
 public:
  /// First shard of the next expected page.
  std::uint32_t nextShard() const { return next_shard_; }
  /// Adds an encoded page. Returns false if the page is malformed or is not the next expected page.
  bool take(const std::string& encoded);
  bool isComplete() const { return next_shard_ >= TenantTable::kShards; }
  /// Returns the assembled configuration, whose revision is the lowest of the pages' revisions. Requires
  /// `isComplete()`.
  Configuration finish();

 private:
  Configuration configuration_;
  std::uint32_t next_shard_ = 0;
};

}  // namespace hatchfork
