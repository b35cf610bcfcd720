#include "request/routing/prefix_index.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Engines stored per block; the oldest is evicted first.
constexpr std::size_t kMaxHoldersPerBlock = 8;
constexpr std::size_t kCharactersPerToken = kPromptBlockCharacters / kPromptBlockTokens;

}  // namespace

std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt) {
  std::vector<std::uint64_t> blocks;
  const std::size_t whole = std::min(prompt.size() / kPromptBlockCharacters, kMaxPromptBlocks);
  std::uint64_t previous = 0;
  for (std::size_t index = 0; index < whole; ++index) {
    const std::string_view block = prompt.substr(index * kPromptBlockCharacters, kPromptBlockCharacters);
    previous = XXH3_64bits_withSeed(block.data(), block.size(), previous);
    blocks.push_back(previous);
  }
  return blocks;
}

std::uint32_t estimatePromptTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>(prompt.size() / kCharactersPerToken + 1);
}

PrefixIndex::PrefixIndex(std::size_t most_blocks) : most_blocks_(std::max<std::size_t>(most_blocks, 1)) {}

void PrefixIndex::touch(Entry& entry) {
  order_.splice(order_.end(), order_, entry.position);
}

void PrefixIndex::store(std::uint64_t block, EngineSlot engine) {
  const auto found = entries_.find(block);
  if (found != entries_.end()) {
    touch(found->second);
    std::vector<EngineSlot>& holders = found->second.holders;
    std::erase(holders, engine);
    if (holders.size() >= kMaxHoldersPerBlock) holders.erase(holders.begin());
    holders.push_back(engine);
    return;
  }
  if (entries_.size() >= most_blocks_) {
    entries_.erase(order_.front());
    order_.pop_front();
  }
  order_.push_back(block);
  entries_.emplace(block, Entry{{engine}, std::prev(order_.end())});
}

void PrefixIndex::remove(std::uint64_t block, EngineSlot engine) {
  const auto found = entries_.find(block);
  if (found == entries_.end()) return;
  std::erase(found->second.holders, engine);
  if (!found->second.holders.empty()) return;
  order_.erase(found->second.position);
  entries_.erase(found);
}

bool PrefixIndex::holds(std::uint64_t block, EngineSlot engine) const {
  const auto found = entries_.find(block);
  if (found == entries_.end()) return false;
  const std::vector<EngineSlot>& holders = found->second.holders;
  return std::find(holders.begin(), holders.end(), engine) != holders.end();
}

std::uint32_t PrefixIndex::matchLength(const std::vector<std::uint64_t>& blocks, EngineSlot engine) const {
  // Hashes are chained: an engine that holds a block held all blocks before it, so binary search finds the length.
  std::size_t low = 0;
  std::size_t high = blocks.size();
  while (low < high) {
    const std::size_t middle = (low + high + 1) / 2;
    if (holds(blocks[middle - 1], engine)) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return static_cast<std::uint32_t>(low);
}

void PrefixIndex::clear() {
  order_.clear();
  entries_.clear();
}

}  // namespace hatchfork::request
