#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hatchfork::request {

/// Characters of prompt text per block; about 64 tokens.
constexpr std::size_t kPromptBlockCharacters = 256;
constexpr std::uint32_t kPromptBlockTokens = 64;
/// Number of leading blocks that influence routing.
constexpr std::size_t kMaxPromptBlocks = 64;

/// Hashes the complete blocks of the prompt. Each hash includes the previous one, so that equal hashes mean equal
/// prefixes.
std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt);
/// Estimates the number of tokens of a prompt from its length.
std::uint32_t estimatePromptTokens(std::string_view prompt);

/// LRU index of the engines that probably have a prompt block in their caches, built from own dispatches and delayed
/// cache events. Evicts the least recently stored blocks. Entries are hints; a wrong one costs a cache miss. Not
/// thread-safe.
class PrefixIndex {
 public:
  using EngineSlot = std::uint32_t;
  explicit PrefixIndex(std::size_t most_blocks = 65536);

  void store(std::uint64_t block, EngineSlot engine);
  void remove(std::uint64_t block, EngineSlot engine);
  /// True if the engine is believed to have the block.
  bool holds(std::uint64_t block, EngineSlot engine) const;
  /// Number of leading blocks of the prompt that the engine is believed to have.
  std::uint32_t matchLength(const std::vector<std::uint64_t>& blocks, EngineSlot engine) const;
  void clear();

 private:
  struct Entry {
    std::vector<EngineSlot> holders;
    std::list<std::uint64_t>::iterator position;
  };
  void touch(Entry& entry);

  std::size_t most_blocks_;
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

}  // namespace hatchfork::request
