#include "process/storage/posix_disk.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <future>

namespace hatchfork {
namespace {

/// A folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "hatchfork-test-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    path_ = name;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

void runAtOnce(const std::function<void()>& work) {
  work();
}

Status syncAndWait(Disk& disk, const std::string& name) {
  std::promise<Status> ended;
  disk.sync(name, [&](const Status& status) { ended.set_value(status); });
  return ended.get_future().get();
}

TEST_CASE("appended, truncated and replaced files are read back after reopening", "[storage]") {
  TemporaryFolder folder;
  {
    PosixDisk disk(folder.path() + "/data", runAtOnce);
    REQUIRE(isOk(disk.append("group-0/log", "one")));
    REQUIRE(isOk(disk.append("group-0/log", "two")));
    REQUIRE(isOk(syncAndWait(disk, "group-0/log")));
    REQUIRE(isOk(disk.replace("group-0/vote", "old")));
    REQUIRE(isOk(disk.replace("group-0/vote", "new")));
  }
  PosixDisk disk(folder.path() + "/data", runAtOnce);
  CHECK(valueOf(disk.read("group-0/log")) == "onetwo");
  CHECK(valueOf(disk.readRange("group-0/log", 2, 3)) == "etw");
  CHECK(valueOf(disk.read("group-0/vote")) == "new");
  CHECK(valueOf(disk.list("group-0")) == std::vector<std::string>{"group-0/log", "group-0/vote"});
  REQUIRE(isOk(disk.truncate("group-0/log", 4)));
  CHECK(valueOf(disk.read("group-0/log")) == "onet");
}

TEST_CASE("absent files are reported as not found, absent folders as empty", "[storage]") {
  TemporaryFolder folder;
  PosixDisk disk(folder.path(), runAtOnce);
  CHECK(errorOf(disk.read("group-0/log")).kind == ErrorKind::kNotFound);
  CHECK(errorOf(disk.remove("log")).kind == ErrorKind::kNotFound);
  CHECK(valueOf(disk.list("group-0")).empty());
}

TEST_CASE("a failed write is reported as a storage failure with a remedy", "[storage]") {
  TemporaryFolder folder;
  PosixDisk disk(folder.path(), runAtOnce);
  REQUIRE(isOk(disk.append("file", "x")));
  const Status status = disk.append("file/below", "x");
  REQUIRE_FALSE(isOk(status));
  CHECK(errorOf(status).kind == ErrorKind::kStorageFailed);
  CHECK_FALSE(errorOf(status).remedy.empty());
}

TEST_CASE("syncs call back in order", "[storage]") {
  TemporaryFolder folder;
  PosixDisk disk(folder.path(), runAtOnce);
  std::vector<int> order;
  for (int i = 0; i < 20; ++i) {
    const std::string name = "file" + std::to_string(i % 3);
    REQUIRE(isOk(disk.append(name, "x")));
    disk.sync(name, [&order, i](const Status&) { order.push_back(i); });
  }
  REQUIRE(isOk(syncAndWait(disk, "file0")));
  std::vector<int> expected(20);
  for (int i = 0; i < 20; ++i) expected[static_cast<std::size_t>(i)] = i;
  CHECK(order == expected);
}

}  // namespace
}  // namespace hatchfork
