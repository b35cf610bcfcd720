#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_dialect.hpp"
#include "process/store/item_runner.hpp"
#include "tests/connection/early_engine.hpp"
#include "tests/connection/endless_engine.hpp"
#include "tests/connection/scripted_engine.hpp"

// Answers of engines that are no text, or no end of one.
using namespace hatchfork;
using namespace hatchfork::store;
using connection::monotonicNow;
using fleet::RunNews;
using fleet::RunOrder;
using fleet::RunReport;

namespace {

const ReplicaId kSelf("10.0.0.2");
const ReplicaId kLeader("10.0.0.1");
const std::string kStreamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: item\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunkOf(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

/// A runner with one run, of the item "item" at an engine on loopback.
class SingleRun {
 public:
  explicit SingleRun(connection::asio::io_context& context)
      : context_(context),
        dialect_(platform::makePlatformDialect()),
        runner_(context, *dialect_, kSelf, [this](const ReplicaId&, const fleet::FleetMessage& message) {
          const auto* report = std::get_if<RunReport>(&message);
          if (report == nullptr) return;
          for (const RunNews& news : report->news) {
            if (news.ended) ended_.push_back(news);
          }
        }) {}

  /// Starts the run, and handles events until its end was reported and `done`, or for 15 seconds.
  void play(std::uint16_t port, std::vector<ItemHeader> headers, const std::function<bool()>& done,
            RunOrder order = RunOrder()) {
    order.from = kLeader;
    order.term = 1;
    order.number = 7;
    std::string body = order.item.body.empty() ? "body" : std::move(order.item.body);
    order.item = OpaqueItem{"item", "/x/1", std::move(headers), std::move(body), 10};
    order.host = "a.example";
    order.engine = EngineId("e");
    order.engine_address = fmt::format("127.0.0.1:{}", port);
    runner_.take(std::move(order));
    const Instant give_up = monotonicNow() + std::chrono::seconds(15);
    while (!(!ended_.empty() && done()) && monotonicNow() < give_up) context_.run_for(fromMillis(10));
  }
  /// Ends that were reported.
  const std::vector<RunNews>& ended() const { return ended_; }

 private:
  connection::asio::io_context& context_;
  std::unique_ptr<const Dialect> dialect_;
  std::vector<RunNews> ended_;
  ItemRunner runner_;
};

bool isDone() {
  return true;
}

}  // namespace

// Guards against runs that stay at an engine for as long as it sends bytes, and a store whose memory grows meanwhile.
TEST_CASE("bytes that add nothing to a text do not keep its run at the engine", "[store][runner][endless]") {
  const std::string piece = GENERATE(as<std::string>(), "data: no line has an end ", ": a comment\n\n",
                                     "id: 1\ndata: again\n\n", "id: 1\n\n", "\n");
  const Duration pause = GENERATE(Duration::zero(), fromMillis(2));
  connection::asio::io_context context;
  connection::EndlessEngine engine(context, kStreamHead + chunkOf("id: 1\ndata: one\n\n"), chunkOf(piece), pause);
  SingleRun run(context);
  run.play(engine.port(), {}, [&engine] { return engine.isClosed(); });
  REQUIRE(run.ended().size() == 1);
  REQUIRE(run.ended().front().end == fleet::RunEnd::kBroken);
  REQUIRE(run.ended().front().verdict == request::EngineVerdict::kFailed);
  REQUIRE(run.ended().front().last_event == 1);
  REQUIRE(engine.isClosed());
}

// Guards against items with an empty or short text that counts as whole, and against answers that count as an engine's.
TEST_CASE("a run whose answer is cut at any place of its head is broken", "[store][runner]") {
  const std::string status = GENERATE("200 OK", "422 Unprocessable", "500 Internal");
  const connection::AfterAnswer after = GENERATE(connection::AfterAnswer::kCloses, connection::AfterAnswer::kResets);
  const std::string head = "HTTP/1.1 " + status + "\r\nX-Attempt-Id: item\r\nContent-Length: 2\r\n\r\n";
  for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
    CAPTURE(head.substr(0, bytes));
    connection::asio::io_context context;
    connection::ScriptedEngine engine(context, head.substr(0, bytes), after);
    SingleRun run(context);
    run.play(engine.port(), {}, isDone);
    REQUIRE(run.ended().size() == 1);
    REQUIRE(run.ended().front().end == fleet::RunEnd::kBroken);
    REQUIRE(run.ended().front().last_event == 0);
  }
}

