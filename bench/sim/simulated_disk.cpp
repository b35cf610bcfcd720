#include "bench/sim/simulated_disk.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::sim {
namespace {

constexpr std::uint64_t kSectorBytes = 512;

Error noSuchFile(const std::string& name) {
  return Error{ErrorKind::kNotFound, name + ": no such file", "check the data folder", Executed::kNo, {}};
}

}  // namespace

Error SimulatedDisk::failure(const std::string& what) const {
  return Error{ErrorKind::kStorageFailed, what, "check the disk, then restart the replica", Executed::kNo, {}};
}

Result<std::vector<std::string>> SimulatedDisk::list(const std::string& folder) {
  const std::string prefix = folder + "/";
  std::vector<std::string> names;
  for (const auto& [name, file] : files_) {
    const bool inside = name.rfind(prefix, 0) == 0 && name.find('/', prefix.size()) == std::string::npos;
    if (inside) names.push_back(name);
  }
  return names;
}

Result<std::string> SimulatedDisk::read(const std::string& name) {
  const auto file = files_.find(name);
  if (file == files_.end()) return noSuchFile(name);
  bytes_read_ += file->second.content.size();
  return file->second.content;
}

Result<std::uint64_t> SimulatedDisk::size(const std::string& name) {
  const auto file = files_.find(name);
  if (file == files_.end()) return noSuchFile(name);
  return file->second.content.size();
}

Result<std::string> SimulatedDisk::readRange(const std::string& name, std::uint64_t offset, std::uint64_t length) {
  const auto file = files_.find(name);
  if (file == files_.end()) return noSuchFile(name);
  if (offset >= file->second.content.size()) return std::string();
  return file->second.content.substr(offset, length);
}

Status SimulatedDisk::append(const std::string& name, std::string_view bytes) {
  File& file = files_[name];
  if (full_) {
    // As much as fits is written before the failure shows.
    file.content += bytes.substr(0, random_() % (bytes.size() + 1));
    return failure("write " + name + ": no space left on device");
  }
  file.content += bytes;
  return okStatus();
}

Status SimulatedDisk::truncate(const std::string& name, std::uint64_t size) {
  const auto file = files_.find(name);
  if (file == files_.end()) return noSuchFile(name);
  file->second.content.resize(size);
  file->second.synced_bytes = std::min(file->second.synced_bytes, size);
  return okStatus();
}

Status SimulatedDisk::replace(const std::string& name, std::string_view bytes) {
  if (full_) return failure("write " + name + ": no space left on device");
  if (syncs_fail_) return failure("sync " + name + ": input/output error");
  files_[name] = File{std::string(bytes), bytes.size(), true};
  ++sync_count_;
  return okStatus();
}

Status SimulatedDisk::remove(const std::string& name) {
  return files_.erase(name) > 0 ? okStatus() : Status(noSuchFile(name));
}

void SimulatedDisk::sync(const std::string& name, SyncCallback done) {
  ++sync_count_;
  const auto file = files_.find(name);
  const std::uint64_t covered = file == files_.end() ? 0 : file->second.content.size();
  const Instant end = std::max(queue_.now(), last_sync_end_) + sync_latency_;
  last_sync_end_ = end;
  queue_.at(end, [this, name, covered, epoch = epoch_, done = std::move(done)] {
    if (epoch != epoch_) return;
    if (syncs_fail_) {
      post_([done, failed = failure("sync " + name + ": input/output error")] { done(failed); });
      return;
    }
    const auto synced = files_.find(name);
    if (synced != files_.end() && !syncs_lie_) {
      synced->second.synced_bytes = std::max(synced->second.synced_bytes, covered);
      synced->second.linked = true;
    }
    post_([done] { done(okStatus()); });
  });
}

void SimulatedDisk::loseUnsynced(File& file) {
  const std::uint64_t unsynced = file.content.size() - file.synced_bytes;
  if (unsynced == 0) return;
  const std::uint64_t kept = random_() % (unsynced + 1);
  const bool zero_fill = random_() % 3 == 0;
  if (!zero_fill) {
    file.content.resize(file.synced_bytes + kept);
  } else {
    // The size was written but not the data of the last sectors.
    const std::uint64_t zeros_from =
        std::max(file.synced_bytes, (file.synced_bytes + kept) / kSectorBytes * kSectorBytes);
    std::fill(file.content.begin() + static_cast<std::ptrdiff_t>(zeros_from), file.content.end(), '\0');
  }
  file.synced_bytes = file.content.size();
}

void SimulatedDisk::crash() {
  endProcess();
  for (auto file = files_.begin(); file != files_.end();) {
    const bool name_lost = !file->second.linked && random_() % 2 == 0;
    if (name_lost) {
      file = files_.erase(file);
      continue;
    }
    loseUnsynced(file->second);
    ++file;
  }
}

void SimulatedDisk::crashWithTornTail() {
  endProcess();
  for (auto& [name, file] : files_) {
    const std::uint64_t unsynced = file.content.size() - file.synced_bytes;
    if (unsynced > 1) file.content.resize(file.synced_bytes + 1 + random_() % (unsynced - 1));
    file.synced_bytes = file.content.size();
  }
}

void SimulatedDisk::wipe() {
  endProcess();
  files_.clear();
}

void SimulatedDisk::wipeExcept(const std::string& suffix) {
  endProcess();
  std::erase_if(files_, [&](const auto& entry) { return !entry.first.ends_with(suffix); });
}

std::vector<std::string> SimulatedDisk::namesContaining(const std::string& part) const {
  std::vector<std::string> names;
  for (const auto& [name, file] : files_) {
    if (name.find(part) != std::string::npos) names.push_back(name);
  }
  return names;
}

bool SimulatedDisk::flipBit(const std::string& name, std::uint64_t byte) {
  const auto file = files_.find(name);
  if (file == files_.end() || file->second.content.empty()) return false;
  file->second.content[byte % file->second.content.size()] ^= static_cast<char>(1 << (random_() % 8));
  return true;
}

std::uint64_t SimulatedDisk::totalBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [name, file] : files_) bytes += file.content.size();
  return bytes;
}

}  // namespace hatchfork::sim
