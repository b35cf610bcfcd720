#include "process/storage/posix_disk.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

namespace hatchfork {
namespace {

constexpr mode_t kFileMode = 0644;
constexpr std::string_view kTemporarySuffix = ".tmp";

Error storageError(const std::string& action, const std::string& path, int error_number) {
  if (error_number == ENOENT) {
    return Error{
        ErrorKind::kNotFound, action + " " + path + ": no such file", "check the data folder", Executed::kNo, {}};
  }
  const std::string remedy = error_number == ENOSPC || error_number == EDQUOT
                                 ? "free space on the disk of the data folder, then restart the replica"
                                 : "check the disk and the permissions of the data folder, then restart the replica";
  return Error{
      ErrorKind::kStorageFailed, action + " " + path + ": " + std::strerror(error_number), remedy, Executed::kNo, {}};
}

/// Closes a descriptor at the end of a scope.
class DescriptorGuard {
 public:
  explicit DescriptorGuard(int descriptor) : descriptor_(descriptor) {}
  ~DescriptorGuard() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }
  DescriptorGuard(const DescriptorGuard&) = delete;
  DescriptorGuard& operator=(const DescriptorGuard&) = delete;
  int get() const { return descriptor_; }

 private:
  int descriptor_;
};

/// Returns zero or an error number.
int writeAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return errno;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return 0;
}

/// Returns zero or an error number.
int syncFolder(const std::string& path) {
  const DescriptorGuard folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.get() < 0) return errno;
  return ::fsync(folder.get()) == 0 ? 0 : errno;
}

std::string parentOf(const std::string& path) {
  return std::filesystem::path(path).parent_path().string();
}

/// Creates `folder` and its parents, each made durable by a sync of its parent. Returns zero or an error number.
int createFolders(const std::string& folder) {
  if (folder.empty() || std::filesystem::exists(folder)) return 0;
  const std::string parent = parentOf(folder);
  const int parent_created = createFolders(parent);
  if (parent_created != 0) return parent_created;
  if (::mkdir(folder.c_str(), 0755) != 0 && errno != EEXIST) return errno;
  return syncFolder(parent.empty() ? "." : parent);
}

}  // namespace

PosixDisk::PosixDisk(std::string folder, Post post) : folder_(std::move(folder)), post_(std::move(post)) {
  createFolders(folder_);
  thread_ = std::thread([this] { runSyncs(); });
}

PosixDisk::~PosixDisk() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_arrived_.notify_one();
  thread_.join();
  for (const SyncJob& job : jobs_) {
    if (job.descriptor >= 0) ::close(job.descriptor);
  }
  for (const auto& [name, descriptor] : descriptors_) ::close(descriptor);
}

std::string PosixDisk::pathOf(const std::string& name) const {
  return folder_ + "/" + name;
}

Result<std::vector<std::string>> PosixDisk::list(const std::string& folder) {
  std::vector<std::string> names;
  std::error_code error;
  for (std::filesystem::directory_iterator entry(pathOf(folder), error), end; !error && entry != end;
       entry.increment(error)) {
    const std::string name = entry->path().filename().string();
    const bool temporary = name.ends_with(kTemporarySuffix);
    if (entry->is_regular_file() && !temporary) names.push_back(folder.empty() ? name : folder + "/" + name);
  }
  if (error && error != std::errc::no_such_file_or_directory) return storageError("list", folder, error.value());
  std::sort(names.begin(), names.end());
  return names;
}

Result<std::uint64_t> PosixDisk::size(const std::string& name) {
  struct stat status {};
  if (::stat(pathOf(name).c_str(), &status) != 0) return storageError("read", name, errno);
  return static_cast<std::uint64_t>(status.st_size);
}

Result<std::string> PosixDisk::read(const std::string& name) {
  const Result<std::uint64_t> bytes = size(name);
  if (!isOk(bytes)) return errorOf(bytes);
  return readRange(name, 0, valueOf(bytes));
}

