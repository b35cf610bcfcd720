#pragma once

#include <fstream>
#include <map>
#include <string>
#include <string_view>

namespace hatchfork::recorded {

inline std::string toHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char byte : bytes) {
    text += kDigits[static_cast<unsigned char>(byte) >> 4];
    text += kDigits[static_cast<unsigned char>(byte) & 15];
  }
  return text;
}

inline std::string fromHex(std::string_view text) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < text.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(std::string(text.substr(at, 2)), nullptr, 16));
  }
  return bytes;
}

/// Lines of a name and bytes in hexadecimal; "-" stands for no bytes.
inline std::map<std::string, std::string> readHexFile(const std::string& path) {
  std::map<std::string, std::string> entries;
  std::ifstream file(path);
  std::string name;
  std::string hex;
  while (file >> name >> hex) entries[name] = hex == "-" ? std::string() : fromHex(hex);
  return entries;
}

inline void appendHexLine(std::ostream& out, const std::string& name, std::string_view bytes) {
  out << name << ' ' << (bytes.empty() ? "-" : toHex(bytes)) << '\n';
}

}  // namespace hatchfork::recorded
