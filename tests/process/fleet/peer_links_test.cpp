#include "process/fleet/peer_links.hpp"

#include <catch2/catch.hpp>
#include <list>
#include <memory>

#include "connection/frame_server.hpp"

using namespace hatchfork;
using namespace hatchfork::fleet;
using connection::monotonicNow;
using connection::tcp;

namespace {

const ReplicaId kPeer("127.0.0.1");
const ReplicaId kSelf("127.0.0.2");
/// More than the buffers of a connection take.
constexpr std::size_t kBulkBytes = 16u << 20;

GroupFrame frame(std::string body) {
  return GroupFrame{1, kSelf, kPeer, std::move(body)};
}

/// A peer that accepts connections, and reads nothing before it is told to.
class SlowPeer {
 public:
  explicit SlowPeer(connection::asio::io_context& context)
      : acceptor_(context, {connection::asio::ip::make_address(kPeer.value), 0}) {
    acceptNext();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connections() const { return sockets_.size(); }
  /// Bytes that wait on the connection; small frames arrive whole.
  std::size_t available(std::size_t connection) {
    return std::next(sockets_.begin(), static_cast<std::ptrdiff_t>(connection))->available();
  }

 private:
  void acceptNext() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      sockets_.push_back(std::move(socket));
      acceptNext();
    });
  }

  tcp::acceptor acceptor_;
  std::list<tcp::socket> sockets_;
};

}  // namespace

// Guards against leaders that lose their quorum because heartbeats wait behind entries.
TEST_CASE("an urgent frame reaches a peer that has not taken the bulk before it", "[fleet][links]") {
  connection::asio::io_context context;
  SlowPeer peer(context);
  auto links = std::make_unique<PeerLinks>(context, peer.port());
  const auto run_until = [&](const std::function<bool()>& condition) {
    const Instant give_up = monotonicNow() + std::chrono::seconds(10);
    while (!condition() && monotonicNow() < give_up) {
      context.restart();
      context.run_for(fromMillis(5));
    }
    return condition();
  };
  links->send(kPeer, frame("hello"), Lane::kBulk);
  REQUIRE(run_until([&] { return peer.connections() == 1; }));
  REQUIRE(links->send(kPeer, frame(std::string(kBulkBytes, 'x')), Lane::kBulk));
  REQUIRE(run_until([&] { return peer.available(0) > 0; }));
  REQUIRE(links->send(kPeer, frame("heartbeat"), Lane::kUrgent));
  REQUIRE(run_until([&] { return peer.connections() == 2 && peer.available(1) > 0; }));
  // Lets the connections end, whose frames count for the whole process.
  links.reset();
  run_until([] { return connection::FrameConnection::outboxBytesOfProcess() == 0; });
}
