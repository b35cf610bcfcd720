#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "connection/asio.hpp"
#include "request/admission/byte_budget.hpp"

namespace hatchfork::connection {

class HeldBytes;

/// Which side of a process a peer is on; a word for logs and metrics.
enum class PeerSide { kCaller, kEngine };

/// Holds the process's byte budget, looks several times a second who reads too slowly, and lets these go. Belongs to
/// one thread; outlives what it handed out only through shared pointers.
class SlowReaders : public std::enable_shared_from_this<SlowReaders> {
 public:
  struct Counters {
    std::uint64_t callers_let_go = 0;
    std::uint64_t engines_let_go = 0;
    /// Waits for room, of answers and of requests with long bodies.
    std::uint64_t waits = 0;
  };

  SlowReaders(asio::io_context& context, request::ByteBudgetLimits limits);

  /// Begins to look; until `stop`.
  void start();
  void stop();

  /// Counts bytes until what is returned is destroyed. `peer` is named in the log, and `let_go` ends the connection to
  /// it.
  std::unique_ptr<HeldBytes> hold(PeerSide side, std::string peer, std::size_t bytes, std::function<void()> let_go);
  /// The same for bytes that are about to be collected.
  std::unique_ptr<HeldBytes> collect(std::string peer);
  /// Waits until more may be collected for `held`, or for anything where that is null; false after `deadline`.
  Awaitable<bool> awaitRoom(const HeldBytes* held, Instant deadline);
  bool hasRoom() const { return budget_.hasRoom(); }

  std::size_t bytes() const { return budget_.bytes(); }
  std::size_t mostBytes() const { return budget_.limits().most_bytes; }
  const Counters& counters() const { return counters_; }

 private:
  friend class HeldBytes;

  struct Peer {
    PeerSide side = PeerSide::kCaller;
    std::string name;
    std::function<void()> let_go;
  };

  void look();
  void lookLater();
  void letGo(const request::SlowPeer& slow);

  asio::io_context& context_;
  Timer timer_;
  request::ByteBudget budget_;
  std::map<request::BufferId, Peer> peers_;
  Counters counters_;
};

/// Bytes that are held for one peer; counted until destroyed.
class HeldBytes {
 public:
  HeldBytes(std::shared_ptr<SlowReaders> readers, request::BufferId id) : readers_(std::move(readers)), id_(id) {}
  ~HeldBytes();
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  void add(std::size_t bytes);
  /// The peer is waited for from now on.
  void offer();
  void noteTaken(std::size_t bytes);

 private:
  friend class SlowReaders;
  std::shared_ptr<SlowReaders> readers_;
  request::BufferId id_;
};

/// Calls `noteTaken` as a write goes on. For `asio::async_write`.
struct NoteProgress {
  HeldBytes* held = nullptr;
  std::size_t noted = 0;

  std::size_t operator()(const boost::system::error_code& error, std::size_t transferred) {
    constexpr std::size_t kLargestWrite = 64u << 10;
    if (held != nullptr && transferred > noted) held->noteTaken(transferred - noted);
    noted = transferred;
    return error ? 0 : kLargestWrite;
  }
};

}  // namespace hatchfork::connection
