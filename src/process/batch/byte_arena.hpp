#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hatchfork::batch {

/// Position of a byte string in a `ByteArena`.
struct ArenaSlice {
  std::uint32_t chunk = 0;
  std::uint32_t offset = 0;
  std::uint32_t size = 0;
};

/// Append-only store of byte strings in large chunks: no allocation and no object per string, and growth never copies
/// stored strings. The position of a string depends only on the strings appended before, never on the capacity of a
/// buffer, so a restored arena assigns the same positions as the original.
class ByteArena {
 public:
  ArenaSlice append(std::string_view bytes);
  std::string_view view(ArenaSlice slice) const;
  const std::vector<std::string>& chunks() const { return chunks_; }
  void assign(std::vector<std::string> chunks) { chunks_ = std::move(chunks); }
  std::size_t capacityBytes() const;

 private:
  std::vector<std::string> chunks_;
};

}  // namespace hatchfork::batch
