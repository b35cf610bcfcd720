#include "process/batch/byte_arena.hpp"

#include <algorithm>

namespace hatchfork::batch {
namespace {

constexpr std::size_t kFirstChunkBytes = 4u << 10;
constexpr std::size_t kMaxChunkBytes = 1u << 20;

/// Returns the size limit in bytes of the chunk at `position`. A longer string gets a chunk of its own.
std::size_t chunkLimit(std::size_t position) {
  std::size_t bytes = kFirstChunkBytes;
  while (position-- > 0 && bytes < kMaxChunkBytes) bytes *= 2;
  return bytes;
}

}  // namespace

ArenaSlice ByteArena::append(std::string_view bytes) {
  if (bytes.empty()) return {};
  const bool fits = !chunks_.empty() && chunks_.back().size() + bytes.size() <= chunkLimit(chunks_.size() - 1);
  if (!fits) chunks_.emplace_back();
  std::string& chunk = chunks_.back();
  chunk.reserve(std::max(chunkLimit(chunks_.size() - 1), bytes.size()));
  const ArenaSlice slice{static_cast<std::uint32_t>(chunks_.size() - 1), static_cast<std::uint32_t>(chunk.size()),
                         static_cast<std::uint32_t>(bytes.size())};
  chunk.append(bytes);
  return slice;
}

std::string_view ByteArena::view(ArenaSlice slice) const {
  if (slice.size == 0) return {};
  return std::string_view(chunks_.at(slice.chunk)).substr(slice.offset, slice.size);
}

std::size_t ByteArena::capacityBytes() const {
  std::size_t bytes = chunks_.capacity() * sizeof(std::string);
  for (const std::string& chunk : chunks_) bytes += chunk.capacity();
  return bytes;
}

}  // namespace hatchfork::batch
