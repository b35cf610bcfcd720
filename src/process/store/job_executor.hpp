#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "connection/asio.hpp"
#include "connection/engine_exchange.hpp"
#include "connection/event_stream.hpp"
#include "process/fleet/feed_client.hpp"
#include "process/store/job_state.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/weighted_split.hpp"
#include "version/dialect.hpp"

namespace hatchfork::store {

struct JobExecutorOptions {
  ZoneId zone;
  std::uint64_t seed = 1;
  /// Most items under way at once.
  std::size_t most_running = 400;
};

struct JobExecutorCounters {
  std::uint64_t attempts = 0;
  std::uint64_t completed = 0;
  std::uint64_t errored = 0;
  std::uint64_t broken = 0;
  std::uint64_t yielded = 0;
};

/// Runs the items of all open jobs while this process leads the store group: chooses engines, joins the events of an
/// item's runs to its text, and proposes results. All that it knows of items under way is soft: after a change of
/// leader the items start again. Belongs to one thread.
///
/// Invariants: an item is under way at one engine at most; its text is each event's data exactly once, a later run
/// being asked to go on after the last event that was taken; a result is proposed only for a whole text, or for an item
/// that may be given up.
class JobExecutor {
 public:
  /// Replicates a command; calls back with true once it is applied.
  using ProposeFunction = std::function<void(JobCommand command, std::function<void(bool applied)> done)>;

  JobExecutor(connection::asio::io_context& context, JobExecutorOptions options, const Dialect& dialect,
              ProposeFunction propose);
  ~JobExecutor();

  void setState(const JobState& state) { state_ = &state; }
  void setView(const fleet::FleetView& view, bool engines_changed);
  /// Starts or stops to run items.
  void setLeading(bool leading);
  /// A job has come, changed or ended.
  void noteChange(const JobId& job);
  /// Drives retries and retention; call several times a second.
  void tick(Instant now);

  bool isLeading() const { return leading_; }
  /// What the runs here have under way, and what all gateways have.
  std::vector<request::EngineShare> ownShares(Instant now) const { return selector_.ownShares(now); }
  void noteOthers(Instant now, const std::vector<request::EngineShare>& others) { selector_.noteOthers(now, others); }
  const JobExecutorCounters& counters() const { return counters_; }
  std::size_t running() const { return running_; }
  std::size_t waiting() const { return queue_.size(); }

 private:
  /// An item that is open, as far as it has got.
  struct ItemRun {
    JobId job;
    std::string item;
    std::string text;
    bool has_text = false;
    std::optional<std::uint64_t> last_event;
    /// How much of the text is kept by the group: up to which event, and how many bytes.
    std::uint64_t saved_event = 0;
    std::size_t saved_bytes = 0;
    /// Who kept that, and the name of this chain of runs.
    std::uint64_t saved_chain = 0;
    std::uint64_t chain = 0;
    /// The group keeps progress of another chain: this one is listed with its whole text.
    bool diverged = false;
    /// Answers of 500.
    std::uint32_t failures = 0;
    std::uint32_t attempts = 0;
    Instant not_before{};
    bool running = false;
    /// Broken off here to make room for online requests.
    bool yielding = false;
    EngineId engine;
    bool stopped = false;
    std::shared_ptr<connection::ExchangeControl> control;
  };
  using ItemPtr = std::shared_ptr<ItemRun>;
  /// How a run of an item ended.
  enum class RunEnd { kWhole, kFailed, kImpossible, kDeclined, kBroken, kYielded, kStopped };

  void enqueueOpenItems(const StoredJob& job);
  void stopItems(const JobId& job);
  void pump();
  /// False if nothing can be started now.
  bool startNext(Instant now);
  connection::Awaitable<void> runItem(ItemPtr run, OpaqueItem item, std::string host, request::EngineChoice choice,
                                      request::EngineQuery query);
  connection::Awaitable<RunEnd> readAnswer(ItemRun& run, connection::EngineExchange& exchange, request::TicketId ticket,
                                           request::EngineVerdict& verdict, std::string& cause);
  connection::EngineRequest engineRequest(const ItemRun& run, const OpaqueItem& item, const std::string& host,
                                          const request::EngineChoice& choice) const;
  void finishRun(const ItemPtr& run, RunEnd end, const std::string& cause);
  void finishItem(const ItemPtr& run, ItemOutcome outcome);
  JobResult resultOf(const ItemRun& run, ItemOutcome outcome, bool whole_text) const;
  /// Proposes results again that were passed over, with their whole text.
  void listAgain(const std::vector<JobResult>& proposed);
  /// Lets the group keep how far the running items have got.
  void saveProgress(Instant now);
  void saveFailure(const ItemRun& run);
  void loadSavedProgress(ItemRun& run) const;
  void noteSavedProgress(ItemRun& run) const;
  /// Breaks off runs at engines that hold more requests than slots; they go on later after their last event.
  void yieldSlots(Instant now);
  void giveUpExpired(Instant now);
  void dropOldJobs();
  void proposeResults();
  const StoredJob* openJob(const ItemRun& run) const;
  const Route* routeOf(const StoredJob& job) const;
  /// Rises above one while items wait for longer than their due time allows.
  double pressure() const;

  connection::asio::io_context& context_;
  JobExecutorOptions options_;
  const Dialect& dialect_;
  ProposeFunction propose_;
  connection::EngineClient engines_;
  request::EngineSelector selector_;
  request::WeightedSplit split_;
  const JobState* state_ = nullptr;
  std::shared_ptr<const RouteTable> routes_;
  bool leading_ = false;
  std::map<JobId, std::map<std::string, ItemPtr>> items_;
  std::deque<ItemPtr> queue_;
  std::size_t running_ = 0;
  std::vector<JobResult> results_;
  bool proposing_ = false;
  bool saving_ = false;
  Instant next_save_{};
  std::mt19937_64 chains_;
  std::map<JobId, Instant> route_missing_since_;
  Instant next_cleanup_{};
  Instant next_yield_{};
  JobExecutorCounters counters_;
  /// Coroutines of runs outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hatchfork::store
