#include "process/consensus/log.hpp"

#include <catch2/catch.hpp>

#include "bench/sim/simulated_disk.hpp"

namespace hatchfork::consensus {
namespace {

const std::string kFolder = "group-0";

/// A log on a simulated disk that can be closed and opened again.
class LogOnDisk {
 public:
  explicit LogOnDisk(std::uint64_t seed = 1) : disk(queue, seed) {}

  Result<std::unique_ptr<Log>> tryOpen(LogIndex base = 0, Term base_term = 0) {
    Log::Callbacks callbacks{[] {}, [this](const Error& error) { failure = error; }};
    return Log::open(disk, kFolder, base, base_term, callbacks);
  }
  std::unique_ptr<Log> open(LogIndex base = 0, Term base_term = 0) {
    Result<std::unique_ptr<Log>> log = tryOpen(base, base_term);
    REQUIRE(isOk(log));
    return valueOf(std::move(log));
  }
  void sync() { queue.runFor(fromMillis(100)); }

  sim::EventQueue queue;
  sim::SimulatedDisk disk;
  std::optional<Error> failure;
};

LogEntry entry(LogIndex index, Term term) {
  return LogEntry{index, term, EntryKind::kCommand, "payload " + std::to_string(index)};
}

void fill(Log& log, LogIndex from, LogIndex to, Term term) {
  for (LogIndex index = from; index <= to; ++index) log.append(entry(index, term));
}

TEST_CASE("entries count as synced only after the sync, also right after opening", "[consensus]") {
  LogOnDisk files;
  auto log = files.open();
  fill(*log, 1, 3, 1);
  CHECK(log->syncedIndex() == 0);
  files.sync();
  CHECK(log->syncedIndex() == 3);
  files.disk.endProcess();
  log = files.open();
  CHECK(log->lastIndex() == 3);
  CHECK(log->syncedIndex() == 0);
  files.sync();
  CHECK(log->syncedIndex() == 3);
}

TEST_CASE("conflicting entries replace all that follow, also after opening again", "[consensus]") {
  LogOnDisk files;
  auto log = files.open();
  fill(*log, 1, 10, 1);
  files.sync();
  log->append(entry(5, 2));
  CHECK(log->syncedIndex() == 4);
  files.sync();
  log = files.open();
  CHECK(log->lastIndex() == 5);
  CHECK(log->at(5) == entry(5, 2));
  CHECK(log->at(4) == entry(4, 1));
}

TEST_CASE("entries replaced while their sync runs are not taken for synced", "[consensus]") {
  LogOnDisk files;
  auto log = files.open();
  files.disk.setSyncLatency(fromMillis(10));
  // The first entry is synced alone until 10 ms, the others together until 20 ms.
  fill(*log, 1, 5, 1);
  files.queue.runFor(fromMillis(15));
  log->append(entry(3, 2));
  files.queue.runFor(fromMillis(7));
  CHECK(log->syncedIndex() == 2);
  files.sync();
  CHECK(log->syncedIndex() == 3);
}

TEST_CASE("a released entry is read from the file, also after more were appended, replaced or read again",
          "[consensus]") {
  LogOnDisk files;
  auto log = files.open();
  const std::string large(5000, 'x');
  for (LogIndex index = 1; index <= 40; ++index) {
    log->append(LogEntry{index, 1, EntryKind::kCommand, large + std::to_string(index)});
    if (index % 7 == 0) files.sync();
  }
  log->release(30);
  files.sync();
  log->release(30);
  CHECK(log->at(30).payload.empty());
  CHECK(log->at(31).payload == large + "31");
  for (LogIndex index = 1; index <= 40; ++index)
    CHECK(valueOf(log->read(index)).payload == large + std::to_string(index));
  // Entries from 20 on are replaced, released ones among them.
  for (LogIndex index = 20; index <= 25; ++index) {
    log->append(LogEntry{index, 2, EntryKind::kCommand, large + "new" + std::to_string(index)});
  }
  files.sync();
  log->release(25);
  CHECK(valueOf(log->read(19)).payload == large + "19");
  CHECK(valueOf(log->read(23)).payload == large + "new23");
  log = files.open();
  files.sync();
  log->release(25);
  CHECK(log->at(23).payload.empty());
  CHECK(valueOf(log->read(23)).payload == large + "new23");
  CHECK(valueOf(log->read(2)).term == 1);
}

TEST_CASE("a released payload gives its memory back", "[consensus]") {
  LogOnDisk files;
  auto log = files.open();
  for (LogIndex index = 1; index <= 10; ++index) {
    log->append(LogEntry{index, 1, EntryKind::kCommand, std::string(5000, 'x')});
  }
  files.sync();
  log->release(8);
  for (LogIndex index = 1; index <= 8; ++index) CHECK(log->at(index).payload.capacity() < 100);
  CHECK(log->at(9).payload.size() == 5000);
  // A log that is opened again holds none of them.
  log = files.open();
  files.sync();
  for (LogIndex index = 1; index <= 10; ++index) {
    CHECK(log->at(index).payload.capacity() < 100);
    CHECK(valueOf(log->read(index)).payload.size() == 5000);
  }
}

TEST_CASE("a crash loses only what was not synced", "[consensus]") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    LogOnDisk files(seed);
    auto log = files.open();
    fill(*log, 1, 20, 1);
    files.sync();
    fill(*log, 21, 40, 1);
    files.disk.crash();
    Result<std::unique_ptr<Log>> opened = files.tryOpen();
    // A zeroed end of a few bytes cannot be told from damage: then the disk counts as lost.
    if (!isOk(opened)) {
      CHECK(errorOf(opened).kind == ErrorKind::kStorageCorrupt);
      continue;
    }
    log = valueOf(std::move(opened));
    REQUIRE(log->lastIndex() >= 20);
    for (LogIndex index = 1; index <= log->lastIndex(); ++index) CHECK(log->at(index) == entry(index, 1));
    fill(*log, log->lastIndex() + 1, 60, 2);
    files.sync();
    log = files.open();
    CHECK(log->lastIndex() == 60);
  }
}

