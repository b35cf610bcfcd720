#include "process/storage/record.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace hatchfork {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kChecksumBytes = 4;
static_assert(kRecordHeaderBytes == kLengthBytes + kChecksumBytes + sizeof(std::uint64_t));
constexpr std::size_t kSectorBytes = 512;
/// Fewer zeros at the end of a record may be part of its content.
constexpr std::size_t kMinZeroRun = 8;
/// Seed of the length checksum, so that a header of zeros is not valid.
constexpr std::uint32_t kLengthSeed = 0x48464b31;

template <class Number>
void appendNumber(std::string& out, Number number) {
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte) out.push_back(static_cast<char>(number >> (8 * byte)));
}

template <class Number>
Number readNumber(std::string_view bytes) {
  Number number = 0;
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte) {
    number |= static_cast<Number>(static_cast<unsigned char>(bytes[byte])) << (8 * byte);
  }
  return number;
}

std::uint32_t lengthChecksum(std::string_view length_bytes) {
  return XXH32(length_bytes.data(), length_bytes.size(), kLengthSeed);
}

bool onlyZeros(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == 0; });
}

/// True if the last sector of the file begins after `from` and holds only zeros: the file size was written, but the
/// data of that sector was not.
bool endsInUnwrittenSector(std::string_view bytes, std::size_t from) {
  const std::size_t sector = (bytes.size() - 1) / kSectorBytes * kSectorBytes;
  return sector > from && bytes.size() - sector >= kMinZeroRun && onlyZeros(bytes.substr(sector));
}

}  // namespace

void appendRecord(std::string& out, std::string_view body) {
  std::string length_bytes;
  appendNumber(length_bytes, static_cast<std::uint32_t>(body.size()));
  out += length_bytes;
  appendNumber(out, lengthChecksum(length_bytes));
  appendNumber(out, static_cast<std::uint64_t>(XXH3_64bits(body.data(), body.size())));
  out += body;
}

bool RecordHeader::matches(std::string_view body) const {
  return body.size() == body_bytes && XXH3_64bits(body.data(), body.size()) == body_check;
}

std::optional<RecordHeader> readRecordHeader(std::string_view bytes) {
  if (bytes.size() < kRecordHeaderBytes) return std::nullopt;
  const std::string_view length_bytes = bytes.substr(0, kLengthBytes);
  const auto check = readNumber<std::uint32_t>(bytes.substr(kLengthBytes, kChecksumBytes));
  if (lengthChecksum(length_bytes) != check) return std::nullopt;
  return RecordHeader{readNumber<std::uint32_t>(length_bytes),
                      readNumber<std::uint64_t>(bytes.substr(kLengthBytes + kChecksumBytes, sizeof(std::uint64_t)))};
}

void RecordStreamCheck::FreeHash::operator()(XXH3_state_s* state) const {
  XXH3_freeState(state);
}

RecordStreamCheck::RecordStreamCheck() : hash_(XXH3_createState()) {}

void RecordStreamCheck::take(std::string_view bytes) {
  while (!damaged_ && !bytes.empty()) {
    if (header_.size() < kRecordHeaderBytes) {
      takeHeader(bytes);
    } else {
      takeBody(bytes);
    }
  }
}

void RecordStreamCheck::takeHeader(std::string_view& bytes) {
  const std::string_view taken = bytes.substr(0, kRecordHeaderBytes - header_.size());
  header_ += taken;
  bytes.remove_prefix(taken.size());
  if (header_.size() < kRecordHeaderBytes) return;
  const std::optional<RecordHeader> header = readRecordHeader(header_);
  damaged_ = !header;
  if (damaged_) return;
  record_ = *header;
  body_left_ = record_.body_bytes;
  XXH3_64bits_reset(hash_.get());
  if (body_left_ == 0) takeBody(bytes);
}

void RecordStreamCheck::takeBody(std::string_view& bytes) {
  const std::string_view taken = bytes.substr(0, body_left_);
  XXH3_64bits_update(hash_.get(), taken.data(), taken.size());
  bytes.remove_prefix(taken.size());
  body_left_ -= taken.size();
  if (body_left_ > 0) return;
  damaged_ = XXH3_64bits_digest(hash_.get()) != record_.body_check;
  last_body_bytes_ = record_.body_bytes;
  header_.clear();
}

Result<ScannedRecords> scanRecords(std::string_view bytes, const std::string& file) {
  ScannedRecords records;
  while (records.whole_bytes < bytes.size()) {
    const std::string_view rest = bytes.substr(records.whole_bytes);
    if (rest.size() < kRecordHeaderBytes || onlyZeros(rest)) {
      records.torn_tail = true;
      return records;
    }
    const std::string position = " at byte " + std::to_string(records.whole_bytes);
    const std::optional<RecordHeader> header = readRecordHeader(rest);
    if (!header) {
      // The header may extend into the sector that was not written.
      records.torn_tail = endsInUnwrittenSector(bytes, records.whole_bytes);
      if (records.torn_tail) return records;
      return storageCorruptError(file, "a record header does not match its checksum" + position);
    }
    const std::size_t length = header->body_bytes;
    const std::string_view body = rest.substr(kRecordHeaderBytes, length);
    if (!header->matches(body)) {
      const bool cut_short = body.size() < length;
      if (!cut_short && !endsInUnwrittenSector(bytes, records.whole_bytes)) {
        return storageCorruptError(file, "a record does not match its checksum" + position);
      }
      records.torn_tail = true;
      return records;
    }
    records.bodies.push_back(body);
    records.whole_bytes += kRecordHeaderBytes + length;
  }
  return records;
}

Error storageCorruptError(const std::string& file, const std::string& what) {
  return Error{ErrorKind::kStorageCorrupt,
               file + ": " + what,
               "treat this disk as lost: stop the replica, move its data folder away, start it empty and let it rejoin "
               "as a new replica",
               Executed::kNo,
               {}};
}

}  // namespace hatchfork
