#pragma once

#include <string>
#include <string_view>

namespace hatchfork {

/// Lower-case hexadecimal SHA-256 of the bytes.
std::string sha256Hex(std::string_view bytes);

}  // namespace hatchfork