Result<std::string> PosixDisk::readRange(const std::string& name, std::uint64_t offset, std::uint64_t length) {
  const DescriptorGuard file(::open(pathOf(name).c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) return storageError("read", name, errno);
  std::string bytes(length, '\0');
  std::size_t held = 0;
  while (held < length) {
    const ssize_t got = ::pread(file.get(), bytes.data() + held, length - held, static_cast<off_t>(offset + held));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return storageError("read", name, errno);
    if (got == 0) break;
    held += static_cast<std::size_t>(got);
  }
  bytes.resize(held);
  return bytes;
}

int PosixDisk::appendDescriptor(const std::string& name) {
  const auto known = descriptors_.find(name);
  if (known != descriptors_.end()) return known->second;
  const std::string path = pathOf(name);
  const int folder_error = createFolders(parentOf(path));
  if (folder_error != 0) return -folder_error;
  const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) return -errno;
  descriptors_[name] = descriptor;
  return descriptor;
}

void PosixDisk::closeDescriptor(const std::string& name) {
  const auto known = descriptors_.find(name);
  if (known == descriptors_.end()) return;
  ::close(known->second);
  descriptors_.erase(known);
}

Status PosixDisk::append(const std::string& name, std::string_view bytes) {
  const int descriptor = appendDescriptor(name);
  if (descriptor < 0) return storageError("open", name, -descriptor);
  const int write_error = writeAll(descriptor, bytes);
  if (write_error != 0) return storageError("write", name, write_error);
  return okStatus();
}

Status PosixDisk::truncate(const std::string& name, std::uint64_t size) {
  if (::truncate(pathOf(name).c_str(), static_cast<off_t>(size)) != 0) return storageError("truncate", name, errno);
  return okStatus();
}

Status PosixDisk::replace(const std::string& name, std::string_view bytes) {
  closeDescriptor(name);
  const std::string path = pathOf(name);
  const std::string temporary = path + std::string(kTemporarySuffix);
  const int folder_error = createFolders(parentOf(path));
  if (folder_error != 0) return storageError("create folder of", name, folder_error);
  {
    const DescriptorGuard file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
    if (file.get() < 0) return storageError("open", name, errno);
    const int write_error = writeAll(file.get(), bytes);
    if (write_error != 0) return storageError("write", name, write_error);
    if (::fdatasync(file.get()) != 0) return storageError("sync", name, errno);
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0) return storageError("rename", name, errno);
  const int sync_error = syncFolder(parentOf(path));
  if (sync_error != 0) return storageError("sync folder of", name, sync_error);
  return okStatus();
}

Status PosixDisk::remove(const std::string& name) {
  closeDescriptor(name);
  linked_.erase(name);
  const std::string path = pathOf(name);
  if (::unlink(path.c_str()) != 0) return storageError("remove", name, errno);
  const int sync_error = syncFolder(parentOf(path));
  if (sync_error != 0) return storageError("sync folder of", name, sync_error);
  return okStatus();
}

void PosixDisk::sync(const std::string& name, SyncCallback done) {
  ++sync_count_;
  SyncJob job;
  job.name = name;
  job.done = std::move(done);
  const int descriptor = appendDescriptor(name);
  if (descriptor < 0) {
    job.error_number = -descriptor;
  } else {
    job.descriptor = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
    if (job.descriptor < 0) job.error_number = errno;
  }
  if (linked_.insert(name).second) job.folder = parentOf(pathOf(name));
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  work_arrived_.notify_one();
}

Status PosixDisk::runSync(const SyncJob& job) const {
  if (job.descriptor < 0) return storageError("open", job.name, job.error_number);
  const DescriptorGuard file(job.descriptor);
  if (::fdatasync(file.get()) != 0) return storageError("sync", job.name, errno);
  if (job.folder.empty()) return okStatus();
  const int sync_error = syncFolder(job.folder);
  if (sync_error != 0) return storageError("sync folder of", job.name, sync_error);
  return okStatus();
}

void PosixDisk::runSyncs() {
  while (true) {
    SyncJob job;
    {
      std::unique_lock lock(mutex_);
      work_arrived_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (stopping_) return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    const Status status = runSync(job);
    post_([done = std::move(job.done), status] { done(status); });
  }
}

}  // namespace hatchfork
