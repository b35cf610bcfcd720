#include "process/storage/record.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace hatchfork {
namespace {

std::string threeRecords() {
  std::string bytes;
  appendRecord(bytes, "first");
  appendRecord(bytes, "");
  appendRecord(bytes, "third record");
  return bytes;
}

TEST_CASE("records are read back in order", "[storage]") {
  const std::string bytes = threeRecords();
  const Result<ScannedRecords> scanned = scanRecords(bytes, "file");
  REQUIRE(isOk(scanned));
  CHECK(valueOf(scanned).bodies == std::vector<std::string_view>{"first", "", "third record"});
  CHECK(valueOf(scanned).whole_bytes == bytes.size());
  CHECK_FALSE(valueOf(scanned).torn_tail);
}

TEST_CASE("a file truncated anywhere in its last record has a torn tail", "[storage]") {
  const std::string bytes = threeRecords();
  std::string two;
  appendRecord(two, "first");
  appendRecord(two, "");
  for (std::size_t size = two.size() + 1; size < bytes.size(); ++size) {
    const std::string cut = bytes.substr(0, size);
    const Result<ScannedRecords> scanned = scanRecords(cut, "file");
    REQUIRE(isOk(scanned));
    CHECK(valueOf(scanned).torn_tail);
    CHECK(valueOf(scanned).whole_bytes == two.size());
  }
}

TEST_CASE("a zero-filled end is a torn tail", "[storage]") {
  std::string bytes = threeRecords();
  const std::size_t whole = bytes.size();
  bytes += std::string(3000, '\0');
  const Result<ScannedRecords> scanned = scanRecords(bytes, "file");
  REQUIRE(isOk(scanned));
  CHECK(valueOf(scanned).torn_tail);
  CHECK(valueOf(scanned).whole_bytes == whole);
}

TEST_CASE("a record whose last sector was not written is a torn tail, wherever the sector begins", "[storage]") {
  constexpr std::size_t kSector = 512;
  constexpr std::size_t kHeader = 16;
  // The second record begins `before` bytes ahead of the sector: within its header and within its body.
  for (std::size_t before = 1; before < 40; ++before) {
    INFO(before);
    std::string bytes;
    appendRecord(bytes, std::string(kSector - kHeader - before, 'a'));
    const std::size_t whole = bytes.size();
    appendRecord(bytes, std::string(60, 'b'));
    std::fill(bytes.begin() + kSector, bytes.end(), '\0');
    const Result<ScannedRecords> scanned = scanRecords(bytes, "file");
    REQUIRE(isOk(scanned));
    CHECK(valueOf(scanned).torn_tail);
    CHECK(valueOf(scanned).whole_bytes == whole);
  }
}

TEST_CASE("every flipped bit is reported as corruption and not as a torn tail, also in the last record", "[storage]") {
  const std::string bytes = threeRecords();
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string damaged = bytes;
    damaged[bit / 8] ^= static_cast<char>(1 << (bit % 8));
    const Result<ScannedRecords> scanned = scanRecords(damaged, "file");
    REQUIRE_FALSE(isOk(scanned));
    CHECK(errorOf(scanned).kind == ErrorKind::kStorageCorrupt);
    CHECK_FALSE(errorOf(scanned).remedy.empty());
  }
}

TEST_CASE("records that arrive in pieces are verified like whole records", "[storage]") {
  std::string bytes;
  appendRecord(bytes, "first");
  appendRecord(bytes, std::string(1000, 'x'));
  appendRecord(bytes, {});
  for (std::size_t piece = 1; piece < bytes.size(); piece += 7) {
    RecordStreamCheck check;
    for (std::size_t offset = 0; offset < bytes.size(); offset += piece) {
      REQUIRE_FALSE(check.endsWithEmptyRecord());
      check.take(std::string_view(bytes).substr(offset, piece));
    }
    REQUIRE(check.endsWithEmptyRecord());
  }
  for (std::size_t damaged = 0; damaged < bytes.size(); ++damaged) {
    std::string other = bytes;
    other[damaged] = static_cast<char>(other[damaged] ^ 1);
    RecordStreamCheck check;
    check.take(other);
    REQUIRE_FALSE(check.endsWithEmptyRecord());
  }
}

}  // namespace
}  // namespace hatchfork
