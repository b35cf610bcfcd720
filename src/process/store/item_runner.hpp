#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/asio.hpp"
#include "connection/engine_exchange.hpp"
#include "connection/event_stream.hpp"
#include "process/fleet/crash_watch.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "request/crash/request_fingerprint.hpp"
#include "request/exchange/stream_position.hpp"
#include "version/dialect.hpp"

namespace hatchfork::store {

/// Runs batch items at engines as the leader of the store group orders, and reports what comes of them. It decides
/// nothing: a run that breaks is reported and forgotten. Runs outlive their leader: the next one is offered what runs
/// here and what ended lately, since nobody else may know it. Belongs to one thread.
///
/// Invariant: orders of an older term than the newest that was heard of are not taken, and nothing runs longer than the
/// lease after the last sign of life of a leader.
class ItemRunner {
 public:
  /// Sends a report or an offer to a leader.
  using ReportFunction = std::function<void(const ReplicaId& leader, fleet::FleetMessage message)>;

  ItemRunner(connection::asio::io_context& context, const Dialect& dialect, ReplicaId self, ReportFunction report,
             fleet::CrashWatch& crashes);
  ~ItemRunner();

  void take(fleet::RunOrder order);
  void take(const fleet::RunLease& lease);
  /// Sends reports that are due, and breaks off runs whose leader has fallen silent; call several times a second.
  void tick(Instant now);
  /// Breaks off everything and tells the leader so, for a planned stop.
  void abortAll();
  void closeIdle(const std::function<bool(const EngineId&)>& in_use) { engines_.closeIdle(in_use); }

  std::size_t running() const { return runs_.size(); }
  /// Answers of engines that no leader is known to have kept.
  std::size_t unconfirmedAnswers() const { return answers_.size(); }

 private:
  struct Run {
    fleet::RunOrder order;
    std::shared_ptr<connection::ExchangeControl> control;
    /// What is to be reported next.
    fleet::RunNews news;
    bool has_news = false;
    bool has_text = false;
    bool stopped = false;
    /// Its content, which is the same for a like item of another job.
    request::RequestFingerprint fingerprint;
    Instant began_at{};
    /// The engine ended the connection.
    bool closed_by_engine = false;
    /// How far the item's text has got, that of earlier runs included.
    request::StreamPosition position;
    /// The item's whole text, that of earlier runs included.
    std::string text;
  };
  /// A run that ended, kept for a while for the next leader.
  struct EndedRun {
    fleet::OfferedRun offer;
    Instant ended_at{};
  };
  /// An engine's answer that is told until a leader says that the group keeps it.
  struct UnkeptAnswer {
    fleet::ItemAnswer answer;
    Instant came_at{};
  };
  using RunPtr = std::shared_ptr<Run>;

  void setLeader(const ReplicaId& leader, std::uint64_t term);
  void stop(std::uint64_t number);
  void stopAll();
  connection::Awaitable<void> run(RunPtr run);
  /// After an engine ended the connection: looks whether the engine itself has ended.
  connection::Awaitable<void> probeEngine(RunPtr run);
  connection::Awaitable<void> readAnswer(Run& run, connection::EngineExchange& exchange);
  connection::EngineRequest engineRequest(Run& run) const;
  void noteLoad(Run& run, connection::EngineExchange& exchange) const;
  void finish(const RunPtr& run);
  /// Adds the next event to what is to be reported. False if others are missing before it or its place is not known.
  static bool takeEvent(Run& run, const connection::StreamEvent& event);
  /// What the end of an answer says of the item.
  void takeEnd(Run& run, bool is_framed, bool has_partial);
  /// Keeps an answer that counts against the item, and tells of it.
  void keepAnswer(const Run& run);
  void forgetAnswers(const std::vector<std::uint64_t>& kept);
  void forgetOldAnswers(Instant now);
  /// Keeps a run that has brought a whole text.
  void keepEnded(const Run& run);
  void forgetEnded(Instant now);
  static fleet::OfferedRun offerOf(const Run& run);
  /// Tells a new leader what runs here.
  void offerRuns();
  void reportSoon();
  bool hasReport(Instant now) const;
  void report();

  connection::asio::io_context& context_;
  const Dialect& dialect_;
  ReplicaId self_;
  ReportFunction report_;
  fleet::CrashWatch& crashes_;
  /// Of all engines that run items here.
  request::AnswerFraming framing_;
  connection::EngineClient engines_;
  std::map<std::uint64_t, RunPtr> runs_;
  /// Ended runs that have not been reported.
  std::vector<fleet::RunNews> ended_;
  std::deque<EndedRun> kept_ended_;
  std::deque<UnkeptAnswer> answers_;
  ReplicaId leader_;
  std::uint64_t term_ = 0;
  Instant leader_heard_at_{};
  Instant next_report_{};
  /// Until then there is a report even with nothing in it.
  Instant reports_until_{};
  connection::Timer soon_;
  bool soon_armed_ = false;
  /// Coroutines of runs outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hatchfork::store
