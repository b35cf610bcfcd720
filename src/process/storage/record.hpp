#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"

/// Declared here so that users of this header need not include the hash library.
struct XXH3_state_s;

namespace hatchfork {

/// Appends a checksummed, length-prefixed record to `out`. Layout, little endian: 4 bytes body length, 4 bytes checksum
/// of the length, 8 bytes xxh3 of the body, body.
void appendRecord(std::string& out, std::string_view body);

/// Size of the header before the body of a record.
constexpr std::size_t kRecordHeaderBytes = 16;

/// Header before the body of a record.
struct RecordHeader {
  std::size_t body_bytes = 0;
  std::uint64_t body_check = 0;

  /// True if `body` matches the length and the checksum of the header.
  bool matches(std::string_view body) const;
};

/// Reads the header at the start of `bytes`; absent if `bytes` is too short or the length checksum does not match.
std::optional<RecordHeader> readRecordHeader(std::string_view bytes);

/// Verifies a stream of records that arrives in pieces of any size, without buffering the bodies.
class RecordStreamCheck {
 public:
  RecordStreamCheck();

  void take(std::string_view bytes);
  /// True if the stream so far consists of complete, intact records, and the last record has an empty body.
  bool endsWithEmptyRecord() const { return !damaged_ && header_.empty() && last_body_bytes_ == std::size_t{0}; }

 private:
  struct FreeHash {
    void operator()(XXH3_state_s* state) const;
  };

  /// Both functions consume a prefix of `bytes`.
  void takeHeader(std::string_view& bytes);
  void takeBody(std::string_view& bytes);

  /// Received part of the current record's header; empty between two records.
  std::string header_;
  RecordHeader record_;
  std::size_t body_left_ = 0;
  std::unique_ptr<XXH3_state_s, FreeHash> hash_;
  /// Body size of the last complete record.
  std::optional<std::size_t> last_body_bytes_;
  bool damaged_ = false;
};

/// The complete records of a file, in order.
struct ScannedRecords {
  std::vector<std::string_view> bodies;
  /// Size of the file up to the end of the last complete record.
  std::uint64_t whole_bytes = 0;
  /// True if the last complete record is followed by the remains of an interrupted write: a partial record, or zeros.
  bool torn_tail = false;
};

/// Reads all records of `bytes`, which must outlive the result. The possible remains of an interrupted append are
/// reported as a torn tail. Any other checksum mismatch is `kStorageCorrupt`, also in the last record: that record may
/// have been acknowledged, so it must not be truncated silently. `file` is the file name in the error.
Result<ScannedRecords> scanRecords(std::string_view bytes, const std::string& file);

/// Returns the error for a damaged file; the remedy is to treat the disk as lost.
Error storageCorruptError(const std::string& file, const std::string& what);

}  // namespace hatchfork
