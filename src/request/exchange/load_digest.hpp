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

///
/// Compact encoding of the loads of all engines, produced once for all receivers.
///
/// An entry has seven bytes: the engine's key (4, little-endian), requests in flight (1), unread prompt tokens in units
/// of 256 (1), and the greatest avoid time that a process reports, in units of 16 ms (1). Values beyond their field are
/// encoded as the greatest one that fits.
namespace hatchfork::request {

constexpr std::size_t kDigestEntryBytes = 7;

/// Encodes totals as digests of what has changed since the previous one. Not thread-safe.
class LoadDigestWriter {
 public:
  /// Returns the entries that differ from those sent so far, `max_entries` at most. If there are more, the next call
  /// continues after the last entry sent, so that every engine gets its turn. An engine whose load has dropped to zero
  /// is sent once, as zero.
  std::string changes(const std::vector<EngineShare>& totals,
                      std::size_t max_entries = std::numeric_limits<std::size_t>::max());
  /// Returns all entries sent so far that are not zero, for a new receiver.
  std::string all() const;

 private:
  /// Encoded values last sent, by engine.
  std::map<EngineKey, std::string> sent_;
  /// First key of the next call.
  EngineKey next_ = 0;
};

/// One receiver's copy of the totals. Memory and time grow with the engines under load, not with the fleet. Not
/// thread-safe.
class LoadDigestReader {
 public:
  /// Applies a digest. `is_whole`: engines that the digest does not name have no load. Returns false for malformed
  /// bytes, which change nothing.
  bool take(std::string_view digest, bool is_whole);
  /// Returns the totals without the own shares that they contain, for the engines that `engines` resolves. An avoid
  /// time that is no greater than the one this process reported is taken as its own and left out.
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
