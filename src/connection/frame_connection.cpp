#include "connection/frame_connection.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <limits>
#include <utility>

#include "common/log.hpp"

namespace hatchfork::connection {
namespace {

/// Memory that a frame takes before more than that of it has come.
constexpr std::size_t kFirstPieceBytes = 64u << 10;
constexpr std::size_t kMostQueuedBytes = 64u << 20;
/// Processes that start together refuse each other for some milliseconds; one that is away for long is tried seldom.
constexpr Duration kFirstPause = fromMillis(5);
constexpr Duration kLongestPause = fromMillis(300);
/// A machine that just comes up may have swallowed the first packet: the first try is given up soon.
constexpr Duration kFirstConnectTimeout = fromMillis(20);
constexpr Duration kConnectTimeout = fromMillis(400);
/// Frames that wait for a connection: how long, and how many bytes of them.
constexpr Duration kLongestWait = fromMillis(500);
constexpr std::size_t kMostWaitingBytes = 256u << 10;
/// A link whose far side is known to be up begins a new try this often at the most: a far one may answer slowly.
constexpr Duration kBetweenRetriesNow = fromMillis(400);
/// A peer that takes no bytes and answers no probe for this long is given up.
constexpr Duration kSilentPeerTimeout = std::chrono::seconds(2);

/// Of all connections of the process, which may belong to several threads.
std::atomic<std::size_t> outbox_limit{std::numeric_limits<std::size_t>::max()};
std::atomic<std::size_t> outbox_total{0};
std::atomic<std::size_t> incoming_total{0};
std::atomic<std::size_t> connections{0};

/// Counts a frame for as long as it is received and handled.
class IncomingFrame {
 public:
  explicit IncomingFrame(std::size_t bytes) : bytes_(bytes) { incoming_total += bytes_; }
  ~IncomingFrame() { incoming_total -= bytes_; }
  IncomingFrame(const IncomingFrame&) = delete;
  IncomingFrame& operator=(const IncomingFrame&) = delete;

 private:
  std::size_t bytes_;
};

/// Receives the next piece of a frame's body. Its memory grows with what has come, since a peer may announce more than
/// it sends.
Awaitable<void> readMore(tcp::socket& socket, std::string& body, std::size_t length, boost::system::error_code& error) {
  const std::size_t received = body.size();
  const std::size_t next = std::min(length, std::max(kFirstPieceBytes, 2 * received));
  body.reserve(next);
  body.resize(next);
  const auto piece = asio::buffer(body.data() + received, next - received);
  co_await asio::async_read(socket, piece, asio::redirect_error(asio::use_awaitable, error));
}

std::array<unsigned char, 4> encodeLength(std::uint32_t length) {
  return {static_cast<unsigned char>(length >> 24), static_cast<unsigned char>(length >> 16),
          static_cast<unsigned char>(length >> 8), static_cast<unsigned char>(length)};
}

std::uint32_t decodeLength(const std::array<unsigned char, 4>& bytes) {
  return (std::uint32_t{bytes[0]} << 24) | (std::uint32_t{bytes[1]} << 16) | (std::uint32_t{bytes[2]} << 8) | bytes[3];
}

}  // namespace

FrameConnection::FrameConnection(tcp::socket socket, FrameHandler on_frame, CloseHandler on_close)
    : socket_(std::move(socket)), on_frame_(std::move(on_frame)), on_close_(std::move(on_close)) {
  boost::system::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  detectSilentPeer(socket_, kSilentPeerTimeout);
  ++connections;
}

FrameConnection::~FrameConnection() {
  noteOutbox(0, outbox_bytes_);
  --connections;
}

void FrameConnection::setOutboxLimit(std::size_t bytes) {
  outbox_limit = bytes;
}

std::size_t FrameConnection::outboxBytesOfProcess() {
  return outbox_total;
}

std::size_t FrameConnection::incomingBytesOfProcess() {
  return incoming_total;
}

void FrameConnection::noteOutbox(std::size_t added, std::size_t taken) {
  outbox_bytes_ += added;
  outbox_bytes_ -= taken;
  outbox_total += added;
  outbox_total -= taken;
}

bool FrameConnection::isOverfull(std::size_t frame_bytes) const {
  const std::size_t queued = outbox_bytes_ + frame_bytes;
  if (frame_bytes > kLargestFrame || queued > kMostQueuedBytes) return true;
  // A peer that has taken all before may always be sent one frame.
  if (outbox_bytes_ == 0 || outbox_total + frame_bytes <= outbox_limit) return false;
  return queued > outbox_limit / std::max<std::size_t>(1, connections);
}

void FrameConnection::start() {
  auto self = shared_from_this();
  auto read = [self]() -> Awaitable<void> { co_await self->readLoop(); };
  asio::co_spawn(socket_.get_executor(), std::move(read), asio::detached);
}

void FrameConnection::send(const std::string& body) {
  if (!open_) return;
  if (isOverfull(body.size())) {
    logEvent(LogLevel::kWarning, "frame_queue_overflow",
             {{"queued", outbox_bytes_}, {"frame", body.size()}, {"queued_by_all", outbox_total.load()}});
    close();
    return;
  }
  const std::array<unsigned char, 4> length = encodeLength(static_cast<std::uint32_t>(body.size()));
  std::string frame(length.begin(), length.end());
  frame += body;
  noteOutbox(frame.size(), 0);
  outbox_.push_back(std::move(frame));
  if (writing_) return;
  writing_ = true;
  auto self = shared_from_this();
  auto write = [self]() -> Awaitable<void> { co_await self->writeLoop(); };
  asio::co_spawn(socket_.get_executor(), std::move(write), asio::detached);
}

void FrameConnection::close() {
  if (!open_) return;
  open_ = false;
  boost::system::error_code ignored;
  socket_.close(ignored);
  // Posted, so that no caller of send() is destroyed below its own feet.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->on_close_) self->on_close_();
    self->on_close_ = nullptr;
    self->on_frame_ = nullptr;
  });
}

