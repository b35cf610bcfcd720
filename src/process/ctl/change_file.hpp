#pragma once

#include <string>

#include "common/result.hpp"
#include "version/configuration.hpp"

namespace hatchfork::ctl {

/// A configuration change as an operator writes it, before the parts that the command line adds.
struct ChangeFile {
  ConfigurationChange change;
  /// False where the file leaves the base revision open.
  bool has_base = false;
};

/// Reads the text of a change file. Two shapes are taken:
///  - objects to put and names to remove: {"policies": [...], "services": [...], "engines": [...], "tenants": [...],
///    "remove": {"engines": [...], "services": [...], "tenants": [...], "policies": [...]}}; a policy gives its program
///    as "source", or as "file" relative to `folder`;
///  - the wire shape: {"change_id", "base_revision", "edits": [{"k", "b"}]}.
/// Both may carry change_id, base_revision, author and reason. An unknown key is an error that names it.
Result<ChangeFile> parseChangeFile(const std::string& text, const std::string& folder);

/// Reads a whole file; the error names it.
Result<std::string> readWholeFile(const std::string& path);

}  // namespace hatchfork::ctl