// Guards against items with a part of their text: the connection breaks while the item's body is being sent.
TEST_CASE("a run whose answer without a length breaks while the item is being sent is broken",
          "[store][runner][broken]") {
  const connection::EarlyEnd early_end =
      GENERATE(connection::EarlyEnd::kResets, connection::EarlyEnd::kCloses, connection::EarlyEnd::kEndsAndResets);
  const bool is_second_run = GENERATE(false, true);
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: item\r\n\r\n";
  connection::asio::io_context context;
  connection::EarlyEngine engine(context, is_second_run ? head : head + "id: 1\ndata: one\n\n", early_end);
  RunOrder order;
  order.last_event = is_second_run ? 1 : 0;
  order.after_close = is_second_run;
  order.item.body = std::string(12u << 20, 'u');
  SingleRun run(context);
  run.play(engine.port(), {}, isDone, order);
  REQUIRE(run.ended().size() == 1);
  REQUIRE(run.ended().front().end == fleet::RunEnd::kBroken);
  REQUIRE(run.ended().front().verdict == request::EngineVerdict::kFailed);
}

// Guards against items that run again and again, or are taken for whole too early, at engines whose answers have no
// length.
TEST_CASE("an item's text that two runs end by a close at the same event is whole", "[store][runner]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: item\r\nConnection: close\r\n\r\n";
  const bool is_second_run = GENERATE(false, true);
  const connection::AfterAnswer after = GENERATE(connection::AfterAnswer::kCloses, connection::AfterAnswer::kEnds);
  connection::asio::io_context context;
  connection::ScriptedEngine engine(context, is_second_run ? head : head + "id: 1\ndata: one\n\n", after);
  RunOrder order;
  order.last_event = is_second_run ? 1 : 0;
  order.after_close = is_second_run;
  SingleRun run(context);
  run.play(engine.port(), {}, isDone, std::move(order));
  REQUIRE(run.ended().size() == 1);
  const RunNews& news = run.ended().front();
  REQUIRE(news.last_event == 1);
  if (after == connection::AfterAnswer::kEnds) {
    REQUIRE(news.end == fleet::RunEnd::kBroken);
    REQUIRE(news.verdict == request::EngineVerdict::kFailed);
    return;
  }
  REQUIRE(news.end == (is_second_run ? fleet::RunEnd::kWhole : fleet::RunEnd::kClosed));
  REQUIRE(news.verdict == request::EngineVerdict::kGood);
}

// Guards against an item that is run without end, and against a text that another run's break makes whole.
TEST_CASE("an item's answer that is closed without an event, or before its last event, is broken", "[store][runner]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: item\r\nConnection: close\r\n\r\n";
  const bool repeats = GENERATE(false, true);
  connection::asio::io_context context;
  connection::ScriptedEngine engine(context, repeats ? head + "id: 1\ndata: one\n\n" : head,
                                    connection::AfterAnswer::kCloses);
  RunOrder order;
  order.last_event = repeats ? 2 : 0;
  order.after_close = repeats;
  SingleRun run(context);
  run.play(engine.port(), {}, isDone, std::move(order));
  REQUIRE(run.ended().size() == 1);
  REQUIRE(run.ended().front().end == fleet::RunEnd::kBroken);
  REQUIRE(run.ended().front().verdict == request::EngineVerdict::kFailed);
}

// Guards against texts that grow for as long as an engine goes on.
TEST_CASE("a text without an end is dropped", "[store][runner][endless]") {
  connection::asio::io_context context;
  std::string answer = kStreamHead;
  for (int number = 1; number <= 40; ++number) {
    answer += chunkOf(fmt::format("id: {}\ndata: {}\n\n", number, std::string(1u << 17, 'x')));
  }
  connection::ScriptedEngine engine(context, answer);
  SingleRun run(context);
  run.play(engine.port(), {}, isDone);
  REQUIRE(run.ended().size() == 1);
  REQUIRE(run.ended().front().end == fleet::RunEnd::kBroken);
  REQUIRE(run.ended().front().last_event == 0);
}

// Guards against engines that get no work any more, since an item asked them for weights that they don't have.
TEST_CASE("an engine that declines an item for the weights it asks for is not taken for another one",
          "[store][runner][weights]") {
  const bool names_weights = GENERATE(true, false);
  connection::asio::io_context context;
  connection::ScriptedEngine engine(
      context, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: item\r\nContent-Length: 0\r\n\r\n");
  std::vector<ItemHeader> headers;
  if (names_weights) headers.push_back({"x-expect-version", "1"});
  SingleRun run(context);
  run.play(engine.port(), headers, isDone);
  REQUIRE(run.ended().size() == 1);
  REQUIRE(run.ended().front().end == fleet::RunEnd::kDeclined);
  const auto expected = names_weights ? request::EngineVerdict::kNeutral : request::EngineVerdict::kGone;
  REQUIRE(run.ended().front().verdict == expected);
}