Awaitable<void> FrameConnection::readLoop() {
  boost::system::error_code error;
  while (open_) {
    std::array<unsigned char, 4> header;
    co_await asio::async_read(socket_, asio::buffer(header), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    const std::uint32_t length = decodeLength(header);
    if (length > kLargestFrame) {
      logEvent(LogLevel::kWarning, "frame_too_large", {{"bytes", length}});
      break;
    }
    const IncomingFrame counted(length);
    std::string body;
    while (!error && body.size() < length) co_await readMore(socket_, body, length, error);
    if (error) break;
    bytes_received_ += header.size() + body.size();
    if (open_ && on_frame_) on_frame_(std::move(body));
  }
  close();
}

Awaitable<void> FrameConnection::writeLoop() {
  boost::system::error_code error;
  while (open_ && !outbox_.empty()) {
    std::string frame = std::move(outbox_.front());
    outbox_.pop_front();
    co_await asio::async_write(socket_, asio::buffer(frame), asio::redirect_error(asio::use_awaitable, error));
    noteOutbox(0, frame.size());
    if (error) break;
    bytes_sent_ += frame.size();
  }
  writing_ = false;
  if (error) close();
}

ReconnectingLink::ReconnectingLink(asio::io_context& context, Endpoint endpoint, FrameConnection::FrameHandler on_frame,
                                   StateHandler on_state)
    : context_(context),
      endpoint_(std::move(endpoint)),
      on_frame_(std::move(on_frame)),
      on_state_(std::move(on_state)),
      closed_(context) {}

void ReconnectingLink::start() {
  auto self = shared_from_this();
  auto loop = [self]() -> Awaitable<void> { co_await self->run(); };
  asio::co_spawn(context_, std::move(loop), asio::detached);
}

void ReconnectingLink::stop() {
  stopped_ = true;
  closed_.cancel();
  if (connection_) connection_->close();
}

void ReconnectingLink::retryNow() {
  const Instant now = monotonicNow();
  if (isConnected() || now < retried_at_ + kBetweenRetriesNow) return;
  retried_at_ = now;
  retry_now_ = true;
  closed_.cancel();
  // The try in flight may have been swallowed while the far side came up.
  boost::system::error_code ignored;
  if (connecting_) connecting_->close(ignored);
}

bool ReconnectingLink::send(const std::string& body) {
  if (!isConnected()) return false;
  connection_->send(body);
  return true;
}

void ReconnectingLink::sendSoon(std::string body) {
  if (send(body) || body.size() > kMostWaitingBytes) return;
  waiting_bytes_ += body.size();
  waiting_.push_back(WaitingFrame{std::move(body), monotonicNow()});
  while (waiting_bytes_ > kMostWaitingBytes) {
    waiting_bytes_ -= waiting_.front().body.size();
    waiting_.pop_front();
  }
}

void ReconnectingLink::flushWaiting() {
  const Instant oldest = monotonicNow() - kLongestWait;
  for (const WaitingFrame& frame : waiting_) {
    if (frame.since >= oldest) connection_->send(frame.body);
  }
  waiting_.clear();
  waiting_bytes_ = 0;
}

std::uint64_t ReconnectingLink::totalBytes() const {
  std::uint64_t total = bytes_of_closed_;
  if (connection_) total += connection_->bytesSent() + connection_->bytesReceived();
  return total;
}

void ReconnectingLink::onClosed() {
  if (!connection_) return;
  bytes_of_closed_ += connection_->bytesSent() + connection_->bytesReceived();
  connection_.reset();
  closed_.cancel();
  if (on_state_) on_state_(false);
}

Awaitable<void> ReconnectingLink::run() {
  Duration pause = kFirstPause;
  Duration patience = kFirstConnectTimeout;
  while (!stopped_) {
    if (isConnected()) {
      boost::system::error_code woken;
      closed_.expires_at(Timer::time_point::max());
      co_await closed_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
      continue;
    }
    auto socket = std::make_shared<tcp::socket>(context_);
    connecting_ = socket;
    // Closes the socket, and so fails the connect, when the far side swallows packets in silence.
    Timer timeout(context_);
    timeout.expires_after(patience);
    timeout.async_wait([socket](boost::system::error_code error) {
      boost::system::error_code ignored;
      if (!error) socket->close(ignored);
    });
    boost::system::error_code error;
    const tcp::endpoint target(asio::ip::make_address(endpoint_.host, error), endpoint_.port);
    if (!error) co_await socket->async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    timeout.cancel();
    connecting_.reset();
    if (error || stopped_ || !socket->is_open()) {
      boost::system::error_code woken;
      if (std::exchange(retry_now_, false)) pause = kFirstPause;
      closed_.expires_after(pause);
      co_await closed_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
      pause = std::min(pause * 2, kLongestPause);
      patience = std::min(patience * 2, kConnectTimeout);
      continue;
    }
    pause = kFirstPause;
    patience = kFirstConnectTimeout;
    retry_now_ = false;
    auto self = shared_from_this();
    connection_ = std::make_shared<FrameConnection>(
        std::move(*socket), [self](std::string body) { self->on_frame_(std::move(body)); },
        [self] { self->onClosed(); });
    connection_->start();
    flushWaiting();
    if (on_state_) on_state_(true);
  }
}

}  // namespace hatchfork::connection
