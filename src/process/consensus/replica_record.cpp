#include "process/consensus/replica_record.hpp"

#include <vector>

#include "common/codec.hpp"
#include "process/storage/record.hpp"

namespace hatchfork::consensus {
namespace {

std::string recordName(const std::string& folder) {
  return folder + "/replica";
}

}  // namespace

Result<std::optional<ReplicaRecord>> loadReplicaRecord(Disk& disk, const std::string& folder) {
  const std::string name = recordName(folder);
  const Result<std::string> bytes = disk.read(name);
  if (!isOk(bytes)) {
    if (errorOf(bytes).kind != ErrorKind::kNotFound) return errorOf(bytes);
    const Result<std::vector<std::string>> names = disk.list(folder);
    if (!isOk(names)) return errorOf(names);
    if (!valueOf(names).empty())
      return storageCorruptError(name, "the file is missing although the folder holds other files");
    return std::optional<ReplicaRecord>();
  }
  const Result<ScannedRecords> scanned = scanRecords(valueOf(bytes), name);
  if (!isOk(scanned)) return errorOf(scanned);
  if (valueOf(scanned).bodies.size() != 1) return storageCorruptError(name, "the file is cut short");
  const Result<ReplicaRecord> record = decodeStruct<ReplicaRecord>(valueOf(scanned).bodies.front());
  if (!isOk(record)) return storageCorruptError(name, errorOf(record).message);
  return std::optional<ReplicaRecord>(valueOf(record));
}

Status saveReplicaRecord(Disk& disk, const std::string& folder, const ReplicaRecord& record) {
  std::string bytes;
  appendRecord(bytes, encodeStruct(record));
  return disk.replace(recordName(folder), bytes);
}

}  // namespace hatchfork::consensus
