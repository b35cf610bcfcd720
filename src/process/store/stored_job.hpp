#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "process/store/job_commands.hpp"

namespace hatchfork::store {

/// Progress of an open item over all its runs.
struct ItemRunProgress {
  std::uint64_t last_event = 0;
  /// Chain of runs that stored progress last.
  std::uint64_t chain = 0;
  std::string text;
  std::uint32_t failures = 0;
  std::set<std::uint64_t> failed_runs;
  /// Build of the engines that wrote the text; empty if it is not known.
  EngineBuild build;
};

/// A job with its results and the progress of its open items.
struct StoredJob {
  /// The bodies of listed items are cleared.
  JobSubmission submission;
  std::vector<ItemResult> results;
  /// Position in `submission.items` of each item that is not listed, by its identifier.
  std::unordered_map<std::string, std::size_t> open_items;
  /// Stored progress of open items; an item without progress has no entry.
  std::unordered_map<std::string, ItemRunProgress> progress;
  bool ended = false;
  /// Number of tokens of all open items.
  std::uint64_t open_tokens = 0;

  /// True if the job belongs to the tenant, or was submitted without one.
  bool isVisibleTo(const TenantId& tenant) const { return submission.tenant.empty() || submission.tenant == tenant; }
  bool isFinished() const { return ended || open_items.empty(); }
  /// Returns the number of bytes of bodies, results and progress.
  std::size_t textBytes() const;
};

}  // namespace hatchfork::store
