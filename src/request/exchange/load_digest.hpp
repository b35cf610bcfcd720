#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "request/exchange/engine_keys.hpp"
#include "request/exchange/load_table.hpp"

/// The loads of all engines in a few bytes each, encoded once for all receivers.
///
/// An entry is seven bytes: the engine's key (4, little-endian), requests in flight (1), unread prompt tokens in units
/// of 256 (1), and how strongly some process avoids the engine, in units of 16 ms (1). Counts beyond their field are
/// told as the greatest that fits.
namespace hatchfork::request {

constexpr std::size_t kDigestEntryBytes = 7;

/// Turns totals into digests; remembers what the last one told. Belongs to one thread.
class LoadDigestWriter {
 public:
  /// Entries that differ from what was told so far, `most_entries` at most: where there are more, each call goes on
  /// where the last one ended, so that all have their turn. An engine without any load any more is told once, as zero.
  std::string changes(const std::vector<EngineShare>& totals,
                      std::size_t most_entries = std::numeric_limits<std::size_t>::max());
  /// All entries that were told so far and are not zero, for a new receiver.
  std::string all() const;

 private:
  /// Encoded values by engine.
  std::map<EngineKey, std::string> told_;
  /// The engine that the next call looks at first.
  EngineKey next_ = 0;
};

/// One receiver's copy of the totals. Costs what is loaded, not what engines there are. Belongs to one thread.
class LoadDigestReader {
 public:
  /// Takes a digest. `is_whole`: engines that it does not name have no load. False for malformed bytes, which change
  /// nothing.
  bool take(std::string_view digest, bool is_whole);
  /// Totals less the own shares that they hold, of engines that `engines` knows. Where nobody avoids an engine more
  /// than this process told itself, its own word is taken out.
  std::vector<EngineShare> others(const EngineKeys& engines, const std::vector<EngineShare>& own) const;

 private:
  struct Load {
    std::uint32_t in_flight = 0;
    std::uint64_t unread_tokens = 0;
    std::uint32_t avoid_ms = 0;
  };

  std::unordered_map<EngineKey, Load> loads_;
};

}  // namespace hatchfork::request
