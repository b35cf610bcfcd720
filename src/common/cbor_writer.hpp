#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Appends CBOR (RFC 8949) value by value, for texts that are too large to be built as a tree first. Who calls sees to
/// it that each map and list gets what it was begun with.
namespace hatchfork::cbor {

enum class MajorType : std::uint8_t { kUnsigned = 0, kText = 3, kList = 4, kMap = 5 };

/// The head of a value: its type, and its number or length in the fewest bytes.
inline void appendHead(std::string& out, MajorType type, std::uint64_t number) {
  constexpr std::uint64_t kLargestInline = 23;
  const auto type_bits = static_cast<unsigned>(type) << 5;
  if (number <= kLargestInline) {
    out += static_cast<char>(type_bits | number);
    return;
  }
  // 24 to 27 announce one, two, four and eight bytes.
  unsigned bytes_power = 0;
  while (bytes_power < 3 && number >> (8u << bytes_power) != 0) ++bytes_power;
  out += static_cast<char>(type_bits | (24u + bytes_power));
  for (int shift = 8 * ((1 << bytes_power) - 1); shift >= 0; shift -= 8) out += static_cast<char>(number >> shift);
}

inline void appendUnsigned(std::string& out, std::uint64_t number) {
  appendHead(out, MajorType::kUnsigned, number);
}

inline void appendText(std::string& out, std::string_view text) {
  appendHead(out, MajorType::kText, text.size());
  out += text;
}

/// A map of that many fields follows: each a text and a value.
inline void beginMap(std::string& out, std::size_t fields) {
  appendHead(out, MajorType::kMap, fields);
}

/// A list of that many values follows.
inline void beginList(std::string& out, std::size_t values) {
  appendHead(out, MajorType::kList, values);
}

inline void appendField(std::string& out, std::string_view name, std::uint64_t number) {
  appendText(out, name);
  appendUnsigned(out, number);
}

inline void appendField(std::string& out, std::string_view name, std::string_view text) {
  appendText(out, name);
  appendText(out, text);
}

}  // namespace hatchfork::cbor