TEST_CASE("a flipped bit anywhere in the log is damage, never a shorter log", "[consensus]") {
  for (std::uint64_t byte = 0; byte < 300; ++byte) {
    LogOnDisk files;
    auto log = files.open();
    fill(*log, 1, 4, 1);
    files.sync();
    REQUIRE(files.disk.flipBit(valueOf(files.disk.list(kFolder)).front(), byte));
    const Result<std::unique_ptr<Log>> opened = files.tryOpen();
    REQUIRE_FALSE(isOk(opened));
    CHECK(errorOf(opened).kind == ErrorKind::kStorageCorrupt);
  }
}

TEST_CASE("compaction removes old segments and keeps the rest", "[consensus]") {
  LogOnDisk files;
  auto log = files.open();
  const std::string large(100000, 'x');
  for (LogIndex index = 1; index <= 60; ++index) {
    log->append(LogEntry{index, 1, EntryKind::kCommand, large});
    files.sync();
  }
  const std::uint64_t before = log->diskBytes();
  REQUIRE(isOk(log->compactBefore(50)));
  CHECK(log->diskBytes() < before / 3);
  CHECK(log->termAt(49) == Term(1));
  log = files.open(50, 1);
  CHECK(log->lastIndex() == 60);
  CHECK(valueOf(log->read(60)).payload == large);
}

TEST_CASE("a log without the entries after the snapshot is damage", "[consensus]") {
  LogOnDisk files;
  auto log = files.open(50, 1);
  fill(*log, 51, 60, 1);
  files.sync();
  CHECK_FALSE(isOk(files.tryOpen(0, 0)));
}

TEST_CASE("a snapshot that contradicts the log or goes beyond it replaces the log", "[consensus]") {
  for (const LogIndex base : {LogIndex(5), LogIndex(30)}) {
    LogOnDisk files;
    auto log = files.open();
    fill(*log, 1, 10, 1);
    files.sync();
    log = files.open(base, 2);
    CHECK(log->lastIndex() == base);
    CHECK(log->lastTerm() == 2);
    CHECK(valueOf(files.disk.list(kFolder)).empty());
  }
}

TEST_CASE("a full disk is reported once and stops the log", "[consensus]") {
  LogOnDisk files;
  auto log = files.open();
  files.disk.setFull(true);
  log->append(entry(1, 1));
  REQUIRE(files.failure);
  CHECK(files.failure->kind == ErrorKind::kStorageFailed);
  CHECK(log->syncedIndex() == 0);
}

}  // namespace
}  // namespace hatchfork::consensus
