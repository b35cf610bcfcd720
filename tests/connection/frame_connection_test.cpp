#include "connection/frame_connection.hpp"

#include <catch2/catch.hpp>
#include <limits>
#include <memory>
#include <string>

#include "connection/frame_server.hpp"
#include "tests/common/heap_meter.hpp"

using namespace hatchfork;
using namespace hatchfork::connection;

namespace {

constexpr std::uint16_t kPort = 17947;
constexpr std::size_t kLimit = 4 << 20;
/// More than the kernel takes for two connections whose peers don't read.
const std::string kFrame(512 * 1024, 'x');
constexpr int kFrames = 64;

/// The bound of the process is as before at the end.
struct OutboxLimit {
  explicit OutboxLimit(std::size_t bytes) { FrameConnection::setOutboxLimit(bytes); }
  ~OutboxLimit() { FrameConnection::setOutboxLimit(std::numeric_limits<std::size_t>::max()); }
};

tcp::socket connectTo(asio::io_context& context) {
  tcp::socket socket(context);
  socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), kPort));
  return socket;
}

}  // namespace

TEST_CASE("peers that don't read hold no more of a process together than it has for them", "[connection][memory]") {
  const OutboxLimit limit(kLimit);
  asio::io_context context;
  std::vector<FrameServer::ConnectionPtr> accepted;
  FrameServer server(
      context, Endpoint{"127.0.0.1", kPort},
      [&](const std::string&, const FrameServer::ConnectionPtr& from) { accepted.push_back(from); }, nullptr);
  REQUIRE(isOk(server.start()));
  // Two peers that read nothing, and one that takes what it is sent.
  std::vector<tcp::socket> silent;
  for (int i = 0; i < 2; ++i) silent.push_back(connectTo(context));
  std::size_t read_frames = 0;
  auto reader = std::make_shared<FrameConnection>(
      connectTo(context), [&](const std::string&) { ++read_frames; }, nullptr);
  reader->start();
  const std::string hello("\0\0\0\1h", 5);
  for (tcp::socket& socket : silent) asio::write(socket, asio::buffer(hello));
  context.run_for(std::chrono::milliseconds(200));
  reader->send("h");
  context.run_for(std::chrono::milliseconds(200));
  REQUIRE(accepted.size() == 3);

  std::size_t most = 0;
  for (int i = 0; i < kFrames; ++i) {
    for (const auto& connection : accepted) connection->send(kFrame);
    context.run_for(std::chrono::milliseconds(5));
    most = std::max(most, FrameConnection::outboxBytesOfProcess());
  }
  context.run_for(std::chrono::milliseconds(200));
  CHECK(most <= kLimit + accepted.size() * (kFrame.size() + 4));
  CHECK_FALSE(accepted[0]->isOpen());
  CHECK_FALSE(accepted[1]->isOpen());
  CHECK(accepted[2]->isOpen());
  CHECK(read_frames == kFrames);
  reader->close();
  for (const auto& connection : accepted) connection->close();
  context.run_for(std::chrono::milliseconds(50));
}

// Guards against peers that fill a process by announcing frames.
TEST_CASE("a frame takes memory as it arrives, not as it is announced", "[connection][memory]") {
  constexpr int kPeers = 8;
  constexpr std::uint32_t kAnnounced = 32u << 20;
  asio::io_context context;
  std::size_t received = 0;
  FrameServer server(
      context, Endpoint{"127.0.0.1", kPort},
      [&](const std::string& body, const FrameServer::ConnectionPtr&) { received += body.size(); }, nullptr);
  REQUIRE(isOk(server.start()));
  std::vector<tcp::socket> peers;
  const std::size_t before = HeapMeter::held();
  HeapMeter::resetPeak();
  for (int i = 0; i < kPeers; ++i) {
    peers.push_back(connectTo(context));
    asio::write(peers.back(), asio::buffer(std::string("\x02\0\0\0begin", 9)));
  }
  const Instant give_up = monotonicNow() + std::chrono::seconds(20);
  while (FrameConnection::incomingBytesOfProcess() < std::size_t{kPeers} * kAnnounced && monotonicNow() < give_up) {
    context.run_for(fromMillis(10));
  }
  REQUIRE(FrameConnection::incomingBytesOfProcess() == std::size_t{kPeers} * kAnnounced);
  context.run_for(fromMillis(50));
  CHECK(HeapMeter::peak() - before < (4u << 20));
  // A frame of the largest length arrives whole all the same.
  std::string rest(kAnnounced - 5, 'x');
  asio::async_write(peers.front(), asio::buffer(rest), [](boost::system::error_code, std::size_t) {});
  while (received == 0 && monotonicNow() < give_up) context.run_for(fromMillis(10));
  CHECK(received == kAnnounced);
}
