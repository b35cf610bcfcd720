#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "process/store/job_commands.hpp"

namespace hatchfork::store {

/// How far an open item has got, over all its runs.
struct ItemRunProgress {
  std::uint64_t last_event = 0;
  /// Who kept it last.
  std::uint64_t chain = 0;
  std::string text;
  std::uint32_t failures = 0;
  std::set<std::uint64_t> failed_runs;
};

/// A job and its list of results.
struct StoredJob {
  /// Bodies of listed items are dropped.
  JobSubmission submission;
  std::vector<ItemResult> results;
  /// Position in `submission.items` of each item that is not listed, by its identifier.
  std::unordered_map<std::string, std::size_t> open_items;
  /// Kept progress of open items; an item without any has no entry.
  std::unordered_map<std::string, ItemRunProgress> progress;
  bool ended = false;
  /// Tokens of all open items.
  std::uint64_t open_tokens = 0;

  /// True if the job is the tenant's own, or was submitted before there were tenants.
  bool isVisibleTo(const TenantId& tenant) const { return submission.tenant.empty() || submission.tenant == tenant; }
  bool isFinished() const { return ended || open_items.empty(); }
  /// Bytes of bodies, results and progress.
  std::size_t textBytes() const;
};

}  // namespace hatchfork::store
