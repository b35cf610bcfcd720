#include "common/cbor_writer.hpp"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "common/codec.hpp"

using namespace hatchfork;

TEST_CASE("what is written value by value is what the library writes", "[codec]") {
  const std::uint64_t numbers[] = {0, 1, 23, 24, 255, 256, 65535, 65536, 0xffffffff, 0x100000000, ~std::uint64_t{0}};
  for (const std::uint64_t number : numbers) {
    INFO(number);
    std::string bytes;
    cbor::appendUnsigned(bytes, number);
    CHECK(bytes == encodeCbor(number));
  }
  for (const std::size_t length : {0u, 1u, 23u, 24u, 255u, 256u, 65535u, 65536u, 100000u}) {
    INFO(length);
    const std::string text(length, 'x');
    std::string bytes;
    cbor::appendText(bytes, text);
    CHECK(bytes == encodeCbor(text));
    std::string list;
    cbor::beginList(list, length);
    for (std::size_t i = 0; i < length; ++i) cbor::appendUnsigned(list, 7);
    CHECK(list == encodeCbor(std::vector<int>(length, 7)));
  }
  std::string map;
  cbor::beginMap(map, 2);
  cbor::appendField(map, "a", "text");
  cbor::appendField(map, "b", std::uint64_t{500});
  CHECK(map == encodeCbor({{"a", "text"}, {"b", 500}}));
}
