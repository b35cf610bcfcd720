#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "connection/asio.hpp"
#include "connection/engine_exchange.hpp"
#include "connection/event_stream.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "request/exchange/stream_position.hpp"
#include "version/dialect.hpp"

namespace hatchfork::store {

/// Runs batch items at engines as ordered by the leader of the store group, and reports their progress and outcome.
/// All decisions are the leader's: a run that breaks is reported and dropped. Runs outlive their leader: the next
/// leader is offered the runs in flight and those that ended recently, which no other process may have on record. Not
/// thread-safe.
///
/// Invariant: orders of an older term than the newest that was received are ignored, no request is sent to an engine
/// for an order that may be older than the lease, and no run continues for longer than the lease after the last
/// heartbeat of a leader.
class ItemRunner {
 public:
  /// Sends a report or an offer to a leader.
  using ReportFunction = std::function<void(const ReplicaId& leader, fleet::FleetMessage message)>;

  ItemRunner(connection::asio::io_context& context, const Dialect& dialect, ReplicaId self, ReportFunction report);
  ~ItemRunner();

  /// Starts a run, unless the order is of an older term, a repetition, stopped already, or too old.
  void take(fleet::RunOrder order);
  /// Renews the lease of the runs here, stops those that the leader no longer needs, and drops confirmed answers.
  void take(const fleet::RunLease& lease);
  /// Sends reports that are due, and aborts runs whose leader's lease has expired; call several times a second.
  void tick(Instant now);
  /// Aborts all runs and reports that to the leader, for a planned shutdown.
  void abortAll();
  void closeIdle(const std::function<bool(const EngineId&)>& in_use) { engines_.closeIdle(in_use); }

  std::size_t running() const { return runs_.size(); }
  /// Number of engine answers that no leader has confirmed as stored.
  std::size_t unconfirmedAnswers() const { return answers_.size(); }

 private:
  struct Run {
    fleet::RunOrder order;
    std::shared_ptr<connection::ExchangeControl> control;
    /// Contents of the next report about this run.
    fleet::RunNews news;
    bool has_news = false;
    bool has_text = false;
    bool stopped = false;
    /// True if the item asks for a version of the weights.
    bool names_weights = false;
    /// True while the leader has a summary of this run and has not asked for its text; no news are reported meanwhile.
    bool is_withheld = false;
    /// Number of events of this run.
    std::uint64_t events = 0;
    /// Position in the item's text, including the text of earlier runs.
    request::StreamPosition position;
    /// Text of the item so far, including that of earlier runs.
    std::string text;
  };
  /// A run that ended, retained for a while for the next leader.
  struct EndedRun {
    fleet::OfferedRun offer;
    Instant ended_at{};
  };
  /// An engine's answer that is reported until a leader confirms that the group has stored it.
  struct UnconfirmedAnswer {
    fleet::ItemAnswer answer;
    Instant received_at{};
  };
  using RunPtr = std::shared_ptr<Run>;

  void setLeader(const ReplicaId& leader, std::uint64_t term, bool reads_summaries);
  void stop(std::uint64_t number);
  void stopAll();
  /// True if the order may have been under way for longer than the lease, so that it may have been withdrawn since.
  static bool isOutdated(const fleet::RunOrder& order);
  /// Reports at once that the run was not begun, so that the leader can order it again.
  void refuseOutdated(const fleet::RunOrder& order);
  connection::Awaitable<void> run(RunPtr run);
  connection::Awaitable<void> readAnswer(Run& run, connection::EngineExchange& exchange);
  connection::EngineRequest engineRequest(Run& run) const;
  void noteLoad(Run& run, connection::EngineExchange& exchange) const;
  void finish(const RunPtr& run);
  /// Adds the next event to the next report. False if events before it are missing or its position is unknown.
  bool takeEvent(Run& run, const connection::StreamEvent& event);
  /// True if the answer has no end, or brings bytes but no events; its cause is then in the news.
  static bool isUseless(Run& run, const connection::EventSplitter& splitter);
  /// Sets the run's outcome from the end of its answer. `engine_state`: state of the engine after an end without
  /// framing.
  static void takeEnd(Run& run, bool is_framed, bool has_partial, connection::EngineReachability engine_state);
  /// Retains an answer that counts against the item until a leader confirms it.
  void retainAnswer(const Run& run);
  void removeConfirmedAnswers(const std::vector<std::uint64_t>& confirmed);
  void dropOldAnswers(Instant now);
  /// Retains a run that has completed its text, or whose end was not reported.
  void retainEndedRun(const Run& run);
  void dropListedRuns(const std::vector<std::uint64_t>& listed);
  void dropOldEndedRuns(Instant now);
  /// Returns the run's offer without its text.
  static fleet::OfferedRun offerOf(const Run& run);
  static fleet::RunSummary summaryOf(const fleet::OfferedRun& run, std::uint64_t text_bytes);
  /// Returns the text after the bytes that the leader has, or the whole text if it does not begin with these bytes.
  static fleet::RunText textOf(const fleet::OfferedRun& run, const std::string& text, const fleet::TextRequest& wanted);
  static void clearNews(Run& run);
  /// Offers a new leader the runs in flight here and those that ended recently.
  void offerRuns(bool reads_summaries);
  void sendOffer();
  /// Sends the offer without texts, and withholds all news until the leader asks for the texts.
  void sendSummaries();
  void sendTexts(const std::vector<fleet::TextRequest>& wanted);
  /// Returns the text of a run that is withheld or has ended; empty for any other run.
  std::optional<fleet::RunText> takeText(const fleet::TextRequest& wanted);
  void reportSoon();
  bool hasReport(Instant now) const;
  void report();

  connection::asio::io_context& context_;
  const Dialect& dialect_;
  ReplicaId self_;
  ReportFunction report_;
  connection::EngineClient engines_;
  std::map<std::uint64_t, RunPtr> runs_;
  /// Stops of runs that were not here, since they had ended or their orders had not arrived; the newest last.
  std::deque<std::uint64_t> early_stops_;
  /// Ended runs that have not been reported.
  std::vector<fleet::RunNews> unreported_ends_;
  std::deque<EndedRun> ended_runs_;
  /// Runs that ended while they were withheld; the leader takes them for running until it asks for their texts.
  std::set<std::uint64_t> withheld_ends_;
  std::deque<UnconfirmedAnswer> answers_;
  ReplicaId leader_;
  std::uint64_t term_ = 0;
  Instant last_leader_contact_{};
  /// A long time since then shows that the process stood still.
  Instant last_tick_{};
  Instant next_report_{};
  Instant last_report_at_{};
  /// A leader waits for a report, which is sent even if it is empty.
  bool report_due_ = false;
  /// Until this time reports are sent even if they are empty.
  Instant reports_until_{};
  connection::Timer report_timer_;
  bool report_timer_armed_ = false;
  /// False once this object is destroyed; coroutines of runs may outlive it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hatchfork::store
