#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"

/// Of the hash library, which its users need not include.
struct XXH3_state_s;

namespace hatchfork {

/// Appends one checksummed, length-prefixed record to `out`. Layout, little endian: 4 bytes body length, 4 bytes check
/// of the length, 8 bytes xxh3 of the body, body.
void appendRecord(std::string& out, std::string_view body);

/// Bytes before a record's body.
constexpr std::size_t kRecordHeaderBytes = 16;

/// What stands before a record's body.
struct RecordHeader {
  std::size_t body_bytes = 0;
  std::uint64_t body_check = 0;

  /// True if `body` is the whole body as it was written.
  bool matches(std::string_view body) const;
};

/// Reads the header at the start of `bytes`; absent where they are fewer, or don't match their checksum.
std::optional<RecordHeader> readRecordHeader(std::string_view bytes);

/// Checks records that come in pieces of any size, without keeping them.
class RecordStreamCheck {
 public:
  RecordStreamCheck();

  void take(std::string_view bytes);
  /// True if all that was taken are whole records, the last of them without a body.
  bool endsWithEmptyRecord() const { return !damaged_ && header_.empty() && last_body_bytes_ == std::size_t{0}; }

 private:
  struct FreeHash {
    void operator()(XXH3_state_s* state) const;
  };

  /// Each takes what it can use from the front of `bytes`.
  void takeHeader(std::string_view& bytes);
  void takeBody(std::string_view& bytes);

  /// The header of the record that is being taken, as far as it has come; empty between two records.
  std::string header_;
  RecordHeader record_;
  std::size_t body_left_ = 0;
  std::unique_ptr<XXH3_state_s, FreeHash> hash_;
  /// Of the last whole record.
  std::optional<std::size_t> last_body_bytes_;
  bool damaged_ = false;
};

/// The whole records of a file, in order, and where they end.
struct ScannedRecords {
  std::vector<std::string_view> bodies;
  /// Bytes up to the end of the last whole record.
  std::uint64_t whole_bytes = 0;
  /// Bytes follow the last whole record which an interrupted write explains: a cut record, or only zeros.
  bool torn_tail = false;
};

/// Reads all records of `bytes`, which must outlive the result. What an interrupted append can leave behind is reported
/// as a torn tail; anything else that does not match its checksum is `kStorageCorrupt`, also in the last record: it may
/// have been acknowledged, so it must not be cut silently. `file` names the file in the error.
Result<ScannedRecords> scanRecords(std::string_view bytes, const std::string& file);

/// The error for damaged files, whose remedy is to treat the disk as lost.
Error storageCorruptError(const std::string& file, const std::string& what);

}  // namespace hatchfork
