#include "request/exchange/load_digest.hpp"

#include <algorithm>
#include <limits>

namespace hatchfork::request {
namespace {

constexpr std::uint64_t kUnreadUnit = 256;
constexpr std::uint32_t kAvoidUnitMs = 16;
constexpr std::size_t kKeyBytes = 4;
constexpr std::size_t kFieldBytes = 1;

/// Returns a count in units, rounded up so that a small load is never encoded as none.
std::uint8_t inUnits(std::uint64_t value, std::uint64_t unit) {
  const std::uint64_t units = (value + unit - 1) / unit;
  return static_cast<std::uint8_t>(std::min<std::uint64_t>(units, std::numeric_limits<std::uint8_t>::max()));
}

void appendNumber(std::string& bytes, std::uint32_t value, std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) bytes += static_cast<char>(value >> (8 * i));
}

std::uint32_t readNumber(std::string_view bytes, std::size_t offset, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < size; ++i) {
    value |= std::uint32_t{static_cast<unsigned char>(bytes[offset + i])} << (8 * i);
  }
  return value;
}

std::string encodeValues(const EngineShare& share) {
  std::string values;
  appendNumber(values, inUnits(share.in_flight, 1), kFieldBytes);
  appendNumber(values, inUnits(share.unread_tokens, kUnreadUnit), kFieldBytes);
  appendNumber(values, inUnits(share.avoid_ms, kAvoidUnitMs), kFieldBytes);
  return values;
}

const std::string& noLoad() {
  static const std::string values = encodeValues(EngineShare{});
  return values;
}

void appendEntry(std::string& bytes, EngineKey key, const std::string& values) {
  appendNumber(bytes, key, kKeyBytes);
  bytes += values;
}

}  // namespace

std::string LoadDigestWriter::changes(const std::vector<EngineShare>& totals, std::size_t max_entries) {
  std::map<EngineKey, std::string> changed;
  for (const auto& [key, values] : sent_) changed[key] = noLoad();
  for (const EngineShare& share : totals) changed[engineKey(share.engine)] = encodeValues(share);
  std::erase_if(changed, [this](const auto& entry) {
    const auto sent = sent_.find(entry.first);
    return sent != sent_.end() && sent->second == entry.second;
  });
  std::string bytes;
  auto entry = changed.lower_bound(next_);
  for (std::size_t count = std::min(max_entries, changed.size()); count > 0; --count) {
    if (entry == changed.end()) entry = changed.begin();
    appendEntry(bytes, entry->first, entry->second);
    sent_[entry->first] = entry->second;
    if (entry->second == noLoad()) sent_.erase(entry->first);
    ++entry;
  }
  next_ = entry == changed.end() ? 0 : entry->first;
  return bytes;
}

std::string LoadDigestWriter::all() const {
  std::string bytes;
  for (const auto& [key, values] : sent_) appendEntry(bytes, key, values);
  return bytes;
}

bool LoadDigestReader::take(std::string_view digest, bool is_whole) {
  if (digest.size() % kDigestEntryBytes != 0) return false;
  if (is_whole) loads_.clear();
  for (std::size_t at = 0; at < digest.size(); at += kDigestEntryBytes) {
    const EngineKey key = readNumber(digest, at, kKeyBytes);
    Load load;
    load.in_flight = readNumber(digest, at + kKeyBytes, kFieldBytes);
    load.unread_tokens = kUnreadUnit * readNumber(digest, at + kKeyBytes + kFieldBytes, kFieldBytes);
    load.avoid_ms = kAvoidUnitMs * readNumber(digest, at + kKeyBytes + 2 * kFieldBytes, kFieldBytes);
    const bool is_zero = load.in_flight == 0 && load.unread_tokens == 0 && load.avoid_ms == 0;
    if (is_zero) {
      loads_.erase(key);
    } else {
      loads_[key] = load;
    }
  }
  return true;
}

std::vector<EngineShare> LoadDigestReader::others(const EngineKeys& engines,
                                                  const std::vector<EngineShare>& own) const {
  std::unordered_map<EngineKey, Load> rest = loads_;
  for (const EngineShare& share : own) {
    const auto found = rest.find(engineKey(share.engine));
    if (found == rest.end()) continue;
    Load& load = found->second;
    load.in_flight -= std::min(load.in_flight, share.in_flight);
    load.unread_tokens -= std::min(load.unread_tokens, share.unread_tokens);
    // Own tokens are encoded rounded up.
    if (load.unread_tokens < kUnreadUnit) load.unread_tokens = 0;
    const bool is_own_avoid = load.avoid_ms < share.avoid_ms + kAvoidUnitMs;
    if (share.avoid_ms > 0 && is_own_avoid) load.avoid_ms = 0;
  }
  std::vector<EngineShare> list;
  for (const auto& [key, load] : rest) {
    const EngineId* const engine = engines.find(key);
    const bool has_any = load.in_flight > 0 || load.unread_tokens > 0 || load.avoid_ms > 0;
    if (engine == nullptr || !has_any) continue;
    list.push_back(EngineShare{*engine, load.in_flight, load.unread_tokens, load.avoid_ms});
  }
  return list;
}

}  // namespace hatchfork::request
